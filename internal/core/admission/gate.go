package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"peardrift/internal/core/limit"
	"peardrift/internal/core/request"
	"peardrift/internal/core/share"
	"peardrift/internal/status"
)

// Gate decides which requests one target runs. See the package comment.
type Gate struct {
	cfg           Config
	rng           *rand.Rand
	limiter       limit.Algorithm
	ledger        share.Ledger
	pool          pool
	queue         *queue
	service       serviceTimes
	levels        *levels
	window        window
	queueDetector *limit.QueueDetector
	rate          rateLimit
	reaction      reactionTimes
	limitCutAt    time.Duration // when the limit was last cut because requests queued inside the target

	running   int
	seq       uint64
	maxQueue  int
	draining  bool
	evictions []int // scratch space of refuseBelow
	counts    Counts

	busy, usable time.Duration // as in Stats
}

// New returns a gate. rng adds jitter to retry delays and must not be shared with
// another goroutine.
func New(cfg Config, rng *rand.Rand) *Gate {
	g := &Gate{
		cfg:           cfg,
		rng:           rng,
		limiter:       limit.NewProbe(cfg.Limit, cfg.Slots),
		pool:          pool{byID: make(map[Ticket]int)},
		levels:        newLevels(cfg.Paced),
		service:       serviceTimes{timeFactor: 1},
		queueDetector: limit.NewQueueDetector(importances),
		maxQueue:      cfg.queueLimit(cfg.Slots),
	}
	g.queue = newQueue(&g.pool, &g.ledger)
	return g
}

// Arrive decides on a request. If the queue is full, a more important arrival may
// evict a queued request, whose refusal is appended to out.
func (g *Gate) Arrive(now time.Duration, a Arrival, out []Action) (Decision, []Action) {
	out = g.advance(now, out)
	d, out := g.arrive(now, a, out)
	g.counts.add(d)
	return d, out
}

func (g *Gate) arrive(now time.Duration, a Arrival, out []Action) (Decision, []Action) {
	t := g.levels.tenant(int(a.Tenant))
	imp := int(a.Priority.Importance())
	expected := g.service.estimate(imp)
	if t.admits(a.Priority) {
		t.demand.record(a.Priority, g.service.factor(imp))
	}
	g.window.arrivals++
	g.window.age += a.Age
	g.reaction.arrive(imp, a.Age)

	if g.draining {
		return g.refuse(status.CodeDraining), out
	}
	if t.refuses(a.Priority, a.Nested, a.judgedFrom(now)) {
		return g.refuse(g.overloadReason(int(a.Tenant))), out
	}
	left := a.remaining(now)
	needed := g.requiredTime(imp, expected)
	if left <= 0 || needed > left {
		return g.refuse(status.CodeDeadline), out
	}
	if !g.rate.allows(now) {
		g.rate.refused++
		return g.refuse(g.overloadReason(int(a.Tenant))), out
	}
	if g.queue.len() == 0 && g.running < g.limiter.Limit() {
		g.start(now, g.newEntry(now, a, expected))
		return Decision{Verdict: Admit}, out
	}
	wait := g.estimateWait(now, &a, imp)
	if wait > g.cfg.MaxWait || wait+needed > left {
		return g.refuse(g.overloadReason(int(a.Tenant))), out
	}
	return g.enqueue(now, a, expected, out)
}

// requiredTime returns the time that a request of an importance must have left until
// its deadline to be admitted: its expected service time multiplied by the slot
// shortage, or 0 if no other request of that importance runs.
//
// The expected time is a mean, and about half of all requests take less. If all of
// it were always required, requests with short deadlines would be refused while
// slots are free, all of an importance at once as soon as the mean exceeds their
// timeout, though many would finish in time and nobody else needs the slots. Scaled
// by the shortage, free slots go to any request that may finish in time, and the
// last slots only to those that probably will.
//
// Without the exception, an importance whose service time once exceeded its callers'
// timeout would be refused forever, since no new sample could show that it is fast
// again; an idle target would refuse requests for short deadlines.
func (g *Gate) requiredTime(imp int, expected time.Duration) time.Duration {
	if g.service.running[imp] == 0 {
		return 0
	}
	return time.Duration(g.slotShortage() * float64(expected))
}

// slotShortage returns how scarce slots are: 0 while utilization is at most
// Config.SpareUtilization, rising to 1 when the whole limit is in use.
func (g *Gate) slotShortage() float64 {
	used := float64(g.running) / float64(g.limiter.Limit())
	return min(max((used-g.cfg.SpareUtilization)/(1-g.cfg.SpareUtilization), 0), 1)
}

// remaining returns the time until the deadline.
func (a *Arrival) remaining(now time.Duration) time.Duration {
	if a.Deadline == 0 {
		return math.MaxInt64
	}
	return a.Deadline - now
}

