package pace

import (
	"math/rand/v2"
	"time"

	"peardrift/internal/core/admission"
	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/simtime"
)

// class is a class of requests that make calls to the short service, one after the other.
// Requests of one call are sent by the entry, others by a service between.
type class struct {
	name       request.Class
	importance request.Importance
	calls      int
	service    time.Duration // of one call at speed 1
	share      float64       // of the demand in slot time
	objective  time.Duration // until which a request waits at the entry, less what it needs
	timeout    time.Duration
	needs      time.Duration // quantile of the time from start to answer
	result
}

// result counts the requests of a class that arrived in the measured time.
type result struct{ arrived, started, completed, refusedLater, refused int }

// finished learns what a request needs: the 99% quantile of what requests took.
func (c *class) finished(took time.Duration) {
	const quantile, step = 0.99, 10 * ms
	if took > c.needs {
		c.needs += time.Duration(quantile * float64(step))
	} else {
		c.needs -= time.Duration((1 - quantile) * float64(step))
	}
}

// latestStart returns until when a request may wait.
func (c *class) latestStart(w *waiter) time.Duration {
	return w.arrived + max(min(c.objective, c.timeout)-c.needs, 0)
}

// work returns the slot time of a request.
func (c *class) work() float64 { return float64(c.calls) * c.service.Seconds() }

// gate is a target of the short service and its gate.
type gate struct {
	*admission.Gate
	id    request.TargetID
	slots int
	speed float64
	calls map[admission.Ticket]func(run bool) // in the gate; called once with the decision
}

// node is an entry, or a node of the service between: what it learned of its callees.
type node struct {
	table *earlyrefusal.Table
	chain *earlyrefusal.Chain
	pace  *Table
	id    request.TargetID
	down  bool            // takes no requests
	cut   bool            // reaches no other node
	lists [][]*waiter     // by class
	armed []time.Duration // when the list is looked at next, by class
}

type waiter struct {
	arrived  time.Duration
	measured bool
}

// fleet is a service short of capacity, a service between, and the entries that call both.
type fleet struct {
	simtime.Queue
	rng           *rand.Rand
	pacing        bool
	classes       []*class
	gates         []*gate
	between       []*node
	entries       []*node
	demand        func(now time.Duration) float64 // in parts of the capacity
	from          time.Duration                   // start of the measured time
	capacity      float64                         // in slots at speed 1
	ticket        admission.Ticket
	faultyReports bool
	startedWork   []float64 // slot time of the started requests as a part of the capacity, by bin
}

const (
	bin      = 100 * ms
	hopDelay = ms
	mids     = 12
	deep     = request.Service("deep.t")
	middle   = request.Service("middle.t")
)

func newFleet(seed uint64, pacing bool, entries, slots int, speeds []float64, classes ...class) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), pacing: pacing, from: 5 * time.Second}
	for i := range classes {
		f.classes = append(f.classes, &classes[i])
	}
	for i, speed := range speeds {
		f.gates = append(f.gates, &gate{id: request.TargetID(i + 1), slots: slots, speed: speed})
		f.restart(f.gates[i])
		f.capacity += float64(slots) * speed
	}
	for i := range mids {
		f.between = append(f.between, f.newNode(i))
	}
	for i := range entries {
		f.entries = append(f.entries, f.newNode(i))
	}
	return f
}

func (f *fleet) newNode(i int) *node {
	cfg := earlyrefusal.DefaultConfig()
	if f.pacing {
		cfg = cfg.WithPacing()
	}
	table := earlyrefusal.NewTable(&cfg, f.rng)
	return &node{
		id: request.TargetID(i + 1), table: table, chain: earlyrefusal.NewChain(&cfg, table), pace: New(DefaultConfig(), table),
		lists: make([][]*waiter, len(f.classes)), armed: make([]time.Duration, len(f.classes)),
	}
}

// restart replaces a gate; the calls in it end without an answer.
func (f *fleet) restart(g *gate) {
	cfg := admission.DefaultConfig()
	cfg.Slots, cfg.ReservedShare = g.slots, 0.2
	if f.pacing {
		cfg = cfg.WithPacing()
	}
	cfg.Limit.InitialFraction, cfg.Limit.Headroom = 1, 0.06
	g.Gate = admission.New(cfg, f.rng)
	g.calls = map[admission.Ticket]func(bool){}
}

