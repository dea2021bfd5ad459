package admission

import (
	"math"
	"time"

	"peardrift/internal/core/limit"
	"peardrift/internal/status"
)

// window is what is measured between two settings of the level.
type window struct {
	since      time.Duration
	marked     time.Duration // instant up to which busy and full are counted
	busy       time.Duration // time in the target, summed over requests
	below      time.Duration // time that the completed requests waited for the target's own calls
	full       time.Duration // time during which no slot was free
	arrivals   int
	completed  int
	overloaded int
	low        time.Duration // last instant at which the queue delay was low
}

// advance brings the gate to now: measures, ends a window that is due, refuses
// what can't finish any more and uses free slots.
func (g *Gate) advance(now time.Duration, out []Action) []Action {
	w := &g.window
	if d := now - w.marked; d > 0 {
		w.busy += time.Duration(g.running) * d
		if g.running >= g.limiter.Limit() {
			w.full += d
		}
		w.marked = now
	}
	out = g.expire(now, out)
	g.noteDelay(now)
	if !g.windowDue(now) {
		return out
	}
	if g.roll(now) {
		out = g.refuseBelow(out)
	}
	return g.dispatch(now, out)
}

func (g *Gate) windowDue(now time.Duration) bool {
	age := now - g.window.since
	if age < g.cfg.MinWindow {
		return false
	}
	return g.window.arrivals >= g.cfg.WindowArrivals || age >= g.cfg.MaxWindow
}

// roll ends the window; it reports whether a level has risen.
func (g *Gate) roll(now time.Duration) bool {
	w := &g.window
	length := now - w.since
	lim := g.limiter.Limit()
	rose := g.levels.roll(measure{
		length:   length,
		limit:    float64(lim),
		used:     w.busy.Seconds() / (length.Seconds() * float64(lim)),
		standing: now-w.low >= g.cfg.StandFor,
		service:  g.service.mean * g.service.slowdown(now),
	}, &g.ledger, g.cfg.IdleBelow)
	needed := g.delay.Roll()
	g.limiter.Observe(limit.Window{
		Length:     length,
		Busy:       w.busy,
		Below:      w.below,
		Completed:  w.completed,
		Overloaded: w.overloaded,
		Saturated:  g.saturated(length),
		Needed:     needed,
	})
	if cut := g.limiter.Limit(); cut < lim && needed > 0 {
		g.relieved = now
		g.service.scale(float64(cut) / float64(lim))
	}
	*w = window{since: now, marked: now, low: w.low}
	return rose
}

// saturated returns for how long there was more work than the limit let in. A
// level above 0 keeps work away so well that slots are seldom all taken; to go
// by those alone would freeze the limit at whatever it was.
func (g *Gate) saturated(length time.Duration) time.Duration {
	if g.levels.active {
		return length
	}
	return g.window.full
}

// noteDelay keeps the last instant at which the queue delay was low. With a
// queue in order of importance the wait of those that get a slot says little;
// the time that the whole queue takes is the delay that counts.
func (g *Gate) noteDelay(now time.Duration) {
	part := time.Duration(g.cfg.TargetPart * g.service.mean * float64(time.Second))
	target := max(g.cfg.TargetDelay, part)
	if g.queue.work <= time.Duration(g.limiter.Limit())*target {
		g.window.low = now
	}
}

// expire refuses queued entries that can't finish in time.
func (g *Gate) expire(now time.Duration, out []Action) []Action {
	for g.queue.len() > 0 {
		i := g.queue.expiry.idx[0]
		if g.pool.entries[i].latest >= now {
			break
		}
		out = g.evict(i, status.CodeOverloaded, out)
	}
	return out
}

// refuseBelow refuses queued entries that a risen level leaves no chance. To
// hold them until they expire would keep their callers waiting for nothing.
func (g *Gate) refuseBelow(out []Action) []Action {
	g.doomed = g.doomed[:0]
	for _, i := range g.queue.expiry.idx {
		e := &g.pool.entries[i]
		if g.levels.tenants[e.tenant].refuses(e.priority, e.deep) {
			g.doomed = append(g.doomed, i)
		}
	}
	for _, i := range g.doomed {
		out = g.evict(i, g.overReason(g.pool.entries[i].tenant), out)
	}
	return out
}

// Tick does what is due by now.
func (g *Gate) Tick(now time.Duration, out []Action) []Action { return g.advance(now, out) }

// Next returns the instant by which Tick is due; the largest Duration if
// nothing is going on.
func (g *Gate) Next() time.Duration {
	if g.running == 0 && g.queue.len() == 0 && !g.levels.active && g.window.arrivals == 0 {
		return math.MaxInt64
	}
	next := g.window.since + g.cfg.MaxWindow
	if g.queue.len() > 0 {
		next = min(next, g.pool.entries[g.queue.expiry.idx[0]].latest+1)
	}
	return next
}