// enqueue queues an arrival. If the queue is full, it evicts the lowest-ranked entry
// or refuses the arrival.
func (g *Gate) enqueue(now time.Duration, a Arrival, expected time.Duration, out []Action) (Decision, []Action) {
	if g.queue.len() >= g.maxQueue {
		victim, ok := g.victim(&a)
		if !ok {
			return g.refuse(g.overloadReason(int(a.Tenant))), out
		}
		out = g.evict(victim, g.overloadReason(g.pool.entries[victim].tenant), out)
	}
	g.queue.insert(g.newEntry(now, a, expected))
	return Decision{Verdict: Queue}, out
}

// victim returns the queued entry to evict for the arrival; false if the arrival
// itself ranks lowest.
func (g *Gate) victim(a *Arrival) (int, bool) {
	tenant := g.ledger.MostLoaded(int(a.Tenant))
	ln := g.queue.tenantQueue(tenant)
	if len(ln.worst.idx) == 0 {
		return 0, false
	}
	worst := ln.worst.idx[0]
	if tenant != int(a.Tenant) {
		return worst, true
	}
	return worst, g.pool.entries[worst].key < queueKey(a)
}

// newEntry creates an entry for an arrival and returns its index.
func (g *Gate) newEntry(now time.Duration, a Arrival, expected time.Duration) int {
	i := g.pool.add(a.Ticket)
	e := &g.pool.entries[i]
	g.seq++
	e.seq = g.seq
	e.key = queueKey(&a)
	e.priority = a.Priority
	e.tenant = int(a.Tenant)
	e.deep, e.judgedFrom = a.Nested, a.judgedFrom(now)
	e.expected = expected
	e.latestStart = now + g.cfg.MaxWait
	if a.Deadline != 0 {
		e.latestStart = min(e.latestStart, a.Deadline-g.requiredTime(e.importance(), expected))
		e.deadline = a.Deadline
	}
	return i
}

// start marks an entry as running and takes a slot.
func (g *Gate) start(now time.Duration, i int) {
	e := &g.pool.entries[i]
	e.running = true
	e.started = now
	e.timeFactor = g.service.timeFactor
	g.rate.start(now)
	g.running++
	g.service.start(e)
	g.ledger.Acquire(e.tenant)
}

// estimateWait estimates how long an arrival would wait for a slot.
func (g *Gate) estimateWait(now time.Duration, a *Arrival, imp int) time.Duration {
	ahead := g.queue.workAhead(int(a.Tenant), imp, queueKey(a))
	if ahead == 0 {
		return 0
	}
	slots := float64(g.limiter.Limit())
	if g.queue.len() > len(g.queue.tenantQueue(int(a.Tenant)).best.idx) {
		slots = g.ledger.Guaranteed(int(a.Tenant), g.limiter.Limit())
	}
	return time.Duration(float64(ahead) * g.service.slowdown(now) / slots)
}

// Finish records that the target has finished a request. downstream is how long the
// target did nothing for the request but wait for its own calls.
func (g *Gate) Finish(now time.Duration, t Ticket, r Result, downstream time.Duration, out []Action) []Action {
	out = g.advance(now, out)
	i, ok := g.pool.byID[t]
	if !ok || !g.pool.entries[i].running {
		return out
	}
	if r == OK {
		g.recordLatency(now, &g.pool.entries[i], downstream)
	}
	if r != Overloaded {
		g.window.downstream += downstream
	}
	g.release(now, i, r)
	return g.dispatch(now, out)
}

// Rejected records that the target has rejected a running request, which keeps its slot
// and is sent again. A rejection counts against the limit like that of a request that
// ends with it: a target that rejects because it is full must not seem to have room.
func (g *Gate) Rejected() { g.window.overloaded++ }

// release frees the slot of a running entry.
func (g *Gate) release(now time.Duration, i int, r Result) {
	e := &g.pool.entries[i]
	g.service.end(e)
	g.ledger.Release(e.tenant)
	g.running--
	if r == Overloaded {
		g.window.overloaded++
	} else {
		g.window.completed++
		g.updateEstimate(now, e, r)
	}
	g.pool.remove(i)
}

// recordLatency feeds the detection of requests that queue inside the target.
func (g *Gate) recordLatency(now time.Duration, e *entry, downstream time.Duration) {
	imp, took := e.importance(), now-e.started
	g.queueDetector.CountCompletion(imp)
	if e.started >= g.limitCutAt {
		g.queueDetector.RecordTime(imp, g.atUsualSpeed(e, took), g.atUsualSpeed(e, took-downstream))
	}
}

// updateEstimate records how long a request ran. It ignores requests that started
// before the limit was last cut for queueing inside the target: their times include
// that wait and would inflate the estimate after the cut has ended it.
func (g *Gate) updateEstimate(now time.Duration, e *entry, r Result) {
	if e.started >= g.limitCutAt {
		g.service.observe(e.importance(), now-e.started, g.factorDuring(e), r == OK)
	}
}

