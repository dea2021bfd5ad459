package admission

import (
	"time"

	"peardrift/internal/core/request"
)

const (
	// reactionWeight is the weight of an arrival in the mean reaction time of its importance,
	// meanReactionWeight that of a window in the mean of all.
	reactionWeight     = 1.0 / 32
	meanReactionWeight = 0.1
	// maxReaction bounds it, so that levels follow demand whatever ages callers state.
	maxReaction = 2 * time.Second
)

// reactionTimes measures how long a change of the level takes to show in the arrivals. The
// entry nodes apply it to requests that start; their calls arrive here after the calls
// before them have run, so it is the mean age of the requests on arrival. Requests that
// start with their call to this target show it at once, and others of the same target
// much later, so it is kept by importance too.
type reactionTimes struct {
	mean         time.Duration
	byImportance [importances]time.Duration
}

func (r *reactionTimes) arrive(imp int, age time.Duration) {
	own := &r.byImportance[imp]
	*own += time.Duration(reactionWeight * float64(min(age, maxReaction)-*own))
}

// endWindow adds the arrivals of a window and their ages in all.
func (r *reactionTimes) endWindow(age time.Duration, arrivals int) {
	if arrivals == 0 {
		return
	}
	sample := min(age/time.Duration(arrivals), maxReaction)
	if r.mean == 0 {
		r.mean = sample
	}
	r.mean += time.Duration(meanReactionWeight * float64(sample-r.mean))
}

// settling holds from which priority on the arrivals of each importance have had the time
// to show their demand: the highest priority from which it was admitted in the last one to
// two reaction times.
type settling [importances]struct {
	current, previous request.Level // the highest of the current and the previous span
	since             time.Duration // start of the current span
}

// settle records the level and the exemptions of a window.
func (d *demand) settle(now time.Duration, r *reactionTimes, level request.Level, x exemptions) {
	d.reaction = r.mean
	for imp := range d.settling {
		h, from := &d.settling[imp], x.visibleFrom(imp, level)
		h.current = max(h.current, from)
		if now-h.since >= r.byImportance[imp] {
			h.previous, h.current, h.since = h.current, from, now
		}
	}
}

// settledFrom returns the priority from which arrivals of an importance show its demand.
func (s *settling) settledFrom(imp int) request.Level { return max(s[imp].current, s[imp].previous) }
