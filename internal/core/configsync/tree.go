package configsync

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// ordering identifies one pseudo-random order of the members: that of a
// tenant's version, or that of its pollers.
type ordering struct {
	tenant  uint64
	version uint64
	variant uint64
}

func newOrdering(t request.Tenant, version int64, variant int) ordering {
	return ordering{tenant: xxhash.Sum64String(string(t)), version: uint64(version), variant: uint64(variant)}
}

// position returns a member's position in the order.
func (o ordering) position(id request.TargetID) uint64 {
	return id.SortKey(o.tenant, o.version, o.variant)
}

// isAmongFirst reports whether self is one of the first n in the order. Most
// nodes find n predecessors after a few peers; only the first ones scan all of
// them.
func (o ordering) isAmongFirst(n int, self request.TargetID, peers []Peer) bool {
	own := o.position(self)
	for _, p := range peers {
		if n <= 0 {
			return false
		}
		if o.position(p.ID) < own {
			n--
		}
	}
	return n > 0
}

// parent returns the peer that self asks: the member nearest to self's position
// divided by fanout. ok is false for a root, one of the first n.
//
// A parent's position is always below its child's, whatever members either of
// them knows. So nodes with different membership views never wait for each
// other in a cycle.
func (o ordering) parent(n, fanout int, self request.TargetID, peers []Peer) (best Peer, ok bool) {
	own := o.position(self)
	target := own / uint64(fanout)
	before := 0
	nearest := uint64(math.MaxUint64)
	for _, p := range peers {
		at := o.position(p.ID)
		if at >= own {
			continue
		}
		before++
		if d := distance(at, target); d < nearest {
			nearest, best = d, p
		}
	}
	return best, before >= n
}

func distance(a, b uint64) uint64 {
	if a > b {
		return a - b
	}
	return b - a
}

// treeOrdering returns the order that defines the tree of a version; each
// attempt uses another tree, for nodes whose parent did not help.
func treeOrdering(h configset.Head, attempt int) ordering {
	return newOrdering(h.Tenant, h.Version, attempt)
}

// pollerOrdering returns the order that selects a tenant's pollers.
func pollerOrdering(t request.Tenant) ordering { return newOrdering(t, -1, 0) }
