package sharedrows

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"peardrift/internal/claims"
	"peardrift/internal/core/claim"
	"peardrift/internal/core/claim/batch"
	"peardrift/internal/port"
)

// Rows stores claims of dated keys in shared rows, from the date set by the
// layouts, and all other claims in rows of their own.
type Rows struct {
	cfg        Config
	singleRows claims.SingleRows
	layouts    *layouts
	*Sender
}

var _ claims.Rows = (*Rows)(nil)

// New returns the Rows of node self. pool should not serve traffic.
func New(table port.Table, peers Peers, self uint64, pool Pool, cfg Config, scope tally.Scope) *Rows {
	st := stats{scope.SubScope("claims")}
	return &Rows{
		cfg: cfg, singleRows: claims.SingleRows{Table: table},
		layouts: newLayouts(table, pool, cfg.RefreshInterval),
		Sender: &Sender{
			cfg: cfg, self: self, batcher: newBatcher(table, pool, cfg, st), peers: peers, stats: st,
			avoidUntil: make(map[uint64]time.Time), misses: make(map[uint64]int), retryTokens: maxTokens,
		},
	}
}

// slot returns the shared row of a claim; ok is false if the claim has a row of
// its own.
func (r *Rows) slot(ctx context.Context, ref claims.Ref) (s batch.Slot, ok bool, err error) {
	t, dated := claim.KeyTime(ref.Key)
	if !dated {
		return batch.Slot{}, false, nil
	}
	list, err := r.layouts.upTo(ctx, t)
	if err != nil {
		return batch.Slot{}, false, err
	}
	s, ok = list.SlotOf(ref.Row, ref.Key)
	return s, ok, nil
}

// Deferred implements claims.Rows.
func (r *Rows) Deferred(ref claims.Ref) bool {
	t, dated := claim.KeyTime(ref.Key)
	if !dated {
		return false
	}
	list, _ := r.layouts.known(t)
	_, ok := list.SlotOf(ref.Row, ref.Key)
	return ok
}

// Put implements claims.Rows.
func (r *Rows) Put(ctx context.Context, ref claims.Ref, row claim.Row, wait time.Duration) claim.Event {
	end := time.Now().Add(wait)
	lookupCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	slot, ok, err := r.slot(lookupCtx, ref)
	if err != nil {
		return claim.NotWritten{}
	}
	wait = time.Until(end)
	if !ok {
		return r.singleRows.Put(ctx, ref, row, wait)
	}
	value, err := withoutBody(row).Encode()
	if err != nil {
		return claim.NotWritten{}
	}
	op := Op{
		Row: slot.Row, Start: slot.Start, Key: batch.EntryKey(ref.Row), IfVersion: row.Version - 1,
		Token: packToken(row.Token), Value: value, Expires: row.Expires, Deferrable: row.State == claim.Done,
	}
	wait += r.cfg.Batch.MinWriteInterval // the row may just have been written
	if op.Deferrable {
		wait += r.cfg.Batch.DeferDelay
	}
	switch r.Submit(ctx, op, wait).Result {
	case batch.OK:
		return claim.Written{}
	case batch.ConditionFailed:
		return claim.ConditionFailed{}
	case batch.Unavailable:
		return claim.NotWritten{}
	case batch.Full:
		return claim.NoRoom{}
	default:
		return claim.Ambiguous{}
	}
}

// Get implements claims.Rows. The row's node serves concurrent callers with one
// read, so that calls which failed together do not each cost the platform a read.
func (r *Rows) Get(ctx context.Context, ref claims.Ref, wait time.Duration) claim.Event {
	end := time.Now().Add(wait)
	lookupCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	slot, ok, err := r.slot(lookupCtx, ref)
	if err != nil {
		return claim.ReadFailed{}
	}
	wait = time.Until(end)
	if !ok {
		return r.singleRows.Get(ctx, ref, wait)
	}
	op := Op{Row: slot.Row, Start: slot.Start, Key: batch.EntryKey(ref.Row), ReadOnly: true}
	return readOnlyEvent(r.Submit(ctx, op, wait+r.cfg.Batch.MinWriteInterval))
}

// readOnlyEvent converts the answer to a ReadOnly op into an event.
func readOnlyEvent(ans Answer) claim.Event {
	switch {
	case ans.Result != batch.OK:
		return claim.ReadFailed{}
	case ans.Version == 0:
		return claim.RowRead{}
	}
	row, err := claim.Decode(ans.Version, unpackToken(ans.Token), ans.Value)
	if err != nil {
		return claim.RowUnreadable{}
	}
	return claim.RowRead{Row: row}
}

// maxContentTypeLen is the longest content type that an outcome stores in a shared
// row, in bytes; a longer one would not fit into the reserved space.
const maxContentTypeLen = 32

// withoutBody returns row without the answer's body, which shared rows do not
// store.
func withoutBody(row claim.Row) claim.Row {
	row.Outcome = row.Outcome.Trim(0)
	if len(row.Outcome.ContentType) > maxContentTypeLen {
		row.Outcome.ContentType, row.Outcome.BodyStored = "", false
	}
	return row
}

// packToken returns the stored form of a token: the 16 bytes of a UUID in place of
// its text.
func packToken(token string) string {
	id, err := uuid.Parse(token)
	if err != nil || id.String() != token {
		return token
	}
	return string(id[:])
}

// unpackToken reverses packToken.
func unpackToken(token string) string {
	id, err := uuid.FromBytes([]byte(token))
	if err != nil {
		return token
	}
	return id.String()
}
