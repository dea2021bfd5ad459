package pace

import (
	"math"
	"time"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
)

// Admitted tells which part of an importance a service admits. earlyrefusal.Table
// implements it.
type Admitted interface {
	// Fraction returns the part of an importance that the callee and the chain below it
	// admit, 0 to 1.
	Fraction(now time.Duration, k earlyrefusal.Key, imp request.Importance) float64
}

// Table holds the token buckets of one entry node.
type Table struct {
	cfg      Config
	admitted Admitted
	buckets  map[bucketKey]*bucket
}

type bucketKey struct {
	key        earlyrefusal.Key
	importance request.Importance
}

// New returns a table without demand.
func New(cfg Config, a Admitted) *Table {
	return &Table{cfg: cfg, admitted: a, buckets: map[bucketKey]*bucket{}}
}

// Arrived counts a request as demand. It is called once for each request.
func (t *Table) Arrived(now time.Duration, k earlyrefusal.Key, imp request.Importance) {
	id := bucketKey{k, imp}
	b := t.buckets[id]
	if b == nil {
		if len(t.buckets) >= t.cfg.MaxKeys && !t.dropIdle(now) {
			return
		}
		b = &bucket{at: now}
		t.buckets[id] = b
	}
	b.advance(now, &t.cfg, t.admitted.Fraction(now, k, imp))
	b.demand += 1 / t.cfg.DemandWindow.Seconds()
}

// Start reports whether a request of the importance may start now and, if so, counts it.
func (t *Table) Start(now time.Duration, k earlyrefusal.Key, imp request.Importance) bool {
	b := t.buckets[bucketKey{k, imp}]
	if b == nil {
		return true
	}
	b.advance(now, &t.cfg, t.admitted.Fraction(now, k, imp))
	return b.take()
}

// Next returns the earliest time at which Start may succeed, at most Config.Recheck ahead.
func (t *Table) Next(now time.Duration, k earlyrefusal.Key, imp request.Importance) time.Duration {
	b := t.buckets[bucketKey{k, imp}]
	if b == nil {
		return now
	}
	b.advance(now, &t.cfg, t.admitted.Fraction(now, k, imp))
	return now + b.wait(t.cfg.Recheck, t.cfg.DemandWindow)
}

// idleWindows is the number of demand windows without an arrival after which a bucket
// may be dropped.
const idleWindows = 10

// dropIdle drops the buckets without demand and reports whether there were any.
func (t *Table) dropIdle(now time.Duration) bool {
	dropped := false
	for id, b := range t.buckets {
		if now-b.at > idleWindows*t.cfg.DemandWindow {
			delete(t.buckets, id)
			dropped = true
		}
	}
	return dropped
}

// bucket is the token bucket of one key and importance. Rates are in requests per second.
type bucket struct {
	at      time.Duration // of the last advance
	demand  float64       // of all arrivals, decaying over Config.DemandWindow
	ceiling float64       // of the demand that counts, while paced
	paced   bool
	rate    float64
	tokens  float64
}

// advance moves the bucket to now and adds the tokens of the time since its last advance.
func (b *bucket) advance(now time.Duration, cfg *Config, fraction float64) {
	dt := max(now-b.at, 0).Seconds()
	b.at = max(b.at, now)
	window := cfg.DemandWindow.Seconds()
	arrived := -b.demand * window * math.Expm1(-dt/window) // integral of the demand over dt
	b.demand *= math.Exp(-dt / window)
	if fraction >= 1 {
		b.paced, b.tokens = false, 0
		return
	}
	if !b.paced {
		b.paced, b.ceiling = true, b.demand
	}
	grown := max(b.ceiling, 1/window) * math.Pow(cfg.Growth, dt/cfg.GrowthStep.Seconds())
	b.ceiling = min(grown, b.demand+b.deviation(window))
	fraction = max(fraction, cfg.ProbeFraction)
	b.rate = fraction * min(b.demand, b.ceiling)
	b.tokens += fraction * min(arrived, b.ceiling*dt)
	b.tokens = min(b.tokens, max(1, b.rate*cfg.Depth.Seconds()))
}

// deviation returns by how much the demand may exceed the measured one by chance: one
// arrival and two standard deviations of the measurement of Poisson arrivals. If the
// ceiling followed each random minimum, little demand would be counted too low.
func (b *bucket) deviation(window float64) float64 {
	return 1/window + 2*math.Sqrt(b.demand/(2*window))
}

// take takes a token if the bucket is paced, and reports whether there was one.
func (b *bucket) take() bool {
	if !b.paced {
		return true
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the time until a token is there if no request arrives, at most limit.
func (b *bucket) wait(limit, window time.Duration) time.Duration {
	if !b.paced || b.tokens >= 1 {
		return 0
	}
	rest := 1 - (1-b.tokens)/(b.rate*window.Seconds())
	if !(rest > 0) {
		return limit
	}
	return min(limit, time.Duration(math.Ceil(-math.Log(rest)*float64(window)))+1)
}
