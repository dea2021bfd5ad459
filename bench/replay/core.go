package replay

import (
	"math"
	"slices"
	"time"

	"peardrift/internal/core/admission"
	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/core/route"
	"peardrift/internal/status"
)

// Settings of nodes on the users' platform, as in package node.
const (
	platformHeadroom    = 0.06
	platformFloor       = 1
	platformZoneGap     = 0.5
	platformRetryBudget = 97
	platformRetryWindow = 10 * time.Second
)

// coreGate drives the admission core as a node does.
type coreGate struct {
	n       *node
	core    *admission.Gate
	actions []admission.Action
	tick    *event
	due     time.Duration
}

func newCoreGate(n *node) *coreGate {
	cfg := admission.DefaultConfig()
	cfg.Slots = n.target.slots
	if n.w.pol.Platform {
		cfg.Limit.InitialFraction, cfg.Limit.Headroom = 1, platformHeadroom
	}
	if !n.w.pol.Queue {
		cfg.MaxWait = time.Nanosecond
	}
	if !n.w.pol.Level {
		cfg.StandingDelay = math.MaxInt64 // no queue ever stands for as long
	}
	g := &coreGate{n: n, core: admission.New(cfg, n.w.rng), due: math.MaxInt64}
	return g
}

func (g *coreGate) arrive(a *attempt) {
	d, actions := g.core.Arrive(g.n.w.now, admission.Arrival{
		Ticket:   admission.Ticket(a.seq),
		Priority: g.priority(a),
		Tenant:   g.n.w.tenant(a.call.tree.class.Tenant),
		Deadline: a.call.deadline,
		Nested:   g.n.w.pol.DeepFirst && g.n.w.pol.Order && a.call.depth > 0,
	}, g.actions[:0])
	g.settle(a, d)
	g.act(actions)
}

// priority is a call's place in the queue; equals run in the order of arrival.
func (g *coreGate) priority(a *attempt) request.Priority {
	if !g.n.w.pol.Order {
		return 0
	}
	return g.n.w.priority(a.call.tree, g.n.svc)
}

// settle carries out a decision on a call.
func (g *coreGate) settle(a *attempt, d admission.Decision) {
	switch d.Verdict {
	case admission.Admit:
		g.n.begin(a)
	case admission.Refuse:
		g.n.refuse(a, result{code: d.Reason, retryAfter: d.RetryAfter})
	}
}

// act carries out actions on queued calls and sets the next tick.
func (g *coreGate) act(actions []admission.Action) {
	// Carrying out an action may call the gate again, so it gets its own slice.
	g.actions = nil
	for _, x := range actions {
		if a := g.n.live[uint64(x.Ticket)]; a != nil {
			g.settle(a, x.Decision)
		}
	}
	g.actions = actions[:0]
	g.schedule()
}

func (g *coreGate) schedule() {
	next := g.core.Next()
	if next == math.MaxInt64 || g.tick != nil && g.due <= next {
		return
	}
	g.tick.cancel()
	g.due = next
	g.tick = g.n.w.at(next, func() {
		g.tick = nil
		if g.n.gate == g {
			g.act(g.core.Tick(g.n.w.now, g.actions[:0]))
		}
	})
}

func (g *coreGate) finish(a *attempt, r result) {
	res := admission.Failed
	switch {
	case r.outcome == request.Completed:
		res = admission.OK
	case r.outcome == request.Refused:
		res = admission.Overloaded
	case r.code == status.CodeCanceled:
		g.act(g.core.Cancel(g.n.w.now, admission.Ticket(a.seq), g.actions[:0]))
		return
	}
	g.act(g.core.Finish(g.n.w.now, admission.Ticket(a.seq), res, a.below, g.actions[:0]))
}

func (g *coreGate) cancel(a *attempt) {
	g.act(g.core.Cancel(g.n.w.now, admission.Ticket(a.seq), g.actions[:0]))
}

