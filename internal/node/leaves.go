package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/core/lifetime"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

const (
	// leaveRowPrefix is the key prefix of the rows that hold leaves.
	leaveRowPrefix = "leaves/"
	// leaveRows is the number of rows that all nodes share. It bounds the table, since
	// rows of nodes that are gone are never deleted. Raising it makes it rarer that nodes
	// with the same row write at the same time.
	leaveRows = 1024
	// maxRowConflicts bounds the immediate retries of a write that fails because another
	// node has written the row.
	maxRowConflicts = 12
)

// leaveRowKey returns the key of a node's row.
func leaveRowKey(node string) string {
	return fmt.Sprintf("%s%04d", leaveRowPrefix, xxhash.Sum64String(node)%leaveRows)
}

const (
	// leaveRowTimeout is how long an acknowledgement waits for the row before confirmations
	// of other nodes suffice.
	leaveRowTimeout = 600 * time.Millisecond
	// leaveTimeout bounds the wait of an acknowledgement. A target takes none that arrives
	// later than a second after its report.
	leaveTimeout = 800 * time.Millisecond
	// leaveRetryInterval is the minimum time between attempts to write the row; jitter
	// adds up to the same time again.
	leaveRetryInterval = time.Second
)

// leaveRecorder records leaves of the own target where they outlast the process: in a row
// of the platform's table and at other nodes. Its methods are safe for concurrent use.
type leaveRecorder struct {
	log     *zap.Logger
	node    string
	callRow func(RowArgs) (port.Item, error)
	submit  func(func()) error
	// notify tells other nodes of the recent leaves and reports whether enough of them
	// hold these.
	notify func() bool
	done   <-chan struct{} // closed when the node stops

	mu         sync.Mutex
	recordings map[leaveKey]*recording

	rowMu    sync.Mutex // held during calls for the row
	row      port.Item  // as last read; the zero value if there is none
	rowStale bool       // the row must be read before it is written
}

// leaveKey identifies a lifetime.
type leaveKey struct {
	instance  lifetime.Key
	startedAt int64
}

func keyOfLeave(l lifetime.Leave) leaveKey { return leaveKey{l.Instance, l.StartedAt} }

// recording is the progress of recording a leave.
type recording struct {
	instance  string // empty if an earlier process recorded it
	leave     lifetime.Leave
	began     time.Time
	written   chan struct{} // closed when the row holds it
	rowFailed chan struct{} // closed when the first attempt to write the row has failed
	held      chan struct{} // closed when enough other nodes hold it
	holdOnce  sync.Once     // closes held
}

// find returns the recording of a leave, or nil if it has not begun.
func (r *leaveRecorder) find(l lifetime.Leave) *recording {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordings[keyOfLeave(l)]
}

// start begins to record a leave. It never blocks. It returns nil if the leave can't be
// recorded now.
func (r *leaveRecorder) start(instance string, l lifetime.Leave) *recording {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := &recording{
		instance: instance, leave: l, began: time.Now(),
		written: make(chan struct{}), rowFailed: make(chan struct{}), held: make(chan struct{}),
	}
	if r.submit(func() { r.writeUntilDone(rec) }) != nil {
		return nil
	}
	_ = r.submit(func() { r.notifyOthers(rec) })
	r.forgetExpired()
	r.recordings[keyOfLeave(l)] = rec
	return rec
}

// forgetExpired drops recordings whose leave is no longer remembered. r.mu must be held.
func (r *leaveRecorder) forgetExpired() {
	for k, rec := range r.recordings {
		if rec.leave.IsExpired(time.Now()) {
			delete(r.recordings, k)
		}
	}
}

// wait returns nil once the leave outlasts this process: the row holds it, or the row
// can't be written and other nodes hold it. Its error is a status error with
// CodePlatformDown.
func (rec *recording) wait() error {
	limit := time.NewTimer(leaveTimeout)
	defer limit.Stop()
	row := time.NewTimer(leaveRowTimeout)
	defer row.Stop()
	select {
	case <-rec.written:
		return nil
	case <-rec.rowFailed:
	case <-row.C:
	}
	select {
	case <-rec.written:
		return nil
	case <-rec.held:
		return nil
	case <-limit.C:
		return status.New(status.CodePlatformDown, "the leave is recorded neither in the table nor at other nodes")
	}
}

