package sharedrows

import (
	"context"
	"errors"
	"sync"
	"time"

	"peardrift/internal/core/claim/batch"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// Batcher writes the ops of many nodes to shared rows.
type Batcher struct {
	cfg   Config
	table port.Table
	pool  Pool
	stats stats

	mu      sync.Mutex
	core    *batch.Batcher
	nextID  uint64
	waiting map[uint64]chan batch.Reply
	timer   *time.Timer
	closed  bool          // refuses new ops
	stopped bool          // also starts no further batches
	idle    chan struct{} // closed when the Batcher is closed and no op waits
}

// newBatcher returns a Batcher. pool runs its table operations; pool.Submit must
// not block, because it is called with the Batcher's lock held.
func newBatcher(table port.Table, pool Pool, cfg Config, st stats) *Batcher {
	b := &Batcher{
		cfg: cfg, table: table, pool: pool, stats: st, core: batch.New(cfg.Batch),
		waiting: make(map[uint64]chan batch.Reply), idle: make(chan struct{}),
	}
	b.timer = time.AfterFunc(cfg.MaxWait, b.tick)
	b.timer.Stop()
	return b
}

// Submit queues an op and returns its result within op.Timeout or when ctx ends.
func (b *Batcher) Submit(ctx context.Context, op *Op) Answer {
	if err := op.validate(b.cfg.Batch); err != nil {
		return Answer{Code: err.Code}
	}
	reply, code := b.enqueue(op)
	if code != "" {
		b.stats.refused(code)
		return Answer{Code: code}
	}
	ctx, cancel := context.WithTimeout(ctx, min(op.Timeout, b.cfg.MaxWait))
	defer cancel()
	select {
	case r := <-reply:
		if !op.ReadOnly {
			return Answer{Result: r.Result}
		}
		return Answer{Result: r.Result, Version: r.Current.Version, Token: r.Current.Token, Value: r.Current.Value}
	case <-ctx.Done():
		return Answer{Result: batch.Ambiguous} // still queued or in flight
	}
}

// enqueue passes an op to the core, or returns the code of its refusal.
func (b *Batcher) enqueue(op *Op) (<-chan batch.Reply, status.Code) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.closed:
		return nil, status.CodeDraining
	case len(b.waiting) >= b.cfg.MaxOps, b.core.Len() >= b.cfg.MaxRows && !b.core.Has(op.Row):
		return nil, status.CodeOverloaded
	}
	b.nextID++
	ch := make(chan batch.Reply, 1)
	b.waiting[b.nextID] = ch
	bop := op.toBatchOp()
	bop.ID, bop.Deadline = b.nextID, wallNow()+min(op.Timeout, b.cfg.MaxWait)
	b.execute(b.core.Submit(wallNow(), bop))
	return ch, ""
}

func (b *Batcher) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.execute(b.core.Tick(wallNow()))
}

// execute carries out actions and sets the timer. It never blocks; b.mu must be
// held.
func (b *Batcher) execute(acts []batch.Action) {
	for len(acts) > 0 {
		var more []batch.Action
		for _, a := range acts {
			switch a := a.(type) {
			case batch.Write:
				more = append(more, b.start(a.Row, func() { b.write(a) }, b.core.NotWritten)...)
			case batch.Read:
				more = append(more, b.start(a.Row, func() { b.read(a.Row) }, b.core.ReadFailed)...)
			case batch.Reply:
				b.reply(a)
			}
		}
		acts = more
	}
	if at, ok := b.core.Due(); ok && !b.stopped {
		b.timer.Reset(max(0, at-wallNow()))
	}
}

// start runs an operation on the pool. If the pool refuses it, start reports the
// operation to the core as not done.
func (b *Batcher) start(row string, op func(), notDone func(time.Duration, string) []batch.Action) []batch.Action {
	if err := b.pool.Submit(op); err != nil {
		return notDone(wallNow(), row)
	}
	return nil
}

func (b *Batcher) reply(r batch.Reply) {
	ch, ok := b.waiting[r.ID]
	if !ok {
		return // already answered by Close
	}
	delete(b.waiting, r.ID)
	ch <- r // cannot block: the buffer holds the only reply
	if b.closed && len(b.waiting) == 0 {
		b.signalIdle()
	}
}

// signalIdle tells Close that no op waits. b.mu must be held.
func (b *Batcher) signalIdle() {
	select {
	case <-b.idle:
	default:
		close(b.idle)
	}
}

// report passes the result of an operation to the core.
func (b *Batcher) report(row string, e func(time.Duration, string) []batch.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.execute(e(wallNow(), row))
}

func (b *Batcher) write(w batch.Write) {
	value, err := batch.Encode(w.Entries)
	if err != nil {
		b.report(w.Row, b.core.NotWritten)
		return
	}
	item := port.Item{Key: w.Row, Version: w.Version, Value: value}
	if w.Expires > 0 {
		item.Expires = time.Unix(0, int64(w.Expires))
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.cfg.TableTimeout)
	defer cancel()
	err = b.table.Put(ctx, port.Put{Item: item, IfVersion: w.Version - 1})
	switch {
	case err == nil:
		b.stats.table("put", "ok")
		b.report(w.Row, b.core.Written)
	case errors.Is(err, port.ErrConditionFailed):
		b.stats.table("put", "condition_failed")
		b.report(w.Row, b.core.ConditionFailed)
	case errors.Is(err, port.ErrUnavailable):
		b.stats.table("put", "unavailable")
		b.report(w.Row, b.core.NotWritten)
	default:
		b.stats.table("put", "ambiguous")
		b.report(w.Row, b.core.Ambiguous)
	}
}

func (b *Batcher) read(row string) {
	ctx, cancel := context.WithTimeout(context.Background(), b.cfg.TableTimeout)
	defer cancel()
	version, entries, err := readRow(ctx, b.table, row)
	if err != nil {
		b.stats.table("get", "unavailable")
		b.report(row, b.core.ReadFailed)
		return
	}
	b.stats.table("get", "ok")
	b.report(row, func(now time.Duration, row string) []batch.Action {
		return b.core.RowRead(now, row, version, entries)
	})
}

// readRow returns a row; version 0 and no entries if there is none.
func readRow(ctx context.Context, table port.Table, row string) (int64, map[string]batch.Entry, error) {
	item, err := table.Get(ctx, row)
	if errors.Is(err, port.ErrNotFound) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	entries, err := batch.Decode(item.Value)
	return item.Version, entries, err
}

// Close refuses new ops, writes the queued ones, and returns when all are
// answered. If ctx ends first, the remaining ops are answered with batch.Ambiguous
// and Close fails with status.CodeDeadlineExceeded.
func (b *Batcher) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	b.execute(b.core.FlushAll(wallNow()))
	if len(b.waiting) == 0 {
		b.signalIdle()
	}
	b.mu.Unlock()
	select {
	case <-b.idle:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer.Stop()
	b.stopped = true
	left := len(b.waiting)
	for _, ch := range b.waiting {
		ch <- batch.Reply{Result: batch.Ambiguous}
	}
	b.waiting = map[uint64]chan batch.Reply{}
	if left > 0 {
		return status.New(status.CodeDeadlineExceeded, "%d claim ops left with unknown results", left)
	}
	return nil
}
