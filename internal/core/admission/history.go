package admission

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

const (
	// historyWindows is the number of windows whose levels are kept: 1.5 s of the shortest.
	historyWindows = 30
	// reportDelay is how old a level may be that entry nodes apply: they learn it from the
	// answers of a chain of calls, and use the lowest of the last one to two spans
	// (earlyrefusal.Config.Span).
	reportDelay = 300 * time.Millisecond
)

// levelHistory holds the levels of the last windows in a ring, so that a request in progress
// is judged by those since it started.
type levelHistory struct {
	past [historyWindows]pastLevel
	next int
}

type pastLevel struct {
	at     time.Duration
	level  request.Level
	exempt exemptions
}

func (h *levelHistory) add(now time.Duration, level request.Level, x exemptions) {
	h.past[h.next] = pastLevel{now, level, x}
	h.next = (h.next + 1) % historyWindows
}

// admittedSince reports whether a level since then admits a request.
func (h *levelHistory) admittedSince(p request.Priority, since time.Duration) bool {
	for i := range h.past {
		if l := &h.past[i]; l.at >= since && (p >= l.level || l.exempt.admit(p)) {
			return true
		}
	}
	return false
}

// judgedFrom returns the time of the oldest level that a request is judged by.
func (a *Arrival) judgedFrom(now time.Duration) time.Duration {
	if !a.InProgress {
		return math.MaxInt64
	}
	return now - a.Age - reportDelay
}
