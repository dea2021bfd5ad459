package admission

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

const (
	// historyWindows is the number of windows whose levels are kept: 1.5 s of the shortest.
	historyWindows = pacedGraceWindows
	// reportDelay is how old a level may be that entry nodes apply: they learn it from the
	// answers of a chain of calls, and use the lowest of the last one to two spans
	// (earlyrefusal.Config.Span).
	reportDelay = 300 * time.Millisecond
	// onlyCurrent is later than any level in a history.
	onlyCurrent = time.Duration(math.MaxInt64)
)

// pastLevel is the level and the exemptions of one window.
type pastLevel struct {
	at     time.Duration // end of the window
	level  request.Level
	exempt exemptions
}

func (l *pastLevel) admits(p request.Priority) bool { return p >= l.level || l.exempt.admit(p) }

// levelHistory holds the levels of the last windows in a ring, so that the calls of a request
// are judged by the levels under which it was admitted. Windows before the first count as
// level 0.
type levelHistory struct {
	past   [historyWindows]pastLevel
	newest int
}

func (h *levelHistory) add(l pastLevel) {
	h.newest = (h.newest + 1) % historyWindows
	h.past[h.newest] = l
}

// ago returns the level of n windows before the newest.
func (h *levelHistory) ago(n int) *pastLevel {
	return &h.past[(h.newest+historyWindows-n)%historyWindows]
}

func (h *levelHistory) latest() *pastLevel { return h.ago(0) }

// admitted reports whether a level or an exemption of the last n windows admits a request.
func (h *levelHistory) admitted(p request.Priority, n int) bool {
	for i := range n {
		if h.ago(i).admits(p) {
			return true
		}
	}
	return false
}

// levelAdmitted is admitted without the exemptions.
func (h *levelHistory) levelAdmitted(p request.Priority, n int) bool {
	for i := range n {
		if p >= h.ago(i).level {
			return true
		}
	}
	return false
}

// admittedSince reports whether a level or an exemption since then admits a request.
func (h *levelHistory) admittedSince(p request.Priority, since time.Duration) bool {
	for i := range h.past {
		if l := &h.past[i]; l.at >= since && l.admits(p) {
			return true
		}
	}
	return false
}

// judgedFrom returns the time of the oldest level that a request is judged by.
func (a *Arrival) judgedFrom(now time.Duration) time.Duration {
	if !a.InProgress {
		return onlyCurrent
	}
	return now - a.Age - reportDelay
}
