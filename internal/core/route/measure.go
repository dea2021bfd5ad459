package route

import (
	"cmp"
	"math"
	"time"
)

const (
	// errorWeight and shedWeight are the weights of one result in the moving averages.
	errorWeight = 0.1
	shedWeight  = 0.2
	// Trust in reports is multiplied by trustDecay with each answer that contradicts
	// the report, and recovers by trustGain of the rest with each one that agrees.
	trustDecay = 0.7
	trustGain  = 0.05
	// A report below the mean load is contradicted by many refusals or a latency above
	// slowFactor times the mean; a report of a hot target by no refusals and a latency
	// below fastFactor times the mean.
	slowFactor = 2.0
	fastFactor = 1.1
	manySheds  = 0.3
	fewSheds   = 0.01
	// shedDecay is the time constant with which refusals decay. It is short because a
	// refusal costs little, so a target that refused can be tried again soon.
	shedDecay = time.Second
	// decayDelay is how long a measurement is kept before it begins to decay.
	decayDelay = time.Second
)

// Started records that a call is sent to the target at idx.
func (t *Table) Started(now time.Duration, idx int) {
	e := &t.entries[idx]
	e.inFlight++
	if e.avoid != avoidNone {
		e.probing = true
	}
}

// Done records the end of a call; call it exactly once for each Started.
func (t *Table) Done(now time.Duration, idx int, r *Result) {
	e := &t.entries[idx]
	e.inFlight--
	if r.HasLevel {
		e.level, e.exempt, e.levelAt = r.Level, r.Exempt, now
	}
	t.record(now, e, r)
	if at := cmp.Or(r.ReportedAt, now); !e.reported || at >= e.reportedAt {
		t.recordStated(at, e, r)
	}
	if !e.inSubset {
		t.release(int32(idx))
	}
}

func (t *Table) record(now time.Duration, e *entry, r *Result) {
	switch r.Kind {
	case Success:
		t.recordSuccess(now, e, r.Latency)
	case Failure:
		t.recordFailure(now, e, r.Latency)
	case Shed:
		e.shedRate += shedWeight * (1 - e.shedRate)
		e.updatedAt = now
		e.connected()
	case Draining:
		e.Leaving = true
	case ConnectionFailed:
		t.recordBreak(now, e)
	case Ignored:
		e.probing = false
	}
}

func (t *Table) recordSuccess(now time.Duration, e *entry, latency time.Duration) {
	e.sample(t.cfg.LatencyWeight, latency.Seconds())
	e.errorRate -= errorWeight * e.errorRate
	e.shedRate -= shedWeight * e.shedRate
	e.updatedAt = now
	e.failures, e.ejections = 0, 0
	e.connected()
	if e.avoid == avoidErrors && now >= e.avoidUntil {
		e.avoid = avoidNone
	}
}

func (t *Table) recordFailure(now time.Duration, e *entry, latency time.Duration) {
	// A target that fails immediately has short latencies and nothing in flight, so it
	// would look idle and attract the calls of all callers. A failure therefore never
	// lowers the mean latency, only raises it.
	if s := latency.Seconds(); !e.measured || s > e.latency {
		e.sample(t.cfg.LatencyWeight, s)
	}
	e.errorRate += errorWeight * (1 - e.errorRate)
	e.updatedAt = now
	e.failures++
	e.connected()
	if e.failures >= t.cfg.EjectAfter || e.errorRate >= t.cfg.EjectErrors {
		t.eject(now, e)
	}
}

// connected records that a connection to the target works.
func (e *entry) connected() {
	e.probing = false
	e.breaks = 0
	if e.avoid == avoidFailed {
		e.avoid = avoidNone
	}
}

func (e *entry) sample(weight, s float64) {
	if !e.measured {
		e.latency, e.measured = s, true
		return
	}
	e.latency += weight * (s - e.latency)
}

// recordStated records what the target's node states of the target at the given time.
func (t *Table) recordStated(at time.Duration, e *entry, r *Result) {
	if r.Limit > 0 {
		t.recordReport(at, e, r)
	}
	if r.ClassTime > 0 {
		t.recordClassTime(at, e, r)
	}
}

// recordReport records the load that the target reports and compares it with the
// measurements. A target that reports low load while it refuses or is slow, or high
// load while it is fast, loses trust.
func (t *Table) recordReport(at time.Duration, e *entry, r *Result) {
	e.reportedLoad = float64(r.InFlight) / float64(r.Limit)
	e.reportedLimit = r.Limit
	e.reported, e.reportedAt, e.inFlightAtReport = true, at, e.inFlight
	slow := t.meanLatency > 0 && e.latency > slowFactor*t.meanLatency
	fast := e.latency < fastFactor*t.meanLatency && e.shedRate < fewSheds
	low, high := e.reportedLoad < t.meanLoad, e.reportedLoad > t.hotLoad()
	if (low && (slow || e.shedRate > manySheds)) || (high && fast) {
		e.trust *= trustDecay
		return
	}
	e.trust += trustGain * (1 - e.trust)
}

// eject avoids a failing target, unless too many are ejected already.
func (t *Table) eject(now time.Duration, e *entry) {
	if e.avoid != avoidNone && now < e.avoidUntil {
		return
	}
	if t.countEjected(now) >= t.maxEjected() {
		e.avoid = avoidNone
		return
	}
	e.avoid = avoidErrors
	e.avoidUntil = now + backoff(t.cfg.EjectTime, t.cfg.EjectMax, e.ejections)
	e.ejections++
	e.failures = t.cfg.EjectAfter - 1 // the first failure afterwards ejects it again
}

func (t *Table) countEjected(now time.Duration) int {
	n := 0
	for _, i := range t.all {
		if e := &t.entries[i]; e.avoid == avoidErrors && now < e.avoidUntil {
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

// recordBreak avoids a target after a connection failure. Membership takes seconds to notice
// a crash, and until then each call to the target would be lost; this way only the
// calls in flight are. Failures of calls that were sent before the first failure was
// seen count once.
func (t *Table) recordBreak(now time.Duration, e *entry) {
	wasProbe := e.probing
	e.probing = false
	if e.avoid == avoidFailed && !wasProbe {
		return
	}
	e.avoid = avoidFailed
	wait := backoff(t.cfg.BreakTime, t.cfg.BreakMax, e.breaks)
	// Jitter spreads the callers that reconnect to a recovered target.
	e.avoidUntil = now + wait/2 + time.Duration(t.rng.Int64N(int64(wait)+1))
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

// NextProbe returns a target that was avoided for connection failures, whose backoff
// has ended and that has no call in flight. The node should try to connect to it
// without sending a request, so that no call is at risk, and report the result to
// ProbeDone. Probing is optional; without it Pick sends one call at a time.
func (t *Table) NextProbe(now time.Duration) (idx int, ok bool) {
	for _, i := range t.all {
		e := &t.entries[i]
		if e.avoid == avoidFailed && !e.probing && now >= e.avoidUntil && !e.Leaving {
			e.probing = true
			e.inFlight++ // keeps the index until ProbeDone
			return int(i), true
		}
	}
	return 0, false
}

// ProbeDone records the end of a probe and whether the connection succeeded.
func (t *Table) ProbeDone(now time.Duration, idx int, connected bool) {
	e := &t.entries[idx]
	e.inFlight--
	if connected {
		e.connected()
	} else {
		t.recordBreak(now, e)
	}
	if !e.inSubset {
		t.release(int32(idx))
	}
}

// decayFactor returns the factor by which a value decays in dt.
func decayFactor(dt, constant time.Duration) float64 {
	return math.Exp(-dt.Seconds() / constant.Seconds())
}
