package shared

import (
	"context"
	"errors"
	"sync"
	"time"

	"peardrift/internal/core/claim/batch"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// Batcher writes ops of many nodes to shared rows.
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
	closed  bool          // no new ops
	stopped bool          // no further writes either
	idle    chan struct{} // closed once closed and nothing waits
}

// newBatcher returns a Batcher. pool carries its operations at the table; its
// Submit must not wait, as it is called under the Batcher's lock.
func newBatcher(table port.Table, pool Pool, cfg Config, st stats) *Batcher {
	b := &Batcher{
		cfg: cfg, table: table, pool: pool, stats: st, core: batch.New(cfg.Batch),
		waiting: make(map[uint64]chan batch.Reply), idle: make(chan struct{}),
	}
	b.timer = time.AfterFunc(cfg.MaxWait, b.tick)
	b.timer.Stop()
	return b
}

// Submit takes an op and returns how it ended, within op.Wait or until ctx ends.
func (b *Batcher) Submit(ctx context.Context, op *Op) Answer {
	if err := op.check(b.cfg.Batch); err != nil {
		return Answer{Code: err.Code}
	}
	reply, code := b.take(op)
	if code != "" {
		b.stats.refused(code)
		return Answer{Code: code}
	}
	ctx, cancel := context.WithTimeout(ctx, min(op.Wait, b.cfg.MaxWait))
	defer cancel()
	select {
	case r := <-reply:
		if !op.Look {
			return Answer{Result: r.Result}
		}
		return Answer{Result: r.Result, Version: r.Current.Version, Token: r.Current.Token, Value: r.Current.Value}
	case <-ctx.Done():
		return Answer{Result: batch.Ambiguous} // it still waits, or is under way
	}
}

// take gives an op to the core, or says why not.
func (b *Batcher) take(op *Op) (<-chan batch.Reply, status.Code) {
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
	bop := op.batched()
	bop.ID, bop.Until = b.nextID, wall()+min(op.Wait, b.cfg.MaxWait)
	b.do(b.core.Submit(wall(), bop))
	return ch, ""
}

func (b *Batcher) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.do(b.core.Tick(wall()))
}

// do carries out actions and sets the timer. mu is held; nothing here waits.
func (b *Batcher) do(acts []batch.Action) {
	for len(acts) > 0 {
		var more []batch.Action
		for _, a := range acts {
			switch a := a.(type) {
			case batch.Write:
				more = append(more, b.start(a.Row, func() { b.write(a) }, b.core.NothingWritten)...)
			case batch.Read:
				more = append(more, b.start(a.Row, func() { b.read(a.Row) }, b.core.ReadFailed)...)
			case batch.Reply:
				b.reply(a)
			}
		}
		acts = more
	}
	if at, ok := b.core.Due(); ok && !b.stopped {
		b.timer.Reset(max(0, at-wall()))
	}
}

// start runs an operation on the pool, or reports it as not done.
func (b *Batcher) start(row string, f func(), none func(time.Duration, string) []batch.Action) []batch.Action {
	if err := b.pool.Submit(f); err != nil {
		return none(wall(), row)
	}
	return nil
}

func (b *Batcher) reply(r batch.Reply) {
	ch, ok := b.waiting[r.ID]
	if !ok {
		return // Close has answered it
	}
	delete(b.waiting, r.ID)
	ch <- r // has room for the one answer
	if b.closed && len(b.waiting) == 0 {
		b.finish()
	}
}

// finish tells Close that nothing waits. mu is held.
func (b *Batcher) finish() {
	select {
	case <-b.idle:
	default:
		close(b.idle)
	}
}

// event gives the core the answer to an operation.
func (b *Batcher) event(row string, e func(time.Duration, string) []batch.Action) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.do(e(wall(), row))
}

func (b *Batcher) write(w batch.Write) {
	value, err := batch.Encode(w.Entries)
	if err != nil {
		b.event(w.Row, b.core.NothingWritten)
		return
	}
	item := port.Item{Key: w.Row, Version: w.Version, Value: value}
	if w.Expires > 0 {
		item.Expires = time.Unix(0, int64(w.Expires))
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.cfg.TableWait)
	defer cancel()
	err = b.table.Put(ctx, port.Put{Item: item, IfVersion: w.Version - 1})
	switch {
	case err == nil:
		b.stats.table("put", "ok")
		b.event(w.Row, b.core.Written)
	case errors.Is(err, port.ErrConditionFailed):
		b.stats.table("put", "condition_failed")
		b.event(w.Row, b.core.ConditionFailed)
	case errors.Is(err, port.ErrUnavailable):
		b.stats.table("put", "unavailable")
		b.event(w.Row, b.core.NothingWritten)
	default:
		b.stats.table("put", "ambiguous")
		b.event(w.Row, b.core.InDoubt)
	}
}

func (b *Batcher) read(row string) {
	ctx, cancel := context.WithTimeout(context.Background(), b.cfg.TableWait)
	defer cancel()
	version, entries, err := readRow(ctx, b.table, row)
	if err != nil {
		b.stats.table("get", "unavailable")
		b.event(row, b.core.ReadFailed)
		return
	}
	b.stats.table("get", "ok")
	b.event(row, func(now time.Duration, row string) []batch.Action {
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

// Close refuses new ops, writes those that wait, and returns when all are
// answered. When ctx ends first, the rest is answered as in doubt and Close
// fails with status.CodeDeadlineExceeded.
func (b *Batcher) Close(ctx context.Context) error {
	b.mu.Lock()
	b.closed = true
	b.do(b.core.Hurry(wall()))
	if len(b.waiting) == 0 {
		b.finish()
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
		return status.New(status.CodeDeadlineExceeded, "%d ops of claims left in doubt", left)
	}
	return nil
}