func (f *fleet) run(d time.Duration) {
	for i, c := range f.classes {
		for _, e := range f.entries {
			f.arrivals(e, i, c)
		}
	}
	f.startedWork = make([]float64, d/bin+1)
	f.tick()
	f.RunUntil(d)
}

func (f *fleet) tick() {
	for _, g := range f.gates {
		f.settle(g, g.Tick(f.Now, nil))
	}
	f.After(10*ms, f.tick)
}

func (f *fleet) arrivals(e *node, i int, c *class) {
	alive := 0
	for _, e := range f.entries {
		if !e.down {
			alive++
		}
	}
	rate := f.demand(f.Now) * c.share * f.capacity / c.work() / float64(alive)
	f.After(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if !e.down {
			f.arrive(e, i, c)
			f.arrivals(e, i, c)
		}
	})
}

func (c *class) key() earlyrefusal.Key {
	if c.calls == 1 {
		return earlyrefusal.Key{Service: deep, Class: c.name}
	}
	return earlyrefusal.Key{Service: middle, Class: c.name}
}

func (f *fleet) newID() (id request.ID) {
	for i := range id {
		id[i] = byte(f.rng.Uint32())
	}
	return id
}

func (f *fleet) arrive(e *node, i int, c *class) {
	w := &waiter{f.Now, f.Now >= f.from}
	c.count(w, &c.arrived)
	if f.pacing {
		e.pace.Arrived(f.Now, c.key(), c.importance)
		e.lists[i] = append(e.lists[i], w)
		f.serveList(e, i, c)
		return
	}
	id := f.newID()
	if e.table.Check(f.Now, c.key(), request.PriorityOf(c.importance, id)).Refuse {
		c.count(w, &c.refused)
		return
	}
	f.start(e, c, w, id)
}

func (c *class) count(w *waiter, n *int) {
	if w.measured {
		*n++
	}
}

// serveList starts the requests that may start and refuses those that waited too long.
func (f *fleet) serveList(e *node, i int, c *class) {
	for len(e.lists[i]) > 0 && !e.down {
		w := e.lists[i][0]
		switch {
		case f.Now > c.latestStart(w):
			c.count(w, &c.refused)
		case e.pace.Start(f.Now, c.key(), c.importance):
			f.start(e, c, w, request.Draw(c.importance, e.pace.DrawLevel(c.key(), c.importance), f.newID))
		default:
			f.wake(e, i, c, min(e.pace.Next(f.Now, c.key(), c.importance), max(f.Now, c.latestStart(w))+1))
			return
		}
		e.lists[i] = e.lists[i][1:]
	}
}

func (f *fleet) wake(e *node, i int, c *class, at time.Duration) {
	if e.armed[i] > f.Now && e.armed[i] <= at {
		return
	}
	e.armed[i] = at
	f.After(at-f.Now, func() {
		if e.armed[i] == at {
			f.serveList(e, i, c)
		}
	})
}

func (f *fleet) start(e *node, c *class, w *waiter, id request.ID) {
	if e.cut {
		return
	}
	c.count(w, &c.started)
	f.startedWork[f.Now/bin] += c.work() / f.capacity
	r := &running{fleet: f, class: c, waiter: w, entry: e, priority: request.PriorityOf(c.importance, id), deadline: w.arrived + c.timeout, startedAt: f.Now}
	if c.calls == 1 {
		r.call(e, false, r.answered)
		return
	}
	m := f.between[f.rng.IntN(mids)]
	f.After(hopDelay, func() { r.serve(m) })
}

// running is a request that has started.
type running struct {
	*fleet
	*class
	*waiter
	entry     *node
	priority  request.Priority
	deadline  time.Duration
	startedAt time.Duration
}

