package route

import (
	"testing"

	"github.com/matryer/is"
)

// leaves reports whether a call leaves its zone where the own target and another
// zone's are so loaded, and twelve calls are in flight from here, all in the own zone.
func leaves(gap, own, other float64) bool {
	ts := targets(1, 1)
	t := newTable(ts)
	t.cfg.Floor, t.cfg.ZoneGap = 0.85, gap
	t.refresh(0)
	at := func(load float64, idx int32, flying int32) choice {
		e := &t.entries[idx]
		e.util, e.inFlight, e.latency, e.measured = load, flying, 0.05, true
		return choice{idx: idx, rank: cold, cost: t.price(e) * float64(1+flying)}
	}
	near, far := at(own, t.all[0], 12), at(other, t.all[1], 0)
	return t.looksFurther(near) && t.across(near, far).idx == far.idx
}

// Symptom: more than a quarter of the calls go to other zones though all are loaded alike,
// and the bytes cost more than anything else. Events: each zone has one target, all
// of whose slots are taken; some calls wait. Cause: candidates were compared by a cost
// that counts the calls in flight from here, nearly all of which are in the own
// zone.
func TestZonesLoadedAlikeKeepTheirCalls(t *testing.T) {
	is := is.New(t)
	is.True(!leaves(0.5, 1.05, 1.05))
	is.True(!leaves(0.5, 1.3, 0.9))
	is.True(leaves(0, 1.05, 1.05)) // the fault, so that the scene shows it
}

// Symptom: calls wait in one zone while slots of another are free. Events: the own
// target has as many waiting as running, the others are half used.
func TestWaitingCallsLeaveForFreeSlots(t *testing.T) {
	is := is.New(t)
	is.True(leaves(0.5, 2, 0.5))
	is.True(leaves(0.5, 1.5, 1))
}
