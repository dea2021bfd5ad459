package route

import (
	"math"
	"time"
)

const (
	// errorWeight and shedWeight are the weights of one result in the shares.
	errorWeight = 0.1
	shedWeight  = 0.2
	// Trust in reports falls by distrust with each answer that contradicts the
	// report, and regains part of the rest with each one that agrees.
	distrust = 0.7
	regain   = 0.05
	// A report below the mean load is contradicted by many refusals or a time
	// that is slowFactor times the mean; one of a hot target by no refusals and
	// a time below fastFactor times the mean.
	slowFactor = 2.0
	fastFactor = 1.1
	manySheds  = 0.3
	fewSheds   = 0.01
	// shedMemory is the time constant in which refusals are forgotten: a target
	// that refused is tried again soon, since a refusal costs little.
	shedMemory = time.Second
	// restTime is how long a measurement holds before it begins to be forgotten.
	restTime = time.Second
)

// Started books a call that is sent to the target at idx.
func (t *Table) Started(now time.Duration, idx int) {
	e := &t.entries[idx]
	e.inFlight++
	if e.avoid != avoidNot {
		e.probing = true
	}
}

// Done books the end of a call; it comes exactly once for each Started.
func (t *Table) Done(now time.Duration, idx int, r *Result) {
	e := &t.entries[idx]
	e.inFlight--
	if r.HasLevel {
		e.level, e.levelAt = r.Level, now
	}
	t.book(now, e, r)
	if r.Limit > 0 {
		t.report(now, e, r)
	}
	if !e.used {
		t.release(int32(idx))
	}
}

func (t *Table) book(now time.Duration, e *entry, r *Result) {
	switch r.Kind {
	case Success:
		t.succeeded(now, e, r.Latency)
	case Failure:
		t.failed(now, e, r.Latency)
	case Shed:
		e.shed += shedWeight * (1 - e.shed)
		e.changed = now
		e.reached()
	case Leaves:
		e.Leaving = true
	case Broken:
		t.broke(now, e)
	case Ignored:
		e.probing = false
	}
}

func (t *Table) succeeded(now time.Duration, e *entry, latency time.Duration) {
	e.sample(t.cfg.LatencyWeight, latency.Seconds())
	e.errors -= errorWeight * e.errors
	e.shed -= shedWeight * e.shed
	e.changed = now
	e.failures, e.ejections = 0, 0
	e.reached()
	if e.avoid == avoidErrors && now >= e.until {
		e.avoid = avoidNot
	}
}

func (t *Table) failed(now time.Duration, e *entry, latency time.Duration) {
	// Symptom: one target fails at once and draws the calls of all callers.
	// Its times are short and nothing is ever in flight, so it looks idle.
	// A failure therefore never lowers the mean time, only raises it.
	if s := latency.Seconds(); !e.measured || s > e.latency {
		e.sample(t.cfg.LatencyWeight, s)
	}
	e.errors += errorWeight * (1 - e.errors)
	e.changed = now
	e.failures++
	e.reached()
	if e.failures >= t.cfg.EjectAfter || e.errors >= t.cfg.EjectErrors {
		t.eject(now, e)
	}
}

// reached notes that a connection to the target works.
func (e *entry) reached() {
	e.probing = false
	e.breaks = 0
	if e.avoid == avoidBroken {
		e.avoid = avoidNot
	}
}

func (e *entry) sample(weight, s float64) {
	if !e.measured {
		e.latency, e.measured = s, true
		return
	}
	e.latency += weight * (s - e.latency)
}

// report takes in the target's own word on its load and weighs it against what
// was measured here: a target that says it is idle while it refuses or is slow,
// or that it is full while it is fast, is believed less.
func (t *Table) report(now time.Duration, e *entry, r *Result) {
	e.load = float64(r.InFlight) / float64(r.Limit)
	e.reported, e.reportedAt, e.ownThen = true, now, e.inFlight
	slow := t.meanLatency > 0 && e.latency > slowFactor*t.meanLatency
	fast := e.latency < fastFactor*t.meanLatency && e.shed < fewSheds
	low, high := e.load < t.meanUtil, e.load > t.hotLoad()
	if (low && (slow || e.shed > manySheds)) || (high && fast) {
		e.trust *= distrust
		return
	}
	e.trust += regain * (1 - e.trust)
}

// eject avoids a target that fails, unless too many are avoided already.
func (t *Table) eject(now time.Duration, e *entry) {
	if e.avoid != avoidNot && now < e.until {
		return
	}
	if t.ejected(now) >= t.maxEjected() {
		e.avoid = avoidNot
		return
	}
	e.avoid = avoidErrors
	e.until = now + backoff(t.cfg.EjectTime, t.cfg.EjectMax, e.ejections)
	e.ejections++
	e.failures = t.cfg.EjectAfter - 1 // the first failure after it ejects again
}

func (t *Table) ejected(now time.Duration) int {
	n := 0
	for _, i := range t.all {
		if e := &t.entries[i]; e.avoid == avoidErrors && now < e.until {
			n++
		}
	}
	return n
}

func (t *Table) maxEjected() int {
	n := t.Len()
	if n < 2 {
		return 0
	}
	return max(1, int(t.cfg.MaxEjected*float64(n)))
}

// broke avoids a target at once. Symptom otherwise: each call to a target that
// crashed is lost until the membership notices, which takes seconds; so the
// calls in flight are lost and no others. Breaks of calls that were sent before
// the first one was seen count once.
func (t *Table) broke(now time.Duration, e *entry) {
	wasProbe := e.probing
	e.probing = false
	if e.avoid == avoidBroken && !wasProbe {
		return
	}
	e.avoid = avoidBroken
	wait := backoff(t.cfg.BreakTime, t.cfg.BreakMax, e.breaks)
	// Spread, so that the callers of a target that returns don't all come at once.
	e.until = now + wait/2 + time.Duration(t.rng.Int64N(int64(wait)+1))
	e.breaks++
}

// backoff is base doubled n times, at most limit.
func backoff(base, limit time.Duration, n int) time.Duration {
	for range n {
		if base >= limit {
			break
		}
		base *= 2
	}
	return min(base, limit)
}

// NextProbe names a target whose avoidance for broken connections has run out
// and to which no call is under way, for the node to try with a bare
// connection and no request: then no call is risked. Answer with Probed.
// A node that doesn't probe may leave it; Pick then sends one call at a time.
func (t *Table) NextProbe(now time.Duration) (idx int, ok bool) {
	for _, i := range t.all {
		e := &t.entries[i]
		if e.avoid == avoidBroken && !e.probing && now >= e.until && !e.Leaving {
			e.probing = true
			e.inFlight++ // keeps the index until Probed
			return int(i), true
		}
	}
	return 0, false
}

// Probed books the end of a probe: whether the connection could be made.
func (t *Table) Probed(now time.Duration, idx int, connected bool) {
	e := &t.entries[idx]
	e.inFlight--
	if connected {
		e.reached()
	} else {
		t.broke(now, e)
	}
	if !e.used {
		t.release(int32(idx))
	}
}

// fade returns the factor by which something decays in dt.
func fade(dt, constant time.Duration) float64 {
	return math.Exp(-dt.Seconds() / constant.Seconds())
}
