package route

import "time"

const (
	// errorCost is how much dearer a target is that fails always.
	errorCost = 20
	// loadCost is how much dearer a target is that is fully loaded.
	loadCost = 1
	// telling is the number of calls in flight from here from which it says more
	// about a target than the target's report does: that is as old as the last
	// answer, and callers that all follow it fill the targets in turn.
	telling = 4
	// minTime keeps times that are too short to tell apart from deciding, in
	// seconds.
	minTime = 100e-6
	// suspectUtil is the load that a suspected target counts with, at least.
	suspectUtil = 1
)

// refresh works out again what Pick compares, at most once in Config.Refresh.
func (t *Table) refresh(now time.Duration) {
	if t.fresh && now-t.refreshed < t.cfg.Refresh {
		return
	}
	dt := now - t.refreshed
	t.refreshed, t.fresh = now, true
	t.means(now, dt)
	topWeight := t.weigh(now)
	for _, i := range t.all {
		e := &t.entries[i]
		if topWeight > 0 {
			e.weight /= topWeight
		}
		e.hot = e.util > t.hotLoad() && e.inFlight < telling
		e.cost = t.price(e)
	}
}

// hotLoad is the load above which a target counts as hot.
func (t *Table) hotLoad() float64 { return max(t.cfg.Floor, t.cfg.HotFactor*t.meanUtil) }

// means forgets what is old and works out the mean time and load.
func (t *Table) means(now, dt time.Duration) {
	sum, n := 0.0, 0
	f := decay{shed: fade(dt, shedMemory), rest: fade(dt, t.cfg.Forget)}
	for _, i := range t.all {
		e := &t.entries[i]
		t.forget(now, e, f)
		if e.measured && e.avoid == avoidNot {
			sum += e.latency
			n++
		}
	}
	if n > 0 {
		t.meanLatency = sum / float64(n)
	}
	t.meanUtil = t.meanLoad(now)
}

// meanLoad works out the load of each target and returns the mean. A target
// of which nothing is known counts as the mean of the known ones, but at most
// as Floor: so a zone that is loaded above that turns to targets that it knows
// nothing of, and learns.
func (t *Table) meanLoad(now time.Duration) float64 {
	sum, known := 0.0, 0
	for _, i := range t.all {
		e := &t.entries[i]
		if e.util = t.estimate(now, e); e.util >= 0 {
			sum += e.util
			known++
		}
	}
	guess := 0.0
	if known > 0 {
		guess = min(sum/float64(known), t.cfg.Floor)
	}
	for _, i := range t.all {
		if e := &t.entries[i]; e.util < 0 {
			e.util = guess
			sum += guess
		}
	}
	return sum / float64(max(t.Len(), 1))
}

// decay is by how much shares shrink from one refresh to the next.
type decay struct {
	shed float64
	rest float64
}

// forget lets the measurements of a target without calls drift to the mean.
// Symptom otherwise: a target that was slow once gets no more calls, so nothing
// ever shows that it recovered.
func (t *Table) forget(now time.Duration, e *entry, f decay) {
	e.shed *= f.shed
	if now-e.changed < restTime {
		return
	}
	e.errors *= f.rest
	e.latency = t.meanLatency + f.rest*(e.latency-t.meanLatency)
}

// unknown is the load of a target of which nothing is known.
const unknown = -1

// estimate is the load of a target, about 0 to 1: the report moved on by the
// calls sent since, as far as it is trusted; else what the measurements show.
func (t *Table) estimate(now time.Duration, e *entry) float64 {
	if e.Suspected {
		return max(suspectUtil, e.load)
	}
	own := float64(e.inFlight) / float64(max(e.Slots, 1))
	recent := now-e.changed < t.cfg.ReportAge
	switch {
	case e.reported && now-e.reportedAt < t.cfg.ReportAge:
		load := max(e.load+own-float64(e.ownThen)/float64(max(e.Slots, 1)), 0)
		return max(e.trust*load+(1-e.trust)*t.measuredUtil(e, own), e.shed)
	case e.measured && recent && !e.reported:
		return max(t.measuredUtil(e, own), e.shed)
	case own > 0 || e.shed > 0:
		return max(own, e.shed)
	}
	return unknown
}

// measuredUtil guesses a load from the time to answer: a target as fast as the
// mean counts as half loaded, one that takes twice as long as fully loaded.
func (t *Table) measuredUtil(e *entry, own float64) float64 {
	if !e.measured || t.meanLatency <= 0 {
		return own
	}
	return max(own, min(e.latency/t.meanLatency/2, 1))
}

// weigh sets each target's chance to be drawn by its slots and its age, and
// returns the highest.
func (t *Table) weigh(now time.Duration) float64 {
	top := 0.0
	for _, i := range t.all {
		e := &t.entries[i]
		e.weight = float64(max(e.Slots, 1)) * t.ramp(now, e)
		top = max(top, e.weight)
	}
	return top
}

// ramp is the part of its share that a target gets by its age.
func (t *Table) ramp(now time.Duration, e *entry) float64 {
	age := now - e.Since
	if e.Since == 0 || age >= t.cfg.SlowStart {
		return 1
	}
	return max(t.cfg.SlowStartMin, age.Seconds()/t.cfg.SlowStart.Seconds())
}

// price is the cost of a target without the calls in flight from here: the time
// that a call is expected to take, dearer with load and failures. A target's own
// time counts only if it stands out. Symptom otherwise: targets of a service with
// short and long classes are full in turn, since a mean time wanders by more than
// targets differ, and callers all go where it happens to be short.
func (t *Table) price(e *entry) float64 {
	s := t.meanLatency
	if e.measured && e.latency > slowFactor*s {
		s = e.latency
	}
	if !e.local {
		s += t.cfg.ZoneCost.Seconds()
	}
	return max(s, minTime) * (1 + loadCost*e.util*e.util) * (1 + errorCost*e.errors)
}
