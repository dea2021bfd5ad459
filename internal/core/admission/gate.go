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

// Gate decides who may use one target. See the package comment.
type Gate struct {
	cfg      Config
	rng      *rand.Rand
	limiter  limit.Algorithm
	ledger   share.Ledger
	pool     pool
	queue    *queue
	service  service
	levels   *levels
	window   window
	delay    *limit.Delay
	relieved time.Duration // when the limit was last cut for such waiting

	running  int
	seq      uint64
	maxQueue int
	draining bool
	doomed   []int // scratch of refuseBelow
	counts   Counts
}

// New returns a gate. rng spreads the advice on when to come back and must not
// be shared with another goroutine.
func New(cfg Config, rng *rand.Rand) *Gate {
	g := &Gate{
		cfg:      cfg,
		rng:      rng,
		limiter:  limit.NewProbe(cfg.Limit, cfg.Slots),
		pool:     pool{byID: make(map[Ticket]int)},
		levels:   newLevels(),
		delay:    limit.NewDelay(importances),
		maxQueue: cfg.queueLimit(cfg.Slots),
	}
	g.queue = newQueue(&g.pool, &g.ledger)
	return g
}

// Arrive decides for a request. A more important arrival may push out a less
// important one that waits, which is then refused by an action.
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
	t.demand.note(a.Priority, g.service.factor(imp), t.level)
	g.window.arrivals++

	if g.draining {
		return g.refuse(status.CodeDraining), out
	}
	if t.refuses(a.Priority, a.Deep) {
		return g.refuse(g.overReason(int(a.Tenant))), out
	}
	left := a.left(now)
	needed := g.needed(imp, expected)
	if left <= 0 || needed > left {
		return g.refuse(status.CodeDeadline), out
	}
	if g.queue.len() == 0 && g.running < g.limiter.Limit() {
		g.run(now, g.enter(now, a, expected))
		return Decision{Verdict: Admit}, out
	}
	wait := g.wait(now, &a, imp)
	if wait > g.cfg.MaxWait || wait+needed > left {
		return g.refuse(g.overReason(int(a.Tenant))), out
	}
	return g.hold(now, a, expected, out)
}

// needed returns the time that a request of an importance must have left to be
// let in: the part of what it is expected to take by which slots are short, or
// nothing if no other of its importance runs.
//
// The expected time is a mean, and about half of all requests take less. Symptom
// if it were asked for at all times: requests are refused for short deadlines beside
// free slots, all of an importance at once as soon as the mean passes what their
// callers wait, though many would end in time and nobody else wants the slots.
// Asked for in proportion, free slots go to whoever may still end in time, and the
// last ones only to those who are likely to.
//
// Without the exception an importance that once took longer than its callers wait
// would be refused for good, since nothing would show that it is fast again; one
// would notice by refusals for short deadlines beside an idle target.
func (g *Gate) needed(imp int, expected time.Duration) time.Duration {
	if g.service.running[imp] == 0 {
		return 0
	}
	return time.Duration(g.shortage() * float64(expected))
}

// shortage is how far slots are short: 0 while the part of the limit in use is at
// most Config.SpareBelow, 1 when all of it is.
func (g *Gate) shortage() float64 {
	used := float64(g.running) / float64(g.limiter.Limit())
	return min(max((used-g.cfg.SpareBelow)/(1-g.cfg.SpareBelow), 0), 1)
}

// left returns the time until the deadline.
func (a *Arrival) left(now time.Duration) time.Duration {
	if a.Deadline == 0 {
		return math.MaxInt64
	}
	return a.Deadline - now
}

// hold queues an arrival, pushing out the worst entry if the queue is full.
func (g *Gate) hold(now time.Duration, a Arrival, expected time.Duration, out []Action) (Decision, []Action) {
	if g.queue.len() >= g.maxQueue {
		victim, ok := g.victim(&a)
		if !ok {
			return g.refuse(g.overReason(int(a.Tenant))), out
		}
		out = g.evict(victim, g.overReason(g.pool.entries[victim].tenant), out)
	}
	g.queue.insert(g.enter(now, a, expected))
	return Decision{Verdict: Queue}, out
}

// victim returns the queued entry that makes room for the arrival; false if the
// arrival itself is the one to go.
func (g *Gate) victim(a *Arrival) (int, bool) {
	tenant := g.ledger.Most(int(a.Tenant))
	ln := g.queue.line(tenant)
	if len(ln.worst.idx) == 0 {
		return 0, false
	}
	worst := ln.worst.idx[0]
	if tenant != int(a.Tenant) {
		return worst, true
	}
	return worst, g.pool.entries[worst].key < keyOf(a.Priority, a.Deep)
}

// enter makes an entry of an arrival.
func (g *Gate) enter(now time.Duration, a Arrival, expected time.Duration) int {
	i := g.pool.add(a.Ticket)
	e := &g.pool.entries[i]
	g.seq++
	e.seq = g.seq
	e.key = keyOf(a.Priority, a.Deep)
	e.priority = a.Priority
	e.tenant = int(a.Tenant)
	e.deep = a.Deep
	e.expected = expected
	e.latest = now + g.cfg.MaxWait
	if a.Deadline != 0 {
		e.latest = min(e.latest, a.Deadline-g.needed(e.importance(), expected))
		e.deadline = a.Deadline
	}
	return i
}

