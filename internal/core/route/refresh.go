package route

import "time"

const (
	// errorCost is the relative extra cost of a target that always fails.
	errorCost = 20
	// loadCost is the relative extra cost of a fully loaded target.
	loadCost = 1
	// minInFlight is the number of calls in flight from this caller from which they are
	// a better signal than the target's report. A report is as old as the last answer,
	// and callers that all follow it overload the targets in turn.
	minInFlight = 4
	// minLatency, in seconds, keeps differences between very short latencies from
	// deciding.
	minLatency = 100e-6
	// suspectLoad is the minimum load assumed for a target suspected dead.
	suspectLoad = 1
)

// refresh recomputes what Pick compares, at most once per Config.Refresh.
func (t *Table) refresh(now time.Duration) {
	if t.derivedValid && now-t.refreshedAt < t.cfg.Refresh {
		return
	}
	dt := now - t.refreshedAt
	t.refreshedAt, t.derivedValid = now, true
	t.updateMeans(now, dt)
	topWeight := t.updateWeights(now)
	for _, i := range t.all {
		e := &t.entries[i]
		if topWeight > 0 {
			e.weight /= topWeight
		}
		e.hot = e.load > t.hotLoad() && e.inFlight < minInFlight
		e.cost = t.targetCost(e)
	}
}

// hotLoad returns the load above which a target is hot.
func (t *Table) hotLoad() float64 { return max(t.cfg.MinHotLoad, t.cfg.HotFactor*t.meanLoad) }

// updateMeans decays old measurements and computes the mean latency and load.
func (t *Table) updateMeans(now, dt time.Duration) {
	sum, n := 0.0, 0
	f := decay{shed: decayFactor(dt, shedDecay), rest: decayFactor(dt, t.cfg.DecayTime)}
	for _, i := range t.all {
		e := &t.entries[i]
		t.decayEntry(now, e, f)
		if e.measured && e.avoid == avoidNone {
			sum += e.latency
			n++
		}
	}
	if n > 0 {
		t.meanLatency = sum / float64(n)
	}
	t.meanLoad = t.updateLoads(now)
}

// updateLoads computes the load of each target and returns the mean. A target without
// measurements counts as the mean of the others, but at most as MinHotLoad, so that a zone
// loaded above MinHotLoad sends calls to unknown targets and measures them.
func (t *Table) updateLoads(now time.Duration) float64 {
	sum, known := 0.0, 0
	for _, i := range t.all {
		e := &t.entries[i]
		if e.load = t.estimateLoad(now, e); e.load >= 0 {
			sum += e.load
			known++
		}
	}
	guess := 0.0
	if known > 0 {
		guess = min(sum/float64(known), t.cfg.MinHotLoad)
	}
	for _, i := range t.all {
		if e := &t.entries[i]; e.load < 0 {
			e.load = guess
			sum += guess
		}
	}
	return sum / float64(max(t.Len(), 1))
}

// decay holds the decay factors from one refresh to the next.
type decay struct {
	shed float64
	rest float64
}

// decayEntry lets the measurements of a target without calls decay to the mean.
// Otherwise a target that was slow once would get no more calls, and nothing would show
// that it recovered.
func (t *Table) decayEntry(now time.Duration, e *entry, f decay) {
	e.shedRate *= f.shed
	if now-e.updatedAt < decayDelay {
		return
	}
	e.errorRate *= f.rest
	e.latency = t.meanLatency + f.rest*(e.latency-t.meanLatency)
}

// unknownLoad is the load of a target without measurements.
const unknownLoad = -1

// estimateLoad returns the load of a target, about 0 to 1: the report plus the calls
// sent since, weighted by trust; otherwise what the measurements show.
func (t *Table) estimateLoad(now time.Duration, e *entry) float64 {
	if e.Suspected {
		return max(suspectLoad, e.reportedLoad)
	}
	own := float64(e.inFlight) / float64(max(e.Slots, 1))
	recent := now-e.updatedAt < t.cfg.ReportAge
	switch {
	case e.reported && now-e.reportedAt < t.cfg.ReportAge:
		load := max(e.reportedLoad+own-float64(e.inFlightAtReport)/float64(max(e.Slots, 1)), 0)
		return max(e.trust*load+(1-e.trust)*t.measuredLoad(e, own), e.shedRate)
	case e.measured && recent && !e.reported:
		return max(t.measuredLoad(e, own), e.shedRate)
	case own > 0 || e.shedRate > 0:
		return max(own, e.shedRate)
	}
	return unknownLoad
}

// measuredLoad estimates the load from the latency: a target at the mean latency counts
// as half loaded, one at twice the mean as fully loaded.
func (t *Table) measuredLoad(e *entry, own float64) float64 {
	if !e.measured || t.meanLatency <= 0 {
		return own
	}
	return max(own, min(e.latency/t.meanLatency/2, 1))
}

// updateWeights sets the sampling weight of each target by its slots and age, and
// returns the highest one.
func (t *Table) updateWeights(now time.Duration) float64 {
	top := 0.0
	for _, i := range t.all {
		e := &t.entries[i]
		e.weight = float64(max(e.Slots, 1)) * t.ramp(now, e)
		top = max(top, e.weight)
	}
	return top
}

// ramp returns the fraction of its weight that a target gets by its age.
func (t *Table) ramp(now time.Duration, e *entry) float64 {
	age := now - e.Since
	if e.Since == 0 || age >= t.cfg.SlowStart {
		return 1
	}
	return max(t.cfg.SlowStartMin, age.Seconds()/t.cfg.SlowStart.Seconds())
}

// targetCost returns the cost of a target, ignoring the calls in flight from this
// caller: the expected latency, increased by load and failures. A target's own latency
// counts only if it is an outlier. A mean over short and long request classes varies
// more than targets differ, so otherwise all callers would follow the noise and fill
// the targets in turn.
func (t *Table) targetCost(e *entry) float64 {
	s := t.meanLatency
	if e.measured && e.latency > slowFactor*s {
		s = e.latency
	}
	if !e.local {
		s += t.cfg.ZoneCost.Seconds()
	}
	return max(s, minLatency) * (1 + loadCost*e.load*e.load) * (1 + errorCost*e.errorRate)
}
