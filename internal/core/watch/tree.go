package watch

import (
	"cmp"
	"math"
	"slices"

	"peardrift/internal/core/request"
)

// tree orders the nodes of a region by a hash of their names. The first Roots of
// the order are the top level; each further level has Fanout times as many.
type tree struct {
	root  bool
	above []Peer // the level above in order; for a root, the roots
}

// Salts of the orders of the nodes.
const (
	byRank   = iota // which of them are roots, and the levels below
	byParent        // which of the level above a node asks first
)

// placed is a node with its place in the order.
type placed struct {
	at   uint64
	peer Peer
}

// treeOf places a node among its region's; it looks at each of them twice and sorts
// those of the upper levels only.
func treeOf(cfg Config, self request.TargetID, peers []Peer) tree {
	mine := self.Order(byRank)
	rank := 0
	for _, p := range peers {
		if p.ID.Order(byRank) < mine {
			rank++
		}
	}
	from, to, root := level(cfg, rank)
	first := firstOf(peers, to)
	return tree{root: root, above: first[min(from, len(first)):]}
}

// level returns the bounds in the order of the level above that of a rank. The
// roots' is their own.
func level(cfg Config, rank int) (from, to int, root bool) {
	size := cfg.Roots
	to = size
	if rank < to {
		return 0, to, true
	}
	for {
		size *= cfg.Fanout
		if rank < to+size {
			return from, to, false
		}
		from, to = to, to+size
	}
}

// firstOf returns the first n of the order.
func firstOf(peers []Peer, n int) []Peer {
	// Positions are spread evenly, so twice the part that is wanted holds enough.
	limit := uint64(math.MaxUint64)
	if 2*n < len(peers) {
		limit = math.MaxUint64 / uint64(len(peers)) * uint64(2*n)
	}
	found := below(peers, limit)
	if len(found) < min(n, len(peers)) {
		found = below(peers, math.MaxUint64)
	}
	slices.SortFunc(found, func(a, b placed) int { return cmp.Compare(a.at, b.at) })
	out := make([]Peer, 0, n)
	for _, p := range found[:min(n, len(found))] {
		out = append(out, p.peer)
	}
	return out
}

func below(peers []Peer, limit uint64) []placed {
	var out []placed
	for _, p := range peers {
		if at := p.ID.Order(byRank); at <= limit {
			out = append(out, placed{at, p})
		}
	}
	return out
}

// parent returns whom a node asks; attempt numbers others. ok is false if there is
// nobody.
func (t tree) parent(self request.TargetID, attempt int) (p Peer, ok bool) {
	first := int(self.Order(byParent) % uint64(max(1, len(t.above))))
	for i := range t.above {
		if p := t.above[(first+attempt+i)%len(t.above)]; p.ID != self {
			return p, true
		}
	}
	return Peer{}, false
}
