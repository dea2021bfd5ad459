package admission

import (
	"math"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/core/share"
)

// graceWindows is the number of windows during which nested calls are still judged
// by an earlier, lower level. Work has already been done for a request admitted
// upstream under that level; refusing it here would waste that work.
const graceWindows = 6

// pacedGraceWindows is graceWindows with Config.Paced: at least as long as the calls of a
// request take that starts at once after it was paced.
const pacedGraceWindows = 30

// Parameters of the capacity factor, the ratio of admitted demand to measured
// capacity. The changes are per window, or per reaction time if that is longer.
const (
	minCapacityFactor = 0.5
	maxCapacityFactor = 16
	factorDecay       = 0.97  // while a queue persists
	pacedFactorDecay  = 0.994 // the same with Config.Paced
	factorStep        = 0.02  // while utilization is slightly below 1
	maxFactorGrowth   = 1.5   // maximum growth ratio while utilization is low
	raisedFactor      = 1.1
	busyUtilization   = 0.97
)

// idleRetention is the fraction of the remembered demand below a level that remains
// after each idle window, or after each reaction time if that is longer.
const idleRetention = 0.6

// tenantLevel is the admission level of one tenant and the demand it is derived
// from.
type tenantLevel struct {
	demand  demand
	level   request.Level
	exempt  exemptions
	paced   bool // Config.Paced
	history levelHistory
}

// admittedRecently reports whether a level of the grace period admits a request.
// Exemptions of that time count with Config.Paced only.
func (t *tenantLevel) admittedRecently(p request.Priority) bool {
	if t.paced {
		return t.history.admitted(p, pacedGraceWindows)
	}
	return t.history.levelAdmitted(p, graceWindows)
}

// total returns the tenant's demand; t may be nil.
func (t *tenantLevel) total() float64 {
	if t == nil {
		return 0
	}
	return t.demand.total
}

// admits reports whether the current level admits a request.
func (t *tenantLevel) admits(p request.Priority) bool {
	return p >= t.level || t.exempt.admit(p)
}

// refuses reports whether the level refuses a request. A level since judgedFrom that admits it
// suffices; with onlyCurrent there is none.
func (t *tenantLevel) refuses(p request.Priority, deep bool, judgedFrom time.Duration) bool {
	return !t.admits(p) && (!deep || !t.admittedRecently(p)) && !t.history.admittedSince(p, judgedFrom)
}

// levels sets the tenants' admission levels once per window.
type levels struct {
	tenants        []*tenantLevel // nil: no request seen yet
	active         bool           // a queue has persisted, and demand has exceeded capacity since
	capacityFactor float64        // ratio of admitted demand to measured capacity

	weights, demands, allocations []float64 // by tenant, reused
	paced                         bool      // Config.Paced
}

func newLevels(paced bool) *levels { return &levels{capacityFactor: 1, paced: paced} }

// tenant returns the state of a tenant. It is allocated on first use, since a demand
// profile takes about 13 KB.
func (l *levels) tenant(i int) *tenantLevel {
	for len(l.tenants) <= i {
		l.tenants = append(l.tenants, nil)
	}
	if l.tenants[i] == nil {
		l.tenants[i] = &tenantLevel{paced: l.paced}
	}
	return l.tenants[i]
}

// windowStats holds the measurements of one window for the whole gate.
type windowStats struct {
	now           time.Duration
	length        time.Duration
	reaction      *reactionTimes
	limit         float64
	utilization   float64 // fraction of the limit in use
	standingQueue bool    // the queue delay stayed above its target
	service       float64 // mean service time in seconds, lengthened by a slowdown
	reservedShare float64 // Config.ReservedShare
	rateLimit     float64 // that the target accepts per second; 0: none
	rateExceeded  bool    // calls were refused because of it
}

// perWindow returns the ratio by which a value changes in this window that is to change by
// f in the time until the change shows in the arrivals, but in no less than a window. If it
// changed by f in each window, it would go on changing long after it has changed enough, and
// the level would swing between admitting all and nearly nothing.
func (m *windowStats) perWindow(f float64) float64 {
	if m.reaction.mean <= m.length {
		return f
	}
	return math.Pow(f, m.length.Seconds()/m.reaction.mean.Seconds())
}

