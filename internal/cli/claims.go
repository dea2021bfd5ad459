package cli

import (
	"io"
	"time"

	"peardrift/internal/claims/sharedrows"
	"peardrift/internal/core/claim/batch"
)

type shareClaimsCommand struct{ *app }

// claimLayout says from which date on keys share rows, in output.
type claimLayout struct {
	From   time.Time `json:"from"`
	SlotMS int64     `json:"slot_ms"`
	Shards int       `json:"shards"`
}

// Execute implements flags.Commander.
func (c *shareClaimsCommand) Execute([]string) error {
	store, done, err := c.store()
	if err != nil {
		return err
	}
	defer done()
	l, err := sharedrows.Announce(c.ctx, store.Table(), batch.DefaultConfig())
	if err != nil {
		return err
	}
	out := claimLayout{From: time.Unix(0, int64(l.From)).UTC(), SlotMS: l.Slot.Milliseconds(), Shards: l.Shards}
	return c.show(out, func(w io.Writer) {
		c.printf(w, "claims of keys dated %s or later share rows\n", out.From.Format(timeFormat))
	})
}
