package waiting

import (
	"math"
	"time"
)

const (
	// statedUnit is the resolution of stated times. Callers' clocks and the way to the
	// node make equal times differ by less.
	statedUnit = 20 * time.Millisecond
	// statedCounters is the number of counters of a window. A time stated by more than
	// one in statedCounters+1 requests is certain to have one.
	statedCounters = 16
	// commonShare: a time is common if at least one in commonShare requests states it.
	// First sends are at least a third of all, as callers return at most twice.
	commonShare = 5
	// maxCommon is the number of times that can be common.
	maxCommon = commonShare
	// minStated is the number of requests below which no time is common.
	minStated = 16
	// refreshShare: the common times are determined again after one in refreshShare
	// further requests.
	refreshShare = 8
	// minElapsed is the shortest time after which a caller returns; less is an
	// inaccuracy of what it states.
	minElapsed = 50 * time.Millisecond
	// Returns at this node may exceed its refusals by a quarter and by returnSlack, since
	// callers also return from other nodes, before times count as varying by nature.
	returnPart  = 4
	returnSlack = 8
)

// statedCount counts the requests that state one time.
type statedCount struct {
	unit, n uint32 // the time in statedUnit
}

// statedWindow holds the most frequent of the times stated in one window, by the
// algorithm of Misra and Gries. A count is at most total/(statedCounters+1) too low.
type statedWindow struct {
	counts         [statedCounters]statedCount
	total          uint32
	shorter, fails uint32 // requests that look like returns; refusals
}

func (w *statedWindow) add(unit uint32) {
	w.total++
	free := -1
	for i := range w.counts {
		switch c := &w.counts[i]; {
		case c.n == 0:
			free = i
		case c.unit == unit:
			c.n++
			return
		}
	}
	if free >= 0 {
		w.counts[free] = statedCount{unit, 1}
		return
	}
	for i := range w.counts {
		w.counts[i].n--
	}
}

func (w *statedWindow) count(unit uint32) uint32 {
	for i := range w.counts {
		if c := &w.counts[i]; c.unit == unit {
			return c.n
		}
	}
	return 0
}

// statedTimes learns from the times that requests of one key state which of them are
// common, and so belong to first sends.
type statedTimes struct {
	current, previous statedWindow
	began             time.Duration
	common            [maxCommon]uint32 // ascending; the first n count
	n                 int
	refreshAt         uint32 // value of current.total
}

// elapsed returns the time since the first send of a request that states the time, and
// records it: what lacks to the nearest longer time that is common. It is 0 unless the
// request can be told from a first send.
func (s *statedTimes) elapsed(now, stated, window time.Duration) time.Duration {
	if stated <= 0 {
		return 0
	}
	s.rotate(now, window)
	unit := uint32(min(stated/statedUnit, math.MaxUint32))
	s.current.add(unit)
	if s.current.total >= s.refreshAt {
		s.refresh()
	}
	for _, c := range s.common[:s.n] {
		if c < unit {
			continue
		}
		if e := time.Duration(c)*statedUnit - stated; e >= minElapsed {
			s.current.shorter++
			if s.vary() {
				return 0
			}
			return e
		}
		return 0
	}
	return 0
}

// refused records a refusal, after which the caller may return.
func (s *statedTimes) refused(now, window time.Duration) {
	s.rotate(now, window)
	s.current.fails++
}

// vary reports whether more requests look like returns than have been refused, so that
// callers' times vary by nature.
func (s *statedTimes) vary() bool {
	fails := s.current.fails + s.previous.fails
	return s.current.shorter+s.previous.shorter > fails+fails/returnPart+returnSlack
}

func (s *statedTimes) rotate(now, window time.Duration) {
	age := now - s.began
	if age < window {
		return
	}
	s.previous = s.current
	if age >= 2*window {
		s.previous = statedWindow{}
	}
	s.current, s.began = statedWindow{}, now
	s.refresh()
}

// refresh determines the common times.
func (s *statedTimes) refresh() {
	total := s.current.total + s.previous.total
	s.n = 0
	s.refreshAt = s.current.total + max(total/refreshShare, 1)
	if total < minStated {
		return
	}
	for i := range s.current.counts {
		if c := s.current.counts[i]; c.n > 0 {
			s.consider(c.unit, c.n+s.previous.count(c.unit), total)
		}
	}
	for i := range s.previous.counts {
		if c := s.previous.counts[i]; c.n > 0 && s.current.count(c.unit) == 0 {
			s.consider(c.unit, c.n, total)
		}
	}
}

// consider inserts a time into the common ones if enough requests state it.
func (s *statedTimes) consider(unit, n, total uint32) {
	if n*commonShare < total || s.n == maxCommon {
		return
	}
	at := s.n
	for ; at > 0 && s.common[at-1] > unit; at-- {
		s.common[at] = s.common[at-1]
	}
	s.common[at] = unit
	s.n++
}