// endWindow closes a window and sets the levels. It reports whether a level has
// risen.
func (l *levels) endWindow(m windowStats, ledger *share.Ledger, idleBelow float64) bool {
	keep := float32(1)
	if l.active && !m.standingQueue && m.utilization < idleBelow {
		keep = float32(m.perWindow(idleRetention))
	}
	for _, t := range l.tenants {
		if t != nil {
			t.demand.settle(m.now, m.reaction, t.level, t.exempt)
			t.demand.endWindow(m.length, t.level, t.exempt, keep)
		}
	}
	l.active = l.active || m.rateExceeded
	if !l.active && !m.standingQueue {
		return l.recordLevels(m.now, false)
	}
	l.adjustCapacityFactor(m, idleBelow)
	return l.recordLevels(m.now, l.divideCapacity(m, ledger))
}

// adjustCapacityFactor moves the factor towards a queue that is short but seldom
// empty.
//
// After a slowdown, requests that started during it still finish with long service
// times and make the target look slow, so that requests would be refused while slots
// are free. Free slots therefore raise the factor quickly above the measured
// capacity.
func (l *levels) adjustCapacityFactor(m windowStats, idleBelow float64) {
	switch {
	case (m.standingQueue || m.rateExceeded && m.utilization >= busyUtilization) && l.active:
		l.capacityFactor = max(minCapacityFactor, l.decreaseBase()*m.perWindow(l.decay()))
	case m.standingQueue:
		l.active = true
	case m.utilization < idleBelow:
		l.capacityFactor = min(maxCapacityFactor, l.capacityFactor*m.perWindow(min(maxFactorGrowth, idleBelow/max(m.utilization, minUtilization))))
	case m.utilization < busyUtilization:
		l.capacityFactor = min(max(l.capacityFactor, raisedFactor), l.capacityFactor+m.perWindow(1+factorStep)-1)
	}
}

// decay returns the ratio by which the factor decreases per window while a queue persists.
func (l *levels) decay() float64 {
	if l.paced {
		return pacedFactorDecay
	}
	return factorDecay
}

// decreaseBase returns the value from which the factor decreases. A factor raised
// well above 1 is no longer needed once a queue persists again, so the decrease
// starts at 1.
func (l *levels) decreaseBase() float64 {
	if l.capacityFactor > raisedFactor {
		return 1
	}
	return l.capacityFactor
}

const minUtilization = 0.01 // avoids a division by 0 while the gate is idle

// divideCapacity divides the capacity among tenants and sets each tenant's level so
// that its demand fits its allocation. It reports whether any level is above 0.
func (l *levels) divideCapacity(m windowStats, ledger *share.Ledger) bool {
	if m.service <= 0 {
		return true // no request has completed yet, so capacity is unknown
	}
	capacity := m.limit / m.service
	if m.rateLimit > 0 {
		capacity = min(capacity, m.rateLimit)
	}
	capacity *= l.capacityFactor
	l.weights, l.demands, l.allocations = l.weights[:0], l.demands[:0], l.allocations[:0]
	for i, t := range l.tenants {
		l.weights = append(l.weights, ledger.Weight(i))
		l.demands = append(l.demands, t.total())
		l.allocations = append(l.allocations, 0)
	}
	share.Divide(capacity, l.weights, l.demands, l.allocations)
	above := false
	for i, t := range l.tenants {
		if t != nil {
			t.level, t.exempt = t.demand.levelFor(l.allocations[i], m.reservedShare*l.allocations[i])
			above = above || t.level > 0
		}
	}
	return above
}

// recordLevels stores the levels of the window that ends now, for calls of requests that
// have been admitted, and reports whether a level has risen.
func (l *levels) recordLevels(now time.Duration, active bool) bool {
	if !active {
		l.active, l.capacityFactor = false, 1
	}
	rose := false
	for _, t := range l.tenants {
		if t == nil {
			continue
		}
		rose = rose || t.level > t.history.latest().level
		t.history.add(pastLevel{at: now, level: t.level, exempt: t.exempt})
	}
	return rose
}

// total returns the demand of all tenants in mean requests per second.
func (l *levels) total() float64 {
	sum := 0.0
	for _, t := range l.tenants {
		sum += t.total()
	}
	return sum
}