// run starts an entry.
func (g *Gate) run(now time.Duration, i int) {
	e := &g.pool.entries[i]
	e.running = true
	e.started = now
	g.running++
	g.service.start(e)
	g.ledger.Start(e.tenant)
}

// wait estimates how long an arrival would wait for a slot.
func (g *Gate) wait(now time.Duration, a *Arrival, imp int) time.Duration {
	ahead := g.queue.ahead(int(a.Tenant), imp, keyOf(a.Priority, a.Deep))
	if ahead == 0 {
		return 0
	}
	slots := float64(g.limiter.Limit())
	if g.queue.len() > len(g.queue.line(int(a.Tenant)).best.idx) {
		slots = g.ledger.Guaranteed(int(a.Tenant), g.limiter.Limit())
	}
	return time.Duration(float64(ahead) * g.service.slowdown(now) / slots)
}

// Finish takes in that the target is done with a request. below is for how long
// the target did nothing for it but wait for calls of its own.
func (g *Gate) Finish(now time.Duration, t Ticket, r Result, below time.Duration, out []Action) []Action {
	out = g.advance(now, out)
	i, ok := g.pool.byID[t]
	if !ok || !g.pool.entries[i].running {
		return out
	}
	if r == OK {
		g.noteTime(now, &g.pool.entries[i], below)
	}
	if r != Overloaded {
		g.window.below += below
	}
	g.leave(now, i, r)
	return g.dispatch(now, out)
}

// leave gives a running entry's slot back.
func (g *Gate) leave(now time.Duration, i int, r Result) {
	e := &g.pool.entries[i]
	g.service.end(e)
	g.ledger.End(e.tenant)
	g.running--
	if r == Overloaded {
		g.window.overloaded++
	} else {
		g.window.completed++
		g.learn(now, e, r)
	}
	g.pool.remove(i)
}

// noteTime looks for requests that wait inside the target.
func (g *Gate) noteTime(now time.Duration, e *entry, below time.Duration) {
	imp, took := e.importance(), now-e.started
	g.delay.Done(imp)
	if e.started >= g.relieved {
		g.delay.Note(imp, took, took-below)
	}
}

// learn takes in how long a request ran. One that began before the limit was
// cut, since requests waited inside the target, waited with the others: its time
// would be held against a limit that has ended such waits.
func (g *Gate) learn(now time.Duration, e *entry, r Result) {
	if e.started >= g.relieved {
		g.service.learn(e.importance(), now-e.started, r == OK)
	}
}

// Cancel takes in that nobody waits for a request any more. A queued one leaves
// at once, with a refusal; a running one gives its slot back.
func (g *Gate) Cancel(now time.Duration, t Ticket, out []Action) []Action {
	out = g.advance(now, out)
	i, ok := g.pool.byID[t]
	if !ok {
		return out
	}
	if g.pool.entries[i].running {
		g.leave(now, i, Canceled)
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

// dispatch gives free slots to queued entries, in order.
func (g *Gate) dispatch(now time.Duration, out []Action) []Action {
	for g.running < g.limiter.Limit() && g.queue.len() > 0 {
		i := g.queue.next()
		e := &g.pool.entries[i]
		if g.tooLate(now, e) {
			out = g.evict(i, status.CodeOverloaded, out)
			continue
		}
		g.queue.drop(i)
		g.run(now, i)
		d := Decision{Verdict: Admit}
		g.counts.add(d)
		out = append(out, Action{Ticket: e.ticket, Decision: d})
	}
	g.noteDelay(now)
	return out
}

// tooLate reports whether a queued entry can't finish any more.
func (g *Gate) tooLate(now time.Duration, e *entry) bool {
	if e.deadline == 0 {
		return false
	}
	imp := e.importance()
	return now+g.needed(imp, g.service.estimate(imp)) > e.deadline
}

// Drain refuses what waits and all that arrives from now on; what runs goes on.
func (g *Gate) Drain(now time.Duration, out []Action) []Action {
	out = g.advance(now, out)
	g.draining = true
	for g.queue.len() > 0 {
		out = g.evict(g.queue.expiry.idx[0], status.CodeDraining, out)
	}
	return out
}

// Resume ends a drain: the target takes calls again, in another lifetime. What was
// measured of the last one's limit says nothing of this one.
func (g *Gate) Resume(slots int) {
	g.draining = false
	g.limiter = limit.NewProbe(g.cfg.Limit, slots)
	g.maxQueue = g.cfg.queueLimit(slots)
}

// SetShares sets the tenants' weights by index; tenants without one have 1.
func (g *Gate) SetShares(weights []float64) { g.ledger.SetWeights(weights) }

// SetCapacity sets how many slots the target declares. What runs above a lower
// limit finishes; freed slots are taken into use by the next call.
func (g *Gate) SetCapacity(slots int) {
	g.limiter.SetMax(slots)
	g.maxQueue = g.cfg.queueLimit(slots)
}

// Level returns the level that holds for every tenant: the lowest. A caller
// that knows the request's tenant uses LevelOf.
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

// LevelOf returns the level of one tenant, to be published to its callers.
func (g *Gate) LevelOf(tenant uint16) request.Level {
	return g.levels.tenant(int(tenant)).level
}
