package configwatch

import (
	"cmp"
	"math"
	"slices"

	"peardrift/internal/core/request"
)

// tree orders the nodes of a region by a hash of their IDs. The first Roots
// nodes form the top level; each further level has Fanout times as many.
type tree struct {
	root  bool
	above []Peer // the level above in order; for a root, the roots
}

// Salts of the hash orders of the nodes.
const (
	rankSalt   = iota // determines the roots, and the levels below
	parentSalt        // determines which node of the level above is polled first
)

// rankedPeer is a node with its position in the order.
type rankedPeer struct {
	position uint64
	peer     Peer
}

// newTree computes the level above a node; it examines each peer twice and
// sorts only those of the upper levels.
func newTree(cfg Config, self request.TargetID, peers []Peer) tree {
	own := self.SortKey(rankSalt)
	rank := 0
	for _, p := range peers {
		if p.ID.SortKey(rankSalt) < own {
			rank++
		}
	}
	from, to, root := parentLevel(cfg, rank)
	first := firstByRank(peers, to)
	return tree{root: root, above: first[min(from, len(first)):]}
}

// parentLevel returns the bounds, in the order, of the level above that of a
// rank. For the roots it is their own level.
func parentLevel(cfg Config, rank int) (from, to int, root bool) {
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

// firstByRank returns the first n peers of the order.
func firstByRank(peers []Peer, n int) []Peer {
	// Positions are evenly distributed, so twice the wanted share contains
	// enough peers.
	limit := uint64(math.MaxUint64)
	if 2*n < len(peers) {
		limit = math.MaxUint64 / uint64(len(peers)) * uint64(2*n)
	}
	found := peersBelow(peers, limit)
	if len(found) < min(n, len(peers)) {
		found = peersBelow(peers, math.MaxUint64)
	}
	slices.SortFunc(found, func(a, b rankedPeer) int { return cmp.Compare(a.position, b.position) })
	out := make([]Peer, 0, n)
	for _, p := range found[:min(n, len(found))] {
		out = append(out, p.peer)
	}
	return out
}

func peersBelow(peers []Peer, limit uint64) []rankedPeer {
	var out []rankedPeer
	for _, p := range peers {
		if position := p.ID.SortKey(rankSalt); position <= limit {
			out = append(out, rankedPeer{position, p})
		}
	}
	return out
}

// parent returns the node to poll; each attempt selects a different one. ok is
// false if there is none.
func (t tree) parent(self request.TargetID, attempt int) (p Peer, ok bool) {
	first := int(self.SortKey(parentSalt) % uint64(max(1, len(t.above))))
	for i := range t.above {
		if p := t.above[(first+attempt+i)%len(t.above)]; p.ID != self {
			return p, true
		}
	}
	return Peer{}, false
}
