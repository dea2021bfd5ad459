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

const seedPrefix = "seeds/"

func seedKey(slot int) string { return fmt.Sprintf("%s%02d", seedPrefix, slot) }

// join reads the rows in random order, so that many nodes that start together
// spread over them, and puts this node into the first one that is free or old.
// It returns the others' addresses, and whether it sent a write. Addresses may come
// with an error.
func (s *seeds) join(ctx context.Context) (found []member.Peer, wrote bool, err error) {
	if l, ok := s.table.(port.Lister); ok {
		return s.joinAtOnce(ctx, l)
	}
	taken := false
	for _, slot := range rand.Perm(seedSlots) {
		it, row, err := s.read(ctx, slot)
		if err != nil {
			return found, wrote, err
		}
		if row.Control != "" && row.Control != s.self.Control {
			found = append(found, member.Peer{Control: row.Control})
		}
		if !taken && (row.Control == s.self.Control || time.Since(row.At) > seedFresh) {
			wrote = true
			taken = s.take(ctx, seedKey(slot), it.Version) == nil
		}
		if taken && len(found) >= enoughSeeds {
			break
		}
	}
	return found, wrote, nil
}

// joinAtOnce is join with one read for all rows.
func (s *seeds) joinAtOnce(ctx context.Context, l port.Lister) (found []member.Peer, wrote bool, err error) {
	items, err := l.List(ctx, seedPrefix)
	if err != nil {
		return nil, false, err
	}
	versions, free := make(map[string]int64), make(map[string]bool)
	for slot := range seedSlots {
		free[seedKey(slot)] = true
	}
	for _, it := range items {
		row := decodeSeed(it)
		if row.Control == s.self.Control {
			free = map[string]bool{it.Key: true} // its own of before, to be made young again
			versions = map[string]int64{it.Key: it.Version}
			continue
		}
		if row.Control != "" {
			found = append(found, member.Peer{Control: row.Control})
		}
		versions[it.Key] = it.Version
		if time.Since(row.At) <= seedFresh {
			delete(free, it.Key)
		}
	}
	for key := range free { // in any order, so that nodes that start together spread
		wrote = true
		_ = s.take(ctx, key, versions[key])
		break
	}
	return found, wrote, nil
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
	return it, decodeSeed(it), nil
}

// decodeSeed reads a row. One that is not ours to read is as good as free.
func decodeSeed(it port.Item) seed {
	var row seed
	if json.Unmarshal(it.Value, &row) != nil {
		return seed{}
	}
	return row
}

// take writes this node into a row if nobody else has meanwhile. A lost answer
// does no harm: the row either names this node or doesn't.
func (s *seeds) take(ctx context.Context, key string, version int64) error {
	s.self.At = time.Now()
	b, err := json.Marshal(s.self)
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "encode a seed")
	}
	return s.table.Put(ctx, port.Put{
		Item:      port.Item{Key: key, Version: version + 1, Value: b, Token: s.self.Control},
		IfVersion: version,
	})
}
