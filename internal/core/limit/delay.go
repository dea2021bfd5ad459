package limit

import (
	"math"
	"time"
)

// Weights of a new sample, and how many samples make them so small.
const (
	recentWeight = 1.0 / 32
	baseWeight   = 1.0 / 256
	driftWeight  = 1.0 / 1024
)

// Signs of requests that wait inside the target.
const (
	delayInflation = 2    // a recent mean above this many times the usual one
	delaySpread    = 0.35 // and a spread below this part of the usual one
	delayMajority  = 0.5  // in kinds that make up this part of the completions
	usualInflation = 1.5  // up to here a recent mean counts as usual
	delaySamples   = 64   // of a kind, before it says anything
)

// Delay finds requests that wait inside the target by how their times spread.
//
// A target that is slow stretches all times: long ones and short ones by the
// same factor, and the variance of their logarithm stays. A target that queues
// adds much the same wait to each, and the variance falls. One would notice
// a mistake by trials of the limit while the target is only slow. Times must
// be the target's own, without its calls to others: a wait below looks like a
// queue too.
type Delay struct {
	kinds []kind
	seen  []int // kinds with completions in this window
}

// kind is what is known of one kind of request.
type kind struct {
	n      int
	usual  spread // while nothing seems to wait
	recent spread
	whole  float64 // recent mean time in the target, waiting for calls below included
	last   float64 // logarithm of the last time
	done   int     // completions in this window
}

// spread is a mean time in seconds, and half the mean square of the difference
// between the logarithms of one time and the next: their variance, without what
// a wait that grows or falls slowly would add.
type spread struct{ mean, variance float64 }

func (s *spread) add(x, half, weight float64) {
	s.mean += weight * (x - s.mean)
	s.variance += weight * (half - s.variance)
}

// step returns half the square of the difference between the logarithm of a time
// and that of the one before.
func (k *kind) step(x float64) float64 {
	l := math.Log(x)
	d := l - k.last
	k.last = l
	if k.n <= 1 {
		return 0
	}
	return d * d / 2
}

// NewDelay returns a Delay for n kinds of request.
func NewDelay(n int) *Delay { return &Delay{kinds: make([]kind, n)} }

// Done counts a completion of a kind.
func (d *Delay) Done(of int) {
	k := &d.kinds[of]
	if k.done == 0 {
		d.seen = append(d.seen, of)
	}
	k.done++
}

// Note takes in that a request of a kind was in the target for whole, and spent
// own of it there without waiting for calls below.
func (d *Delay) Note(of int, whole, own time.Duration) {
	if own <= 0 {
		return
	}
	k, x := &d.kinds[of], own.Seconds()
	k.n++
	weight := max(recentWeight, 1/float64(k.n))
	half := k.step(x)
	k.recent.add(x, half, weight)
	k.whole += weight * (whole.Seconds() - k.whole)
	k.usual.add(x, half, k.weight())
}

// weight returns how much a sample counts in what is usual.
func (k *kind) weight() float64 {
	switch {
	case k.n <= delaySamples:
		return 1 / float64(k.n)
	case k.waits():
		return 0
	case k.recent.mean > usualInflation*k.usual.mean:
		return driftWeight
	}
	return baseWeight
}

func (k *kind) waits() bool {
	return k.recent.mean > delayInflation*k.usual.mean && k.recent.variance < delaySpread*k.usual.variance
}

// Roll ends a window. If requests wait inside the target, it returns the time
// there that the completed ones would have needed without that; else 0.
func (d *Delay) Roll() time.Duration {
	var all, wait, usual, narrow, needed float64
	for _, i := range d.seen {
		k := &d.kinds[i]
		n := float64(k.done)
		k.done = 0
		if k.n <= delaySamples || k.usual.variance == 0 {
			continue
		}
		all += n
		wait += n * (k.recent.mean - k.usual.mean)
		usual += n * k.usual.mean
		needed += n * (k.whole - k.recent.mean + k.usual.mean)
		narrow += n * k.recent.variance / k.usual.variance
	}
	d.seen = d.seen[:0]
	if wait < (delayInflation-1)*usual || narrow > delaySpread*all || all == 0 {
		return 0
	}
	return time.Duration(needed * float64(time.Second))
}
