package route

import (
	"time"

	"peardrift/internal/core/request"
)

const (
	// paceAge is how long the last stated time of a class says how fast a target is now.
	// Temporary slowdowns last about twice as long, so an older one is as likely to be
	// over; from then on the mean counts.
	paceAge = 300 * time.Millisecond
	// paceWeight is the weight of one stated time in the means.
	paceWeight = 0.05
	// maxClassTimes is the maximum number of classes whose times are kept.
	maxClassTimes = 64
	// lateMargin times the expected time within the objective makes a target timely. Times
	// of single calls exceed their mean, and a target may have become slower since the
	// last answer.
	lateMargin = 2
	// timelyTries is how often a target that is not timely is replaced by another sample.
	timelyTries = 3
)

// speed is how long calls take in a target, relative to the others: 2 is twice as long.
// It is the same for all classes, so a caller with few calls of each learns it sooner than
// the time of each class.
type speed struct {
	last float64 // 0 if unknown
	mean float64
	at   time.Duration
}

// now returns the present pace, 1 if unknown.
func (s *speed) now(now time.Duration) float64 {
	switch {
	case s.last == 0:
		return 1
	case now-s.at < paceAge:
		return s.last
	}
	return s.mean
}

// recordClassTime records how long calls of a class take in a target. The mean of the class
// is kept at a pace of 1: otherwise it would change with the choice of targets, and with it
// the paces of all.
func (t *Table) recordClassTime(at time.Duration, e *entry, r *Result) {
	s, usual := r.ClassTime.Seconds(), t.classTimes[r.Class]
	if usual == 0 {
		if len(t.classTimes) >= maxClassTimes {
			return
		}
		usual = s / e.pace.now(at)
	}
	pace := s / usual
	if e.pace.last == 0 {
		e.pace.mean = pace
	}
	usual += paceWeight * (s/e.pace.mean - usual)
	t.classTimes[r.Class] = usual
	e.pace.mean += paceWeight * (pace - e.pace.mean)
	e.pace.last, e.pace.at = pace, at
}

// want is what a call asks of its target.
type want struct {
	priority  request.Priority
	usual     float64 // seconds that its class takes at a pace of 1; 0 if unknown
	objective float64 // seconds; 0 if none or if usual is unknown
}

func (t *Table) want(c *Call) want {
	w := want{priority: c.Priority}
	if c.Class != "" && len(t.classTimes) > 0 {
		w.usual = t.classTimes[c.Class]
	}
	if w.usual > 0 {
		w.objective = c.Objective.Seconds()
	}
	return w
}

// lateness returns the expected time of a call at a target, with a margin, relative to its
// objective: the call's wait and run there and the way to its zone. 0 if unknown.
func (t *Table) lateness(now time.Duration, e *entry, w *want) float64 {
	if w.objective == 0 {
		return 0
	}
	s := w.usual * e.pace.now(now) * max(1, e.load)
	if !e.local {
		s += t.cfg.ZoneCost.Seconds()
	}
	return lateMargin * s / w.objective
}

// sampleTimely samples a target at which the call probably meets its objective; any if
// that is not found after some tries.
func (t *Table) sampleTimely(now time.Duration, list []int32, w *want) int32 {
	i := t.sample(list)
	for range timelyTries {
		if t.lateness(now, &t.entries[i], w) <= 1 {
			break
		}
		i = t.sample(list)
	}
	return i
}
