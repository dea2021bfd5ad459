package claims

import (
	"context"
	"errors"
	"time"

	"peardrift/internal/core/claim"
	"peardrift/internal/port"
)

// Place identifies a claim; Rows decides where it is stored.
type Place struct {
	Row string // claim.RowKey
	Key string // the idempotency key
}

// Rows stores claims, each in a row of its own or several in a shared row.
//
// Methods may be called from any goroutine and return within wait, or shortly
// after if a write is delayed for batching. A Place identifies the same claim on
// every node.
type Rows interface {
	// Put writes r if the claim is at r.Version-1. It returns claim.Written,
	// ConditionFailed, NothingWritten, NoRoom or InDoubt.
	Put(ctx context.Context, p Place, r claim.Row, wait time.Duration) claim.Event
	// Get returns claim.RowRead, RowUnreadable or ReadFailed. The read is
	// strongly consistent.
	Get(ctx context.Context, p Place, wait time.Duration) claim.Event
	// HeldBack reports whether outcomes at p are written later in a batch, too
	// late for their answers to wait.
	HeldBack(p Place) bool
}

// OwnRows stores each claim in a row of its own.
type OwnRows struct{ Table port.Table }

var _ Rows = OwnRows{}

// HeldBack implements Rows.
func (OwnRows) HeldBack(Place) bool { return false }

// Put implements Rows.
func (o OwnRows) Put(ctx context.Context, p Place, r claim.Row, wait time.Duration) claim.Event {
	value, err := r.Encode()
	if err != nil {
		return claim.NothingWritten{}
	}
	item := port.Item{Key: p.Row, Version: r.Version, Value: value, Token: r.Token}
	if r.Expires > 0 {
		item.Expires = time.Unix(0, int64(r.Expires))
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	err = o.Table.Put(ctx, port.Put{Item: item, IfVersion: r.Version - 1})
	switch {
	case err == nil:
		return claim.Written{}
	case errors.Is(err, port.ErrConditionFailed):
		return claim.ConditionFailed{}
	case errors.Is(err, port.ErrUnavailable):
		return claim.NothingWritten{}
	default:
		// Includes errors outside the port's contract: the write may have happened.
		return claim.InDoubt{}
	}
}

// Get implements Rows.
func (o OwnRows) Get(ctx context.Context, p Place, wait time.Duration) claim.Event {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	item, err := o.Table.Get(ctx, p.Row)
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
