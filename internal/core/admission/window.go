package admission

import (
	"math"
	"time"

	"peardrift/internal/core/limit"
	"peardrift/internal/status"
)

// window accumulates measurements between two level updates.
type window struct {
	start          time.Duration
	accountedUntil time.Duration // instant up to which busy and fullTime are counted
	busy           time.Duration // time in the target, summed over requests
	downstream     time.Duration // time that completed requests waited for the target's own calls
	fullTime       time.Duration // time during which no slot was free
	arrivals       int
	age            time.Duration // of the arrivals, in all
	completed      int
	overloaded     int
	delayLowAt     time.Duration // last instant at which the queue delay was low
}

// advance moves the gate to now: it updates measurements, closes a window that is
// due, refuses queued requests that can no longer finish and fills free slots.
func (g *Gate) advance(now time.Duration, out []Action) []Action {
	w := &g.window
	if d := now - w.accountedUntil; d > 0 {
		w.busy += time.Duration(g.running) * d
		g.busy += time.Duration(g.running) * d
		g.usable += time.Duration(g.limiter.Limit()) * d
		if g.running >= g.limiter.Limit() {
			w.fullTime += d
		}
		w.accountedUntil = now
	}
	out = g.expire(now, out)
	g.updateQueueDelay(now)
	switch {
	case g.windowDue(now):
		if g.endWindow(now) {
			out = g.refuseBelow(out)
		}
	case g.rate.perSecond == 0:
		return out
	}
	return g.dispatch(now, out)
}

func (g *Gate) windowDue(now time.Duration) bool {
	age := now - g.window.start
	if age < g.cfg.MinWindow {
		return false
	}
	return g.window.arrivals >= g.cfg.WindowArrivals || age >= g.cfg.MaxWindow
}

// endWindow closes the window and reports whether a level has risen.
func (g *Gate) endWindow(now time.Duration) bool {
	w := &g.window
	length := now - w.start
	lim := g.limiter.Limit()
	rateUsed, rateExceeded := g.rate.endWindow(length)
	g.reaction.endWindow(w.age, w.arrivals)
	rose := g.levels.endWindow(windowStats{
		now:           now,
		length:        length,
		reaction:      &g.reaction,
		limit:         float64(lim),
		utilization:   max(w.busy.Seconds()/(length.Seconds()*float64(lim)), rateUsed),
		rateLimit:     g.rate.perSecond,
		rateExceeded:  rateExceeded,
		standingQueue: now-w.delayLowAt >= g.cfg.StandingDelay,
		service:       g.service.current() * g.service.slowdown(now),
		reservedShare: g.cfg.ReservedShare,
	}, &g.ledger, g.cfg.IdleUtilization)
	needed := time.Duration(float64(g.queueDetector.EndWindow()) * g.service.timeFactor)
	g.limiter.Observe(limit.Window{
		Length:     length,
		Busy:       w.busy,
		Downstream: w.downstream,
		Completed:  w.completed,
		Overloaded: w.overloaded,
		Saturated:  g.saturatedTime(length),
		Needed:     needed,
	})
	if cut := g.limiter.Limit(); cut < lim && needed > 0 {
		g.limitCutAt = now
		g.service.scale(float64(cut) / float64(lim))
	}
	*w = window{start: now, accountedUntil: now, delayLowAt: w.delayLowAt}
	return rose
}

// saturatedTime returns how long there was more work than the limit admitted. A
// level above 0 keeps so much work away that the slots are seldom all in use;
// counting only full slots would then freeze the limit at its current value.
func (g *Gate) saturatedTime(length time.Duration) time.Duration {
	if g.levels.active {
		return length
	}
	return g.window.fullTime
}

// updateQueueDelay records the last instant at which the queue delay was low. Since
// the queue is ordered by importance, the wait of dispatched requests says little;
// the time to run the whole queue counts as its delay.
func (g *Gate) updateQueueDelay(now time.Duration) {
	part := time.Duration(g.cfg.TargetDelayFraction * g.service.current() * float64(time.Second))
	target := max(g.cfg.TargetDelay, part)
	if g.queue.backlog <= time.Duration(g.limiter.Limit())*target {
		g.window.delayLowAt = now
	}
}

// expire refuses queued entries that can no longer finish in time.
func (g *Gate) expire(now time.Duration, out []Action) []Action {
	for g.queue.len() > 0 {
		i := g.queue.expiry.idx[0]
		if g.pool.entries[i].latestStart >= now {
			break
		}
		out = g.evict(i, status.CodeOverloaded, out)
	}
	return out
}

// refuseBelow refuses queued entries below a level that has risen. Holding them
// until they expire would only make their callers wait.
func (g *Gate) refuseBelow(out []Action) []Action {
	g.evictions = g.evictions[:0]
	for _, i := range g.queue.expiry.idx {
		e := &g.pool.entries[i]
		if g.levels.tenants[e.tenant].refuses(e.priority, e.deep, e.judgedFrom) {
			g.evictions = append(g.evictions, i)
		}
	}
	for _, i := range g.evictions {
		out = g.evict(i, g.overloadReason(g.pool.entries[i].tenant), out)
	}
	return out
}

// Tick performs the work due by now.
func (g *Gate) Tick(now time.Duration, out []Action) []Action { return g.advance(now, out) }

// Next returns the instant by which Tick is due, or the largest Duration if the gate
// is idle.
func (g *Gate) Next() time.Duration {
	if g.running == 0 && g.queue.len() == 0 && !g.levels.active && g.window.arrivals == 0 {
		return math.MaxInt64
	}
	next := g.window.start + g.cfg.MaxWindow
	if g.queue.len() == 0 {
		return next
	}
	next = min(next, g.pool.entries[g.queue.expiry.idx[0]].latestStart+1)
	if g.rate.perSecond > 0 && g.running < g.limiter.Limit() {
		next = min(next, g.rate.next())
	}
	return next
}
