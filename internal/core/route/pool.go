package route

import "time"

const (
	// Calls begin to leave a zone whose target's load is shortLoad and follow the
	// difference of loads in full from fullLoad on. Below, arrivals of a report's age still
	// find a free slot.
	shortLoad = 0.9
	fullLoad  = 1.0
	// fullBand is the difference of loads up to which calls stay where both targets are
	// loaded above shortLoad. A call that leaves for less gains nothing, and the loads of
	// equally full targets differ by as much by chance.
	fullBand = 0.1
	// unknownFraction is the assumed difference of loads, as a fraction of PoolWidth, to
	// a target without a recent report: so many of the calls learn its load.
	unknownFraction = 0.125
	// poolSamples is how many targets of other zones one call considers.
	poolSamples = 2
)

// pools reports whether the service is one pool over zones for the next call: traffic
// between zones is expensive, and the best target of the own zone is nearly full by its own
// recent report.
func (t *Table) pools(now time.Duration, near candidate) bool {
	if t.cfg.ZoneGap <= 0 || t.cfg.PoolWidth <= 0 || near.rank >= refusing {
		return false
	}
	e := &t.entries[near.idx]
	return !e.Suspected && e.reportRecent(now, t.cfg.ReportAge) && e.currentLoad() > shortLoad
}

func (e *entry) reportRecent(now, age time.Duration) bool {
	return e.reported && now-e.reportedAt < age
}

// currentLoad returns the reported load, corrected for the calls of this caller since. The
// target's node counts it, so that it counts without regard to trust: a full target that
// is as fast as the others would otherwise not be believed.
func (e *entry) currentLoad() float64 {
	since := float64(e.inFlight - e.inFlightAtReport)
	return max(0, e.reportedLoad+since/float64(e.reportedLimit))
}

// pool chooses between the best target of the own zone and those of other zones. A call
// leaves with a probability in proportion to the difference of the work ahead of it. All
// callers of a zone know about the same: if each chose the better target, all would send
// their calls to the same one until the next report.
func (t *Table) pool(now time.Duration, near candidate, far []int32, w *want, tried *Tried) candidate {
	own := &t.entries[near.idx]
	urgency := min((own.currentLoad()-shortLoad)/(fullLoad-shortLoad), 1)
	ahead := t.workAhead(now, own)
	for range poolSamples {
		i := t.sample(far)
		c := t.evaluate(now, i, w, tried)
		if c.rank >= refusing {
			continue
		}
		difference := t.unknownDifference(now, own)
		if e := &t.entries[i]; e.reportRecent(now, t.cfg.ReportAge) {
			difference = ahead - t.workAhead(now, e) - t.zoneCost(w)
			if e.currentLoad() > shortLoad {
				difference -= fullBand
			}
		}
		if t.rng.Float64()*t.cfg.PoolWidth < urgency*difference {
			t.leftZone = true
			return c
		}
	}
	return near
}

// unknownDifference returns the difference of loads that is assumed to a target without a
// recent report. While the own gate refuses by priority it still admits this call, and one
// of which nothing is known may not.
func (t *Table) unknownDifference(now time.Duration, own *entry) float64 {
	if own.level > 0 && now-own.levelAt < levelValidity {
		return 0
	}
	return unknownFraction * t.cfg.PoolWidth
}

// workAhead returns the work ahead of a call at a target. Up to 1 it is the fraction of slots
// in use, which costs the call nothing; beyond that the wait for a slot is added, in the
// time that calls usually take.
func (t *Table) workAhead(now time.Duration, e *entry) float64 {
	load := e.currentLoad()
	if load <= 1 {
		return load
	}
	return 1 + (load-1)*e.pace.now(now)
}

// zoneCost returns the time of the way to another zone and back in the time that calls
// usually take.
func (t *Table) zoneCost(w *want) float64 {
	usual := w.usual
	if usual == 0 {
		usual = t.meanLatency
	}
	return min(t.cfg.ZoneCost.Seconds()/max(usual, minLatency), 1)
}

// LeftZone reports whether the last PickFor chose another zone because the own one is short
// of capacity.
func (t *Table) LeftZone() bool { return t.leftZone }
