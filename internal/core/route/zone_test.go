package route

import (
	"testing"

	"github.com/matryer/is"
)

// leavesZone reports whether a call leaves its zone at the given loads of the local and
// the remote target, with twelve calls in flight from this caller, all in its own zone.
func leavesZone(gap, own, other float64) bool {
	ts := targets(1, 1)
	t := newTable(ts)
	t.cfg.MinHotLoad, t.cfg.ZoneGap = 0.85, gap
	t.refresh(0)
	at := func(load float64, idx int32, inFlight int32) candidate {
		e := &t.entries[idx]
		e.load, e.inFlight, e.latency, e.measured = load, inFlight, 0.05, true
		return candidate{idx: idx, rank: cold, cost: t.targetCost(e) * float64(1+inFlight)}
	}
	near, far := at(own, t.all[0], 12), at(other, t.all[1], 0)
	return t.considersRemote(near) && t.betterAcrossZones(near, far).idx == far.idx
}

// Guards against calls that leave their zone though all zones are equally loaded: with
// all slots taken and some calls queued, more than a quarter of the calls went to other
// zones, because the cost counted the calls in flight from this caller, nearly all of
// which are local. That traffic was the largest cost.
func TestEquallyLoadedZonesKeepCalls(t *testing.T) {
	is := is.New(t)
	is.True(!leavesZone(0.5, 1.05, 1.05))
	is.True(!leavesZone(0.5, 1.3, 0.9))
	is.True(leavesZone(0, 1.05, 1.05)) // without ZoneGap the call leaves
}

// Guards against calls that queue in one zone while another has free slots: the local
// target has as many calls queued as running, the others are half used.
func TestQueuedCallsSpillToFreeZone(t *testing.T) {
	is := is.New(t)
	is.True(leavesZone(0.5, 2, 0.5))
	is.True(leavesZone(0.5, 1.5, 1))
}