func (g *coreGate) answer(a *attempt) answer {
	x := answer{
		own:      g.core.TenantLevel(g.n.w.tenant(a.call.tree.class.Tenant)),
		inFlight: g.n.target.load(),
		limit:    g.n.target.slots,
	}
	if g.n.w.pol.ChainLevel {
		x.chain = g.n.chain.Level(g.n.w.now, workOf(a.call.tree))
	}
	return x
}

// workOf is what a request is to the chain of a node.
func workOf(t *tree) earlyrefusal.WorkKey {
	return earlyrefusal.WorkKey{Class: request.Class(t.class.Name), Tenant: request.Tenant(t.class.Tenant)}
}

// tenant is the small index of a tenant.
func (w *world) tenant(name string) uint16 {
	i := slices.Index(w.tenants, name)
	return uint16(i)
}

// priority is a request's place in the order of importance at a service.
func (w *world) priority(t *tree, at *service) request.Priority {
	id := t.id
	if !w.pol.ChainOrder {
		id[0] ^= byte(at.index + 1) // each hop draws its own order
	}
	return request.PriorityOf(importanceOf(t.class), id)
}

// router drives the route core for one callee service at one node.
type router struct {
	n     *node
	svc   *service
	table *route.Table
	cfg   route.Config
	known int // length of svc.members when last updated, by generation
}

func newRouter(n *node, svc *service) *router {
	r := &router{n: n, svc: svc, cfg: route.DefaultConfig(), known: -1}
	if n.w.pol.Platform {
		r.cfg.MinHotLoad, r.cfg.ZoneGap = platformFloor, platformZoneGap
	}
	r.table = route.NewTable(&r.cfg, route.Locality{Caller: uint64(n.id), Zone: zoneName(n.zone)}, n.w.rng)
	return r
}

func zoneName(z int) string { return string(rune('a' + z)) }

// update hands the announced targets to the table when they have changed.
func (r *router) update() {
	if r.known == r.svc.generation {
		return
	}
	r.known = r.svc.generation
	ts := make([]route.Target, 0, len(r.svc.members))
	for _, m := range r.svc.members {
		ts = append(ts, route.Target{ID: m.id, Incarnation: 1, Zone: zoneName(m.zone), Slots: m.target.slots,
			Conns: m.target.conns, Since: m.target.started})
	}
	r.table.Update(r.n.w.now, ts, r.n.w.callers(r.svc))
}

// callers is the number of nodes that call a service: those of the services
// above it, and all of them if clients' requests begin there.
func (w *world) callers(svc *service) int {
	above := map[string]bool{}
	for i := range w.dep.Classes {
		root := &w.dep.Classes[i].Root
		if root.Service == svc.spec.Name {
			return w.nodes
		}
		root.Callers(svc.spec.Name, above)
	}
	n := 0
	for name := range above {
		n += len(w.service(name).nodes)
	}
	return n
}

func (r *router) pick(c *call, p request.Priority) (*node, int) {
	r.update()
	i, ok := r.table.Pick(r.n.w.now, p, &c.tried)
	if !ok {
		return nil, 0
	}
	id := r.table.Target(i).ID
	at := slices.IndexFunc(r.svc.nodes, func(n *node) bool { return n.id == id })
	return r.svc.nodes[at], i
}

func (r *router) done(a *attempt, res result) {
	x := route.Result{Kind: kindOf(res), Latency: r.n.w.now - a.sent}
	if res.answered {
		x.Level, x.HasLevel = res.answer.own, true
		x.InFlight, x.Limit = res.answer.inFlight, res.answer.limit
	}
	r.table.Done(r.n.w.now, a.index, &x)
	a.call.tried.Add(a.index)
}

// kindOf says what a result tells of the target. A failure that a call below
// caused says nothing of it.
func kindOf(r result) route.Kind {
	switch {
	case r.outcome == request.Completed:
		return route.Success
	case r.code == status.CodeConnectionLost && !r.below:
		return route.ConnectionFailed
	case r.outcome == request.Refused && r.code == status.CodeDraining:
		return route.Draining
	case r.outcome == request.Refused:
		return route.Shed
	case r.code == status.CodeTargetFailed && !r.below, r.code == status.CodeDeadlineExceeded && !r.answered:
		return route.Failure
	}
	return route.Ignored
}
