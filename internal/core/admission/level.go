package admission

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/core/share"
)

// graceWindows is for how many windows deep work is still judged by an earlier,
// lower level. A request that was admitted upstream under that level has cost
// work; to refuse it here would waste it.
const graceWindows = 6

// Steps of the aim, the part of the measured capacity that demand is cut to.
const (
	minAim    = 0.5
	maxAim    = 16
	aimDown   = 0.97 // while the queue stands
	aimUp     = 0.02 // while the limit is not quite used
	aimJump   = 1.5  // the most, as a ratio, while the limit is far from used
	highAim   = 1.1
	busyBelow = 0.97
)

// forget is what is kept, per idle window, of demand remembered below a level.
const forget = 0.6

// tenant is the level of one tenant.
type tenant struct {
	demand demand
	level  request.Level
	recent [graceWindows]request.Level
}

// floor is the level for deep work: the lowest of the recent ones.
func (t *tenant) floor() request.Level {
	low := t.level
	for _, l := range t.recent {
		low = min(low, l)
	}
	return low
}

// total returns the tenant's demand; t may be nil.
func (t *tenant) total() float64 {
	if t == nil {
		return 0
	}
	return t.demand.total
}

// refuses reports whether the level keeps a request out.
func (t *tenant) refuses(p request.Priority, deep bool) bool {
	return p < t.level && (!deep || p < t.floor())
}

// levels sets the tenants' admission levels once per window.
type levels struct {
	tenants []*tenant // nil: never seen
	active  bool      // a queue has stood, and not all demand fits since
	aim     float64   // part of the limit that admitted demand may take

	weights, demands, parts []float64 // by tenant, reused
	window                  int
}

func newLevels() *levels { return &levels{aim: 1} }

// tenant returns the tenant of an index, made at its first use: a demand profile
// takes some 13 KB.
func (l *levels) tenant(i int) *tenant {
	for len(l.tenants) <= i {
		l.tenants = append(l.tenants, nil)
	}
	if l.tenants[i] == nil {
		l.tenants[i] = &tenant{}
	}
	return l.tenants[i]
}

// measure is what a window showed of the gate as a whole.
type measure struct {
	length   time.Duration
	limit    float64
	used     float64 // part of the limit that was in use
	standing bool    // the queue delay stood above its target
	service  float64 // mean service time in seconds, lengthened by a slowdown
}

// roll ends a window and sets the levels. It reports whether one has risen.
func (l *levels) roll(m measure, ledger *share.Ledger, idleBelow float64) bool {
	keep := float32(1)
	if l.active && !m.standing && m.used < idleBelow {
		keep = forget
	}
	for _, t := range l.tenants {
		if t != nil {
			t.demand.roll(m.length, t.level, keep)
		}
	}
	if !l.active && !m.standing {
		return l.publish(false)
	}
	l.steer(m, idleBelow)
	return l.publish(l.divide(m, ledger))
}

// steer moves the aim towards a queue that is short but seldom empty.
//
// After a slowdown has ended, requests from before go on to finish and make the
// target look slow for as long as they did take. One would notice by slots that
// stay free while requests are refused; so free slots raise the aim above the
// measured capacity, fast.
func (l *levels) steer(m measure, idleBelow float64) {
	switch {
	case m.standing && l.active:
		l.aim = max(minAim, l.lowered()*aimDown)
	case m.standing:
		l.active = true
	case m.used < idleBelow:
		l.aim = min(maxAim, l.aim*min(aimJump, idleBelow/max(m.used, minUsed)))
	case m.used < busyBelow:
		l.aim = min(max(l.aim, highAim), l.aim+aimUp)
	}
}

// minUsed keeps an unused gate from dividing by 0.
// lowered returns the aim to go down from: one that was raised far above the
// measured capacity has done its work once a queue stands again.
func (l *levels) lowered() float64 {
	if l.aim > highAim {
		return 1
	}
	return l.aim
}

const minUsed = 0.01

// divide splits the capacity among tenants and cuts each one's demand to its
// part. It reports whether a level is above 0.
func (l *levels) divide(m measure, ledger *share.Ledger) bool {
	if m.service <= 0 {
		return true // nothing has come back yet, so nothing is known
	}
	capacity := m.limit * l.aim / m.service
	l.weights, l.demands, l.parts = l.weights[:0], l.demands[:0], l.parts[:0]
	for i, t := range l.tenants {
		l.weights = append(l.weights, ledger.Weight(i))
		l.demands = append(l.demands, t.total())
		l.parts = append(l.parts, 0)
	}
	share.Divide(capacity, l.weights, l.demands, l.parts)
	above := false
	for i, t := range l.tenants {
		if t != nil {
			t.level = t.demand.cut(l.parts[i])
			above = above || t.level > 0
		}
	}
	return above
}

// publish remembers the levels for deep work and reports whether one has risen.
func (l *levels) publish(active bool) bool {
	if !active {
		l.active, l.aim = false, 1
	}
	rose := false
	last := l.window % graceWindows
	l.window++
	for _, t := range l.tenants {
		if t != nil {
			rose = rose || t.level > t.recent[last]
			t.recent[l.window%graceWindows] = t.level
		}
	}
	return rose
}

// total returns the demand of all tenants, in mean requests per second.
func (l *levels) total() float64 {
	sum := 0.0
	for _, t := range l.tenants {
		sum += t.total()
	}
	return sum
}