// serve makes the calls of a request at the service between.
func (r *running) serve(m *node) {
	w := earlyrefusal.WorkKey{Class: r.name}
	m.chain.RecordRequest(r.Now, w)
	deepKey := earlyrefusal.Key{Service: deep, Class: r.name}
	end := func(ok, refused bool) {
		level := m.chain.Level(r.Now, w, r.priority)
		r.After(hopDelay, func() {
			r.report(r.entry, earlyrefusal.Key{Service: middle, Class: r.name}, earlyrefusal.Report{Target: m.id, Chain: level, Slots: 100})
			r.answered(ok, refused)
		})
	}
	var next func(n int)
	next = func(n int) {
		if n == r.calls {
			end(true, false)
			return
		}
		if n == 0 {
			m.chain.RecordCall(r.Now, w, deepKey)
		}
		if m.table.Check(r.Now, deepKey, r.priority).Refuse {
			end(false, true)
			return
		}
		r.call(m, true, func(ok, refused bool) {
			if !ok {
				end(false, refused)
				return
			}
			next(n + 1)
		})
	}
	next(0)
}

// answered counts the end of a request.
func (r *running) answered(ok, refused bool) {
	if ok && r.Now <= r.deadline {
		r.count(r.waiter, &r.completed)
	}
	if ok {
		r.finished(r.Now - r.startedAt)
	}
	if refused {
		r.count(r.waiter, &r.refusedLater)
	}
}

// report delivers the levels of an answer to the node that called.
func (f *fleet) report(to *node, k earlyrefusal.Key, r earlyrefusal.Report) {
	if to.cut {
		return
	}
	if !f.faultyReports {
		to.table.Learn(f.Now, k, r)
		return
	}
	for n := f.rng.IntN(3); n > 0; n-- { // lost, once or twice
		f.After(time.Duration(f.rng.IntN(100))*ms, func() { to.table.Learn(f.Now, k, r) })
	}
}

// call makes one call to the short service, at another target if one refuses a request
// that is above its level.
func (r *running) call(from *node, nested bool, done func(ok, refused bool)) {
	r.callGate(r.pick(nil), from, nested, func(g *gate, ok, refused bool) {
		level, _ := g.TenantLevel(0)
		if refused && level.Importance() < r.importance {
			r.callGate(r.pick(g), from, nested, func(_ *gate, ok, refused bool) { done(ok, refused) })
			return
		}
		done(ok, refused)
	})
}

// pick returns the less loaded of two gates, drawn in proportion to what they can run.
func (f *fleet) pick(not *gate) *gate {
	a, b := f.draw(not), f.draw(not)
	if a.load() < b.load() {
		return a
	}
	return b
}

func (f *fleet) draw(not *gate) *gate {
	total := 0.0
	for _, g := range f.gates {
		total += g.weight(not)
	}
	at := f.rng.Float64() * total
	for _, g := range f.gates {
		if at -= g.weight(not); at < 0 {
			return g
		}
	}
	return f.gates[0]
}

func (g *gate) load() float64 { return float64(len(g.calls)) / float64(g.slots) }

func (g *gate) weight(not *gate) float64 {
	if g == not {
		return 0
	}
	return float64(g.slots) * g.speed
}

func (r *running) callGate(g *gate, from *node, nested bool, done func(g *gate, ok, refused bool)) {
	answer := func(ok, refused bool) {
		level, exempt := g.TenantLevel(0)
		report := earlyrefusal.Report{Target: g.id, Own: level, Exempt: exempt, Slots: g.slots}
		r.After(hopDelay, func() {
			r.report(from, earlyrefusal.Key{Service: deep, Class: r.name}, report)
			done(g, ok, refused)
		})
	}
	r.After(hopDelay, func() {
		r.ticket++
		t := r.ticket
		d, out := g.Arrive(r.Now, admission.Arrival{Ticket: t, Priority: r.priority, Nested: nested, Deadline: r.deadline}, nil)
		now := g.Gate
		g.calls[t] = func(run bool) {
			if !run {
				delete(g.calls, t)
				answer(false, true)
				return
			}
			took := float64(r.service) / g.speed * (0.5 + 0.5*r.rng.ExpFloat64())
			r.After(time.Duration(took), func() {
				if g.Gate != now {
					answer(false, false)
					return
				}
				delete(g.calls, t)
				r.settle(g, g.Finish(r.Now, t, admission.OK, 0, nil))
				answer(true, false)
			})
		}
		r.settle(g, out)
		if d.Verdict != admission.Queue {
			g.calls[t](d.Verdict == admission.Admit)
		}
	})
}

func (f *fleet) settle(g *gate, out []admission.Action) {
	for _, a := range out {
		g.calls[a.Ticket](a.Verdict == admission.Admit)
	}
}
