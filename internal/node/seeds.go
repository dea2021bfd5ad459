package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"peardrift/internal/core/member"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// seedSlots is how many rows of the platform's table name nodes to join
// through. They bound the reads of a node that starts and the writes of all.
const seedSlots = 16

// seedFresh is the age at which a row may be taken over by another node. Rows
// of nodes that have gone cost a joiner one failed connection each.
const seedFresh = 10 * time.Minute

// seed is the value of a row.
type seed struct {
	Control string    `json:"control"`
	Region  string    `json:"region"`
	At      time.Time `json:"at"`
}

// seeds finds nodes to join through, and offers this one, in the platform's
// table. None of it is needed while any peer of the settings can be reached.
type seeds struct {
	table port.Table
	self  seed
}

func seedKey(slot int) string { return fmt.Sprintf("seeds/%02d", slot) }

// join reads the rows in random order, so that many nodes that start together
// spread over them, and puts this node into the first one that is free or old.
// It returns the others' addresses; a failure may come with some.
func (s *seeds) join(ctx context.Context) ([]member.Peer, error) {
	var found []member.Peer
	taken := false
	for _, slot := range rand.Perm(seedSlots) {
		it, row, err := s.read(ctx, slot)
		if err != nil {
			return found, err
		}
		if row.Control != "" && row.Control != s.self.Control {
			found = append(found, member.Peer{Control: row.Control})
		}
		if !taken && (row.Control == s.self.Control || time.Since(row.At) > seedFresh) {
			taken = s.take(ctx, slot, it.Version) == nil
		}
		if taken && len(found) >= enoughSeeds {
			break
		}
	}
	return found, nil
}

// enoughSeeds is how many addresses a joiner reads, if so many are there.
const enoughSeeds = 4

func (s *seeds) read(ctx context.Context, slot int) (port.Item, seed, error) {
	it, err := s.table.Get(ctx, seedKey(slot))
	if errors.Is(err, port.ErrNotFound) {
		return port.Item{}, seed{}, nil
	}
	if err != nil {
		return it, seed{}, err
	}
	var row seed
	if json.Unmarshal(it.Value, &row) != nil {
		return it, seed{}, nil // not ours to read: as good as free
	}
	return it, row, nil
}

// take writes this node into a row if nobody else has meanwhile. A lost answer
// does no harm: the row either names this node or doesn't.
func (s *seeds) take(ctx context.Context, slot int, version int64) error {
	s.self.At = time.Now()
	b, err := json.Marshal(s.self)
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "encode a seed")
	}
	return s.table.Put(ctx, port.Put{
		Item:      port.Item{Key: seedKey(slot), Version: version + 1, Value: b, Token: s.self.Control},
		IfVersion: version,
	})
}
