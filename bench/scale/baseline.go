package scale

import (
	"math/rand/v2"
	"time"
)

// HeartbeatDetector is a simple failure detector, for comparison: each member sends heartbeats to
// its observers, and an observer without a heartbeat for Timeout declares the member dead
// on its own.
type HeartbeatDetector struct {
	Members   int
	Observers int
	Period    time.Duration
	Timeout   time.Duration
	Loss      float64
}

// FalseDeaths runs the baseline for d with the given share of its members frozen at any
// time, for freeze each, and returns how often a live member was declared dead. An
// observer that resumes first reads the heartbeats that have arrived.
func (h HeartbeatDetector) FalseDeaths(d time.Duration, share float64, freeze time.Duration, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 2))
	const tick = 200 * time.Millisecond
	heard := make([][]time.Duration, h.Members) // time of the last heartbeat by member and observer
	dead := make([]bool, h.Members)
	frozen := make([]time.Duration, h.Members)
	next := make([]time.Duration, h.Members)
	for i := range heard {
		heard[i] = make([]time.Duration, h.Observers)
		next[i] = time.Duration(rng.Int64N(int64(h.Period)))
	}
	deaths := 0
	for now := tick; now < d; now += tick {
		freezeRandom(rng, frozen, now, tick, share, freeze)
		for i := range heard {
			h.sendHeartbeats(rng, heard[i], frozen, next, i, now)
			if h.declaredDead(heard[i], frozen, i, now) {
				if !dead[i] {
					deaths++
				}
				dead[i] = true
			} else {
				dead[i] = false
			}
		}
	}
	return deaths
}

// sendHeartbeats sends a member's heartbeats if they are due.
func (h HeartbeatDetector) sendHeartbeats(rng *rand.Rand, heard, frozen, next []time.Duration, i int, now time.Duration) {
	if frozen[i] > now || next[i] > now {
		return
	}
	next[i] = now + h.Period
	for k := range heard {
		if rng.Float64() >= h.Loss {
			heard[k] = now
		}
	}
}

// declaredDead reports whether a running observer considers the member dead.
func (h HeartbeatDetector) declaredDead(heard, frozen []time.Duration, i int, now time.Duration) bool {
	for k, at := range heard {
		observer := (i + (k+1)*(k+1)) % h.Members
		if frozen[observer] <= now && now-at > h.Timeout {
			return true
		}
	}
	return false
}

// freezeRandom freezes random members so that a share of them is frozen at any time.
func freezeRandom(rng *rand.Rand, frozen []time.Duration, now, tick time.Duration, share float64, freeze time.Duration) {
	want := share * float64(len(frozen)) * tick.Seconds() / freeze.Seconds()
	n := int(want)
	if rng.Float64() < want-float64(n) {
		n++
	}
	for range n {
		if i := rng.IntN(len(frozen)); frozen[i] <= now {
			frozen[i] = now + freeze
		}
	}
}
