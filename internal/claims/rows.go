package claims

import (
	"context"
	"errors"
	"time"

	"peardrift/internal/core/claim"
	"peardrift/internal/port"
)

// Ref identifies a claim; Rows decides where it is stored.
type Ref struct {
	Row string // claim.RowKey
	Key string // the idempotency key
}

// Rows stores claims, each in a row of its own or several in a shared row.
//
// Methods may be called from any goroutine and return within wait, or shortly
// after if a write is delayed for batching. A Ref identifies the same claim on
// every node.
type Rows interface {
	// Put writes r if the claim is at r.Version-1. It returns claim.Written,
	// ConditionFailed, NotWritten, NoRoom or Ambiguous.
	Put(ctx context.Context, ref Ref, r claim.Row, wait time.Duration) claim.Event
	// Get returns claim.RowRead, RowUnreadable or ReadFailed. The read is
	// strongly consistent.
	Get(ctx context.Context, ref Ref, wait time.Duration) claim.Event
	// Deferred reports whether outcomes at ref are written later in a batch, too
	// late for their answers to wait.
	Deferred(ref Ref) bool
}

// SingleRows stores each claim in a row of its own.
type SingleRows struct{ Table port.Table }

var _ Rows = SingleRows{}

// Deferred implements Rows.
func (SingleRows) Deferred(Ref) bool { return false }

// Put implements Rows.
func (s SingleRows) Put(ctx context.Context, ref Ref, r claim.Row, wait time.Duration) claim.Event {
	value, err := r.Encode()
	if err != nil {
		return claim.NotWritten{}
	}
	item := port.Item{Key: ref.Row, Version: r.Version, Value: value, Token: r.Token}
	if r.Expires > 0 {
		item.Expires = time.Unix(0, int64(r.Expires))
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	err = s.Table.Put(ctx, port.Put{Item: item, IfVersion: r.Version - 1})
	switch {
	case err == nil:
		return claim.Written{}
	case errors.Is(err, port.ErrConditionFailed):
		return claim.ConditionFailed{}
	case errors.Is(err, port.ErrUnavailable):
		return claim.NotWritten{}
	default:
		// Includes errors outside the port's contract: the write may have happened.
		return claim.Ambiguous{}
	}
}

// Get implements Rows.
func (s SingleRows) Get(ctx context.Context, ref Ref, wait time.Duration) claim.Event {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	item, err := s.Table.Get(ctx, ref.Row)
	switch {
	case errors.Is(err, port.ErrNotFound):
		return claim.RowRead{}
	case err != nil:
		return claim.ReadFailed{}
	}
	row, err := claim.Decode(item.Version, item.Token, item.Value)
	if err != nil {
		return claim.RowUnreadable{}
	}
	return claim.RowRead{Row: row}
}