func (r *leaveRecorder) notifyOthers(rec *recording) {
	if r.notify() {
		rec.holdOnce.Do(func() { close(rec.held) })
	}
}

// writeUntilDone writes a leave to the row and tries again until that succeeds or the
// node stops.
func (r *leaveRecorder) writeUntilDone(rec *recording) {
	for attempt := 0; ; attempt++ {
		err := r.write(rec.leave)
		if err == nil {
			close(rec.written)
			r.log.Info("leave recorded", zap.String("instance", rec.instance), zap.Duration("after", time.Since(rec.began)))
			return
		}
		r.log.Warn("leave not recorded", zap.String("instance", rec.instance), zaplog.Error(err))
		if attempt == 0 {
			close(rec.rowFailed)
		} else {
			r.notifyOthers(rec)
		}
		select {
		case <-r.done:
			return
		case <-time.After(leaveRetryInterval + rand.N(leaveRetryInterval)):
		}
	}
}

// write adds a leave to the row.
func (r *leaveRecorder) write(l lifetime.Leave) error {
	r.rowMu.Lock()
	defer r.rowMu.Unlock()
	err := error(port.ErrConditionFailed)
	for conflicts := 0; conflicts <= maxRowConflicts && errors.Is(err, port.ErrConditionFailed); conflicts++ {
		if err := r.refreshRow(); err != nil {
			return err
		}
		row := decodeLeaveRow(r.row)
		if row.Has(r.node, l) {
			return nil
		}
		err = r.putRow(row.With(r.node, l, time.Now()))
	}
	return err
}

// refreshRow reads the row if it is stale. r.rowMu must be held.
func (r *leaveRecorder) refreshRow() error {
	if !r.rowStale {
		return nil
	}
	it, err := r.callRow(RowArgs{Key: leaveRowKey(r.node)})
	if err != nil && !errors.Is(err, port.ErrNotFound) {
		return err
	}
	r.row, r.rowStale = it, false
	return nil
}

// putRow writes the row if it is as last read. It is stale then: the table may assign the
// version, and a failed write may still be applied. r.rowMu must be held.
func (r *leaveRecorder) putRow(row lifetime.Row) error {
	value, err := json.Marshal(row)
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "encode the row of leaves")
	}
	r.rowStale = true
	_, err = r.callRow(RowArgs{Write: true, Put: port.Put{
		Item:      port.Item{Key: leaveRowKey(r.node), Version: r.row.Version + 1, Value: value, Token: r.node},
		IfVersion: r.row.Version,
	}})
	return err
}

// decodeLeaveRow decodes a row. One that can't be decoded counts as empty.
func decodeLeaveRow(it port.Item) lifetime.Row {
	var row lifetime.Row
	if json.Unmarshal(it.Value, &row) != nil {
		return lifetime.Row{}
	}
	return row
}

// recall returns the leaves at this node that earlier processes recorded in the row.
func (r *leaveRecorder) recall() ([]lifetime.Leave, error) {
	r.rowMu.Lock()
	defer r.rowMu.Unlock()
	r.rowStale = true
	if err := r.refreshRow(); err != nil {
		return nil, err
	}
	leaves := decodeLeaveRow(r.row).Of(r.node, time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range leaves {
		if r.recordings[keyOfLeave(l)] == nil {
			written := make(chan struct{})
			close(written)
			r.recordings[keyOfLeave(l)] = &recording{leave: l, written: written}
		}
	}
	return leaves, nil
}

// rewrite writes all recorded leaves to the row again, after the table was restored from
// an older copy.
func (r *leaveRecorder) rewrite() error {
	r.rowMu.Lock()
	r.rowStale = true
	r.rowMu.Unlock()
	for _, l := range r.recorded() {
		if err := r.write(l); err != nil {
			return err
		}
	}
	return nil
}

func (r *leaveRecorder) recorded() []lifetime.Leave {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []lifetime.Leave
	for _, rec := range r.recordings {
		if !rec.leave.IsExpired(time.Now()) {
			out = append(out, rec.leave)
		}
	}
	return out
}
