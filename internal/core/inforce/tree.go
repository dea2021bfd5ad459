package inforce

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
)

// salt names one order of the members: that of a tenant's version, or of its
// pollers.
type salt struct {
	tenant  uint64
	version uint64
	extra   uint64
}

func saltOf(t request.Tenant, version int64, extra int) salt {
	return salt{tenant: xxhash.Sum64String(string(t)), version: uint64(version), extra: uint64(extra)}
}

// position places a member in the order.
func (s salt) position(id request.TargetID) uint64 { return id.Order(s.tenant, s.version, s.extra) }

// among reports whether self is one of the first n in the order. Most nodes see
// n predecessors after a few peers; only the first ones look at all of them.
func (s salt) among(n int, self request.TargetID, peers []Peer) bool {
	mine := s.position(self)
	for _, p := range peers {
		if n <= 0 {
			return false
		}
		if s.position(p.ID) < mine {
			n--
		}
	}
	return n > 0
}

// parent returns whom self asks: the member nearest to the position that is
// fanout times closer to zero than its own. ok is false for a root, one of the
// first n.
//
// A parent's position is always below its child's, whatever either of them
// knows of the members. So nodes with different views never wait for each other
// in a circle.
func (s salt) parent(n, fanout int, self request.TargetID, peers []Peer) (best Peer, ok bool) {
	mine := s.position(self)
	aim := mine / uint64(fanout)
	before := 0
	nearest := uint64(math.MaxUint64)
	for _, p := range peers {
		at := s.position(p.ID)
		if at >= mine {
			continue
		}
		before++
		if d := distance(at, aim); d < nearest {
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

// treeOf is the order in which a version travels; attempt numbers other trees
// for those whose parent did not help.
func treeOf(h confset.Head, attempt int) salt { return saltOf(h.Tenant, h.Version, attempt) }

// pollersOf is the order of a tenant's pollers.
func pollersOf(t request.Tenant) salt { return saltOf(t, -1, 0) }
