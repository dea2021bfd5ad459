package cli

import (
	"io"
	"time"

	"peardrift/internal/claims/sharedrows"
	"peardrift/internal/core/claim/batch"
)

type shareClaimsCommand struct{ *app }

// claimLayout is the output of share-claims: the date from which keys share rows.
type claimLayout struct {
	From   time.Time `json:"from"`
	SlotMS int64     `json:"slot_ms"`
	Shards int       `json:"shards"`
}

// Execute implements flags.Commander.
func (c *shareClaimsCommand) Execute([]string) error {
	store, release, err := c.openStore()
	if err != nil {
		return err
	}
	defer release()
	l, err := sharedrows.Announce(c.ctx, store.Table(), batch.DefaultConfig())
	if err != nil {
		return err
	}
	out := claimLayout{From: time.Unix(0, int64(l.From)).UTC(), SlotMS: l.Slot.Milliseconds(), Shards: l.Shards}
	return c.printResult(out, func(w io.Writer) {
		c.printf(w, "claims of keys dated %s or later share rows\n", out.From.Format(timeFormat))
	})
}
