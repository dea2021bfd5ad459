package route

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Locality is the location of a caller.
type Locality struct {
	// Caller identifies the calling node and determines its subset.
	Caller uint64
	Region string
	Zone   string
}

// SubsetSize returns how many of a service's targets each of its callers uses.
//
// Each caller keeps at least one connection to each target of its subset, so callers x
// size connections spread over all targets. The size is the largest one that keeps this
// below ConnShare of the connections that the targets accept, within MinSubset and
// Subset. conns is the sum over all targets; callers is 0 if unknown.
func SubsetSize(cfg *Config, targets, conns, callers int) int {
	size := cfg.Subset
	if callers > 0 && conns > 0 {
		size = min(size, int(cfg.ConnShare*float64(conns))/callers)
	}
	return min(max(size, cfg.MinSubset), targets)
}

// hashedTarget is a candidate with its rendezvous hash.
type hashedTarget struct {
	i    int
	hash uint64
}

// subset returns the indices of the caller's targets in ts, local and remote ones,
// ordered by rendezvous hash. A target that is added or removed changes one target in
// the subsets of about size/targets of the callers. Targets of another region are used
// only if the caller's region has none.
func subset(cfg *Config, at Locality, ts []Target, callers int) (local, remote []int) {
	var own, region, far []hashedTarget
	conns := 0
	for i := range ts {
		t := &ts[i]
		if t.Leaving {
			continue
		}
		conns += t.Conns
		s := hashedTarget{i: i, hash: rendezvous(at.Caller, uint64(t.ID))}
		switch {
		case t.Region != at.Region:
			far = append(far, s)
		case t.Zone == at.Zone:
			own = append(own, s)
		default:
			region = append(region, s)
		}
	}
	if len(own)+len(region) == 0 {
		region = far
	}
	size := SubsetSize(cfg, len(own)+len(region), conns, callers)
	nLocal := min(len(own), max(int(cfg.LocalShare*float64(size)+0.5), size-len(region)))
	return topByHash(own, nLocal), topByHash(region, size-nLocal)
}

func topByHash(s []hashedTarget, n int) []int {
	slices.SortFunc(s, func(a, b hashedTarget) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.i, b.i))
	})
	idx := make([]int, 0, n)
	for _, c := range s[:min(n, len(s))] {
		idx = append(idx, c.i)
	}
	return idx
}

func rendezvous(caller, target uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], caller)
	binary.LittleEndian.PutUint64(b[8:], target)
	return xxhash.Sum64(b[:])
}
