package zaplog

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/buffer"

	"peardrift/internal/status"
)

const (
	queueLines = 512      // lines that wait for the output
	maxLine    = 16 << 10 // bytes; so the queue holds at most 8 MiB
	// drainTimeout bounds the wait for an output that may be stuck.
	drainTimeout = time.Second
)

// queue writes lines from one goroutine of its own. If whoever reads standard
// error stops reading, the pipe fills and a write blocks for good; were that
// write on a goroutine that serves traffic, all calls would hang at their next
// line while the node looks alive. Here only lines are lost, and counted.
type queue struct {
	w       io.Writer
	items   chan item
	done    chan struct{} // closed by Close
	ended   chan struct{} // closed when no more is written
	onDrop  func()        // set before the first line
	dropped atomic.Uint64 // lines lost since the start
}

// item is a line or, without one, a request to say when all before it is out.
type item struct {
	line    *buffer.Buffer
	flushed chan struct{}
}

var lines = buffer.NewPool()

func newQueue(w io.Writer) *queue {
	q := &queue{w: w, items: make(chan item, queueLines), done: make(chan struct{}), ended: make(chan struct{})}
	go q.run()
	return q
}

func (q *queue) run() {
	defer close(q.ended)
	for {
		select {
		case i := <-q.items:
			q.out(i)
		case <-q.done:
			return
		}
	}
}

func (q *queue) out(i item) {
	if i.line == nil {
		close(i.flushed)
		return
	}
	if _, err := q.w.Write(i.line.Bytes()); err != nil {
		q.drop()
	}
	i.line.Free()
}

// Write implements zapcore.WriteSyncer; it never blocks and never fails.
func (q *queue) Write(p []byte) (int, error) {
	if len(p) > maxLine {
		q.drop()
		return len(p), nil
	}
	line := lines.Get()
	_, _ = line.Write(p)
	select {
	case q.items <- item{line: line}:
	default:
		line.Free()
		q.drop()
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer: it waits, within bounds, for the lines
// before it to be written.
func (q *queue) Sync() error {
	timeout := time.NewTimer(drainTimeout)
	defer timeout.Stop()
	flush := item{flushed: make(chan struct{})}
	select {
	case q.items <- flush:
	case <-timeout.C:
		return status.New(status.CodeInternal, "the log output takes no lines")
	}
	select {
	case <-flush.flushed:
		return nil
	case <-timeout.C:
		return status.New(status.CodeInternal, "the log output takes no lines")
	}
}

// Close writes out what waits, within bounds, and ends the goroutine. Nothing
// is written after it has returned without error. It may be called once.
func (q *queue) Close() error {
	err := q.Sync()
	close(q.done)
	if err == nil {
		<-q.ended // the output takes lines, so this is soon
	}
	return err
}

func (q *queue) drop() {
	q.dropped.Add(1)
	q.onDrop()
}
