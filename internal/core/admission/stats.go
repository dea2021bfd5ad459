package admission

import (
	"math"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Counts holds the numbers of final decisions since the gate was created.
type Counts struct {
	Admitted       uint64
	Overloaded     uint64 // refused: below the level, queue full or wait too long
	OverShare      uint64 // refused: the tenant exceeds its share
	DeadlineShort  uint64 // refused: cannot finish in time even without queueing
	Draining       uint64 // refused: the target is draining
	CanceledQueued uint64 // refused: the caller gave up while the request was queued
}

func (c *Counts) add(d Decision) {
	if d.Verdict == Admit {
		c.Admitted++
	}
	if d.Verdict != Refuse {
		return
	}
	switch d.Reason {
	case status.CodeOverShare:
		c.OverShare++
	case status.CodeDeadline:
		c.DeadlineShort++
	case status.CodeDraining:
		c.Draining++
	case status.CodeCanceled:
		c.CanceledQueued++
	default:
		c.Overloaded++
	}
}

// Stats is a snapshot for metrics.
type Stats struct {
	Counts
	Limit    int           // concurrency limit, at most what the rate limit keeps busy
	Rate     float64       // rate limit of the target, per second; 0: none
	Running  int           // running requests
	Queued   int           // queued requests
	Level    request.Level // the highest of the tenants' levels
	Active   bool          // overload detected: levels are being set
	Demand   float64       // recent demand in slots, including demand below the level
	Service  time.Duration // expected service time of a request
	Backlog  time.Duration // expected time to run the queue at the current limit
	Draining bool
	// Busy and Usable are the time that requests have spent in the target since the gate was
	// created, and the time of the slots that the limit allowed; both are summed over slots.
	Busy, Usable time.Duration
}

// usableLimit returns the concurrency limit or, if lower, the number of requests in
// flight at the target's rate limit.
func (g *Gate) usableLimit() int {
	lim := g.limiter.Limit()
	if g.rate.perSecond == 0 {
		return lim
	}
	return min(lim, max(1, int(math.Ceil(g.rate.perSecond*g.service.current()))))
}

// Stats returns a snapshot.
func (g *Gate) Stats() Stats {
	s := Stats{
		Counts:   g.counts,
		Limit:    g.usableLimit(),
		Rate:     g.rate.perSecond,
		Running:  g.running,
		Queued:   g.queue.len(),
		Active:   g.levels.active,
		Demand:   g.demand(),
		Service:  time.Duration(g.service.current() * float64(time.Second)),
		Backlog:  g.queue.backlog / time.Duration(g.limiter.Limit()),
		Draining: g.draining,
		Busy:     g.busy,
		Usable:   g.usable,
	}
	for _, t := range g.levels.tenants {
		if t != nil {
			s.Level = max(s.Level, t.level)
		}
	}
	return s
}
