package shared

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

// Rows keeps claims of dated keys in shared rows, from the date on that the
// layouts say, and all others in rows of their own.
type Rows struct {
	cfg     Config
	own     claims.OwnRows
	layouts *layouts
	*Sender
}

var _ claims.Rows = (*Rows)(nil)

// New returns the rows as the node self sees them. pool should not run traffic.
func New(table port.Table, peers Peers, self uint64, pool Pool, cfg Config, scope tally.Scope) *Rows {
	st := stats{scope.SubScope("claims")}
	return &Rows{
		cfg: cfg, own: claims.OwnRows{Table: table},
		layouts: newLayouts(table, pool, cfg.RefreshEvery),
		Sender: &Sender{
			cfg: cfg, self: self, own: newBatcher(table, pool, cfg, st), peers: peers, stats: st,
			avoid: make(map[uint64]time.Time), misses: make(map[uint64]int), purse: maxEarned,
		},
	}
}

// slot returns the shared row of a claim; ok is false if it has its own.
func (r *Rows) slot(ctx context.Context, p claims.Place) (s batch.Slot, ok bool, err error) {
	t, dated := claim.KeyTime(p.Key)
	if !dated {
		return batch.Slot{}, false, nil
	}
	list, err := r.layouts.upTo(ctx, t)
	if err != nil {
		return batch.Slot{}, false, err
	}
	s, ok = list.SlotOf(p.Row, p.Key)
	return s, ok, nil
}

// HeldBack implements claims.Rows.
func (r *Rows) HeldBack(p claims.Place) bool {
	t, dated := claim.KeyTime(p.Key)
	if !dated {
		return false
	}
	list, _ := r.layouts.known(t)
	_, ok := list.SlotOf(p.Row, p.Key)
	return ok
}

// Put implements claims.Rows.
func (r *Rows) Put(ctx context.Context, p claims.Place, row claim.Row, wait time.Duration) claim.Event {
	end := time.Now().Add(wait)
	looking, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	slot, ok, err := r.slot(looking, p)
	if err != nil {
		return claim.NothingWritten{}
	}
	wait = time.Until(end)
	if !ok {
		return r.own.Put(ctx, p, row, wait)
	}
	value, err := bare(row).Encode()
	if err != nil {
		return claim.NothingWritten{}
	}
	op := Op{
		Row: slot.Row, Start: slot.Start, Key: batch.EntryKey(p.Row), IfVersion: row.Version - 1,
		Token: pack(row.Token), Value: value, Expires: row.Expires, Lazy: row.State == claim.Done,
	}
	wait += r.cfg.Batch.Pace // the row's last write may have been just now
	if op.Lazy {
		wait += r.cfg.Batch.LazyWait
	}
	switch r.Submit(ctx, op, wait).Result {
	case batch.OK:
		return claim.Written{}
	case batch.ConditionFailed:
		return claim.ConditionFailed{}
	case batch.Unavailable:
		return claim.NothingWritten{}
	case batch.Full:
		return claim.NoRoom{}
	default:
		return claim.InDoubt{}
	}
}

// Get implements claims.Rows. The row's node reads it once for all who ask, so
// that calls which failed together don't each cost the platform a read.
func (r *Rows) Get(ctx context.Context, p claims.Place, wait time.Duration) claim.Event {
	end := time.Now().Add(wait)
	looking, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	slot, ok, err := r.slot(looking, p)
	if err != nil {
		return claim.ReadFailed{}
	}
	wait = time.Until(end)
	if !ok {
		return r.own.Get(ctx, p, wait)
	}
	op := Op{Row: slot.Row, Start: slot.Start, Key: batch.EntryKey(p.Row), Look: true}
	return seen(r.Submit(ctx, op, wait+r.cfg.Batch.Pace))
}

// seen returns what a look says of a claim.
func seen(ans Answer) claim.Event {
	switch {
	case ans.Result != batch.OK:
		return claim.ReadFailed{}
	case ans.Version == 0:
		return claim.RowRead{}
	}
	row, err := claim.Decode(ans.Version, unpack(ans.Token), ans.Value)
	if err != nil {
		return claim.RowUnreadable{}
	}
	return claim.RowRead{Row: row}
}

// maxKeptType bounds the content type that an outcome keeps in a shared row, in
// bytes; a longer one would not fit in the room reserved for it.
const maxKeptType = 32

// bare returns row without the answer's bytes, which shared rows don't keep.
func bare(row claim.Row) claim.Row {
	row.Outcome = row.Outcome.Trim(0)
	if len(row.Outcome.ContentType) > maxKeptType {
		row.Outcome.ContentType, row.Outcome.Kept = "", false
	}
	return row
}

// pack returns a token as it is kept: an id's 16 bytes in place of its text.
func pack(token string) string {
	id, err := uuid.Parse(token)
	if err != nil || id.String() != token {
		return token
	}
	return string(id[:])
}

// unpack returns what was packed.
func unpack(token string) string {
	id, err := uuid.FromBytes([]byte(token))
	if err != nil {
		return token
	}
	return id.String()
}
