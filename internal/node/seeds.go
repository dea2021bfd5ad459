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

// seedRowCount is the number of seed rows in the platform's table. It bounds the reads of
// a starting node and the writes of all nodes.
const seedRowCount = 16

// seedMaxAge is the age above which another node may claim a row. Each row of a departed
// node costs a joining node one failed connection.
const seedMaxAge = 10 * time.Minute

// seedRow is the value of a seed row.
type seedRow struct {
	Control string    `json:"control"`
	Region  string    `json:"region"`
	At      time.Time `json:"at"`
}

// seedStore finds nodes to join through in the platform's table and adds this node to it.
// It is not needed while any peer of the settings is reachable.
type seedStore struct {
	table port.Table
	self  seedRow
}

const seedPrefix = "seeds/"

func seedKey(slot int) string { return fmt.Sprintf("%s%02d", seedPrefix, slot) }

// join reads the rows in random order, so that nodes that start together spread over
// them, and writes this node into the first row that is free or older than seedMaxAge. It
// returns the other nodes' addresses and whether it sent a write. It may return addresses
// together with an error.
func (s *seedStore) join(ctx context.Context) (found []member.Peer, wrote bool, err error) {
	if l, ok := s.table.(port.Lister); ok {
		return s.joinByList(ctx, l)
	}
	claimed := false
	for _, slot := range rand.Perm(seedRowCount) {
		it, row, err := s.read(ctx, slot)
		if err != nil {
			return found, wrote, err
		}
		if row.Control != "" && row.Control != s.self.Control {
			found = append(found, member.Peer{ControlAddr: row.Control})
		}
		if !claimed && (row.Control == s.self.Control || time.Since(row.At) > seedMaxAge) {
			wrote = true
			claimed = s.claim(ctx, seedKey(slot), it.Version) == nil
		}
		if claimed && len(found) >= enoughSeeds {
			break
		}
	}
	return found, wrote, nil
}

// joinByList is join with one read for all rows.
func (s *seedStore) joinByList(ctx context.Context, l port.Lister) (found []member.Peer, wrote bool, err error) {
	items, err := l.List(ctx, seedPrefix)
	if err != nil {
		return nil, false, err
	}
	versions, free := make(map[string]int64), make(map[string]bool)
	for slot := range seedRowCount {
		free[seedKey(slot)] = true
	}
	for _, it := range items {
		row := decodeSeed(it)
		if row.Control == s.self.Control {
			free = map[string]bool{it.Key: true} // this node's own row, which is refreshed
			versions = map[string]int64{it.Key: it.Version}
			continue
		}
		if row.Control != "" {
			found = append(found, member.Peer{ControlAddr: row.Control})
		}
		versions[it.Key] = it.Version
		if time.Since(row.At) <= seedMaxAge {
			delete(free, it.Key)
		}
	}
	for key := range free { // random order, so that nodes that start together spread
		wrote = true
		_ = s.claim(ctx, key, versions[key])
		break
	}
	return found, wrote, nil
}

// enoughSeeds is the number of addresses that a joining node reads, if there are as many.
const enoughSeeds = 4

func (s *seedStore) read(ctx context.Context, slot int) (port.Item, seedRow, error) {
	it, err := s.table.Get(ctx, seedKey(slot))
	if errors.Is(err, port.ErrNotFound) {
		return port.Item{}, seedRow{}, nil
	}
	if err != nil {
		return it, seedRow{}, err
	}
	return it, decodeSeed(it), nil
}

// decodeSeed decodes a row. A row that can't be decoded counts as free.
func decodeSeed(it port.Item) seedRow {
	var row seedRow
	if json.Unmarshal(it.Value, &row) != nil {
		return seedRow{}
	}
	return row
}

// claim writes this node into a row if no other node has meanwhile. A lost response is
// harmless: the row either names this node or doesn't.
func (s *seedStore) claim(ctx context.Context, key string, version int64) error {
	s.self.At = time.Now()
	b, err := json.Marshal(s.self)
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "encode seed row")
	}
	return s.table.Put(ctx, port.Put{
		Item:      port.Item{Key: key, Version: version + 1, Value: b, Token: s.self.Control},
		IfVersion: version,
	})
}
