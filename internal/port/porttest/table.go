package porttest

import (
	"bytes"
	"context"
	"sync"

	"peardrift/internal/port"
)

// Table is a fake port.Table.
type Table struct {
	mu      sync.Mutex
	rows    map[string]port.Item
	delayed [][]port.Put
	script  Script
	counts  map[Op]int
}

var _ port.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]port.Item), counts: make(map[Op]int)}
}

// SetScript replaces the script; nil ends all faults.
func (t *Table) SetScript(s Script) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.script = s
}

// Count returns the number of calls of a method.
func (t *Table) Count(op Op) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts[op]
}

// Flush attempts the delayed writes in order.
func (t *Table) Flush() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flushDelayed()
}

// Get implements port.Table.
func (t *Table) Get(ctx context.Context, key string) (port.Item, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startCall(ctx, OpGet, key) != None {
		return port.Item{}, port.ErrUnavailable
	}
	it, ok := t.rows[key]
	if !ok {
		return port.Item{}, port.ErrNotFound
	}
	it.Value = bytes.Clone(it.Value)
	return it, nil
}

// Put implements port.Table.
func (t *Table) Put(ctx context.Context, p port.Put) error {
	return t.write(ctx, OpPut, []port.Put{p})
}

// PutAll implements port.Table.
func (t *Table) PutAll(ctx context.Context, ps []port.Put) error {
	if len(ps) == 0 {
		return nil
	}
	return t.write(ctx, OpPutAll, ps)
}

func (t *Table) write(ctx context.Context, op Op, ps []port.Put) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.startCall(ctx, op, ps[0].Item.Key) {
	case Unavailable:
		return port.ErrUnavailable
	case LostRequest:
		return port.ErrAmbiguous
	case LostResponse:
		t.apply(ps)
		return port.ErrAmbiguous
	case Delayed:
		t.delayed = append(t.delayed, ps)
		return port.ErrAmbiguous
	default:
		if !t.apply(ps) {
			return port.ErrConditionFailed
		}
		return nil
	}
}

// startCall counts a call, attempts the delayed writes and returns the call's fault.
func (t *Table) startCall(ctx context.Context, op Op, key string) Fault {
	t.counts[op]++
	t.flushDelayed()
	if ctx.Err() != nil {
		return Unavailable
	}
	if t.script == nil {
		return None
	}
	return t.script(op, key)
}

func (t *Table) flushDelayed() {
	for _, ps := range t.delayed {
		t.apply(ps)
	}
	t.delayed = nil
}

// apply makes all the writes if all their conditions hold, and reports whether they did.
func (t *Table) apply(ps []port.Put) bool {
	for _, p := range ps {
		row, ok := t.rows[p.Item.Key]
		if ok != (p.IfVersion != 0) || row.Version != p.IfVersion {
			return false
		}
	}
	for _, p := range ps {
		it := p.Item
		it.Value = bytes.Clone(it.Value)
		t.rows[it.Key] = it
	}
	return true
}