// factorDuring returns the mean time factor of a request that ends now.
func (g *Gate) factorDuring(e *entry) float64 { return (e.timeFactor + g.service.timeFactor) / 2 }

// atUsualSpeed returns how long a request that ends now would have taken at the usual
// speed. Otherwise a slowdown that the target states could be taken for requests
// that queue inside the target, and the limit would be cut.
func (g *Gate) atUsualSpeed(e *entry, took time.Duration) time.Duration {
	return time.Duration(float64(took) / g.factorDuring(e))
}

// Cancel records that the caller no longer waits for a request. A queued request is
// refused at once; a running one frees its slot.
func (g *Gate) Cancel(now time.Duration, t Ticket, out []Action) []Action {
	out = g.advance(now, out)
	i, ok := g.pool.byID[t]
	if !ok {
		return out
	}
	if g.pool.entries[i].running {
		g.release(now, i, Canceled)
	} else {
		out = g.evict(i, status.CodeCanceled, out)
	}
	return g.dispatch(now, out)
}

// evict refuses a queued entry.
func (g *Gate) evict(i int, why status.Code, out []Action) []Action {
	g.queue.drop(i)
	d := g.refuse(why)
	g.counts.add(d)
	out = append(out, Action{Ticket: g.pool.entries[i].ticket, Decision: d})
	g.pool.remove(i)
	return out
}

// dispatch assigns free slots to queued entries in queue order.
func (g *Gate) dispatch(now time.Duration, out []Action) []Action {
	for g.running < g.limiter.Limit() && g.queue.len() > 0 && g.rate.allows(now) {
		i := g.queue.next()
		e := &g.pool.entries[i]
		if g.cannotFinish(now, e) {
			out = g.evict(i, status.CodeOverloaded, out)
			continue
		}
		g.queue.drop(i)
		g.start(now, i)
		d := Decision{Verdict: Admit}
		g.counts.add(d)
		out = append(out, Action{Ticket: e.ticket, Decision: d})
	}
	g.updateQueueDelay(now)
	return out
}

// cannotFinish reports whether a queued entry can no longer meet its deadline.
func (g *Gate) cannotFinish(now time.Duration, e *entry) bool {
	if e.deadline == 0 {
		return false
	}
	imp := e.importance()
	return now+g.requiredTime(imp, g.service.estimate(imp)) > e.deadline
}

// Drain refuses all queued requests, and all arrivals until Resume; running requests
// continue.
func (g *Gate) Drain(now time.Duration, out []Action) []Action {
	out = g.advance(now, out)
	g.draining = true
	for g.queue.len() > 0 {
		out = g.evict(g.queue.expiry.idx[0], status.CodeDraining, out)
	}
	return out
}

// Resume ends a drain after the target has restarted. The limits start over, since
// those of the previous incarnation do not apply to the new one.
func (g *Gate) Resume(slots int) {
	g.draining = false
	g.rate = rateLimit{}
	g.limiter = limit.NewProbe(g.cfg.Limit, slots)
	g.maxQueue = g.cfg.queueLimit(slots)
}

// SetShares sets the tenants' weights by index; tenants without a weight have 1.
func (g *Gate) SetShares(weights []float64) { g.ledger.SetWeights(weights) }

// SetCapacity sets the number of slots that the target declares. Running requests
// above a lower limit finish; additional slots are used from the next call on.
func (g *Gate) SetCapacity(slots int) {
	g.limiter.SetMax(slots)
	g.maxQueue = g.cfg.queueLimit(slots)
}

// SetRateLimit sets the rate of calls that the target accepts, per second; +Inf means no
// limit. Calls above it are refused at once, because another target may accept them.
func (g *Gate) SetRateLimit(now time.Duration, perSecond float64) { g.rate.set(now, perSecond) }

// SetTimeFactor sets how long requests take in the target now, relative to their mean; 1 if
// the target doesn't state it. Expected times, and with them the capacity that levels are
// set by, follow it.
func (g *Gate) SetTimeFactor(f float64) {
	g.service.timeFactor = min(max(f, minTimeFactor), maxTimeFactor)
}

// Bounds of the time factor, so that no false statement removes the estimates.
const (
	minTimeFactor = 0.1
	maxTimeFactor = 10
)

// Level returns the admission level that applies to every tenant, i.e. the lowest. A
// caller that knows the request's tenant uses TenantLevel.
func (g *Gate) Level() request.Level {
	low := request.MaxPriority
	for _, t := range g.levels.tenants {
		if t != nil && t.demand.total > 0 {
			low = min(low, t.level)
		}
	}
	if low == request.MaxPriority {
		return 0
	}
	return low
}

// TenantLevel returns the admission level of one tenant and the exemptions from it, to
// be published to its callers: a request below the level is admitted if its priority is
// at least that of an exemption of its importance. The caller must not change the list.
func (g *Gate) TenantLevel(tenant uint16) (request.Level, []request.Level) {
	t := g.levels.tenant(int(tenant))
	return t.level, t.exempt
}
