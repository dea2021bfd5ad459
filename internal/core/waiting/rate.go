package waiting

import (
	"math"
	"time"
)

// startRate measures starts a second with exponential decay.
type startRate struct {
	count float64
	at    time.Duration // of the last start
	since time.Duration // when the measurement began
}

// restartBelow is the decayed count below which a measurement begins anew.
const restartBelow = 0.1

func (r *startRate) add(now, window time.Duration) {
	r.count *= math.Exp(-(now - r.at).Seconds() / window.Seconds())
	if r.count < restartBelow {
		r.count, r.since = 0, now
	}
	r.count++
	r.at = now
}

// perSecond returns the rate; it allows for a measurement younger than the window.
func (r *startRate) perSecond(now, window time.Duration) float64 {
	if r.count == 0 {
		return 0
	}
	tau := window.Seconds()
	count := r.count * math.Exp(-(now-r.at).Seconds()/tau)
	if count < restartBelow {
		return 0
	}
	seen := tau * (1 - math.Exp(-(now-r.since).Seconds()/tau))
	return count / max(seen, minRateSpan.Seconds())
}

// minRateSpan is the shortest time over which a rate is computed.
const minRateSpan = 100 * time.Millisecond
