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

// Retry budget of the users' platform, which its nodes are told.
const (
	platformRetryBudget = 97
	platformRetryWindow = 10 * time.Second
)

// coreGate calls the admission core in the way a real node does.
type coreGate struct {
	node      *node
	core      *admission.Gate
	actions   []admission.Action
	tickEvent *event
	tickAt    time.Duration
}

func newCoreGate(n *node) *coreGate {
	cfg := n.sim.cfg.Gate
	cfg.Slots = n.target.slots
	if !n.sim.policy.Queue {
		cfg.MaxWait = time.Nanosecond
	}
	if !n.sim.policy.Level {
		cfg.StandingDelay = math.MaxInt64 // a standing queue is never detected
	}
	g := &coreGate{node: n, core: admission.New(cfg, n.sim.rng), tickAt: math.MaxInt64}
	return g
}

func (g *coreGate) arrive(a *attempt) {
	d, actions := g.core.Arrive(g.node.sim.now, admission.Arrival{
		Ticket:     admission.Ticket(a.seq),
		Priority:   g.priority(a),
		Tenant:     g.node.sim.tenantIndex(a.call.root.class.Tenant),
		Deadline:   a.call.deadline,
		InProgress: g.node.sim.policy.Order && a.call.inProgress,
		Age:        g.node.sim.now - a.call.root.startedAt,
		Nested:     g.node.sim.policy.DeepFirst && g.node.sim.policy.Order && a.call.depth > 0,
	}, g.actions[:0])
	g.apply(a, d)
	g.applyActions(actions)
}

// priority returns a call's priority in the queue. Calls of equal priority run in
// order of arrival.
func (g *coreGate) priority(a *attempt) request.Priority {
	if !g.node.sim.policy.Order {
		return 0
	}
	return g.node.sim.priority(a.call.root, g.node.service)
}

// apply executes an admission decision on a call.
func (g *coreGate) apply(a *attempt, d admission.Decision) {
	switch d.Verdict {
	case admission.Admit:
		g.node.admit(a)
	case admission.Refuse:
		g.node.refuse(a, result{code: d.Reason, retryAfter: d.RetryAfter})
	}
}

// applyActions executes decisions on queued calls and schedules the next tick.
func (g *coreGate) applyActions(actions []admission.Action) {
	// Applying an action may reenter the gate, which must not reuse this slice.
	g.actions = nil
	for _, x := range actions {
		if a := g.node.inFlight[uint64(x.Ticket)]; a != nil {
			g.apply(a, x.Decision)
		}
	}
	g.actions = actions[:0]
	g.scheduleTick()
}

func (g *coreGate) scheduleTick() {
	next := g.core.Next()
	if next == math.MaxInt64 || g.tickEvent != nil && g.tickAt <= next {
		return
	}
	g.tickEvent.cancel()
	g.tickAt = next
	g.tickEvent = g.node.sim.at(next, func() {
		g.tickEvent = nil
		if g.node.gate == g {
			g.applyActions(g.core.Tick(g.node.sim.now, g.actions[:0]))
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
		g.applyActions(g.core.Cancel(g.node.sim.now, admission.Ticket(a.seq), g.actions[:0]))
		return
	}
	g.applyActions(g.core.Finish(g.node.sim.now, admission.Ticket(a.seq), res, a.downstreamWait, g.actions[:0]))
}

func (g *coreGate) cancel(a *attempt) {
	g.applyActions(g.core.Cancel(g.node.sim.now, admission.Ticket(a.seq), g.actions[:0]))
}

func (g *coreGate) feedback(a *attempt) calleeFeedback {
	x := calleeFeedback{inFlight: g.node.target.load(), limit: g.node.target.slots}
	x.level, x.exempt = g.core.TenantLevel(g.node.sim.tenantIndex(a.call.root.class.Tenant))
	if g.node.sim.policy.ChainLevel {
		x.chainLevel = g.node.chain.Level(g.node.sim.now, workKey(a.call.root), g.priority(a))
	}
	return x
}

// workKey identifies a request's class and tenant to a node's earlyrefusal.Chain.
func workKey(t *rootRequest) earlyrefusal.WorkKey {
	return earlyrefusal.WorkKey{Class: request.Class(t.class.Name), Tenant: request.Tenant(t.class.Tenant)}
}

// tenantIndex returns the index of a tenant, as the admission core expects it.
func (sim *simulation) tenantIndex(name string) uint16 {
	i := slices.Index(sim.tenants, name)
	return uint16(i)
}

// priority returns a request's priority at a service.
func (sim *simulation) priority(t *rootRequest, at *service) request.Priority {
	id := t.id
	if !sim.policy.ChainOrder {
		id[0] ^= byte(at.index + 1) // a different hash order at each hop
	}
	imp := importanceOf(t.class)
	if request.Assured(t.id, sim.cfg.AssuredFraction) {
		imp = request.MaxImportance
	}
	return request.PriorityOf(imp, id)
}

// router calls the routing core for one callee service at one node.
type router struct {
	node            *node
	service         *service
	table           *route.Table
	cfg             route.Config
	knownGeneration int // service.generation at the last update
}

func newRouter(n *node, svc *service) *router {
	r := &router{node: n, service: svc, cfg: n.sim.cfg.Route, knownGeneration: -1}
	r.table = route.NewTable(&r.cfg, route.Locality{Caller: uint64(n.id), Zone: zoneName(n.zone)}, n.sim.rng)
	return r
}

func zoneName(z int) string { return string(rune('a' + z)) }

// update passes the announced targets to the routing table when they have changed.
func (r *router) update() {
	if r.knownGeneration == r.service.generation {
		return
	}
	r.knownGeneration = r.service.generation
	ts := make([]route.Target, 0, len(r.service.members))
	for _, m := range r.service.members {
		ts = append(ts, route.Target{ID: m.id, Incarnation: 1, Zone: zoneName(m.zone), Slots: m.target.slots,
			Conns: m.target.conns, Since: m.target.started})
	}
	r.table.Update(r.node.sim.now, ts, r.node.sim.callerCount(r.service))
}

// callerCount returns the number of nodes that call a service: the nodes of its
// upstream services, or all nodes if client requests enter at this service.
func (sim *simulation) callerCount(svc *service) int {
	above := map[string]bool{}
	for i := range sim.deployment.Classes {
		root := &sim.deployment.Classes[i].Root
		if root.Service == svc.spec.Name {
			return sim.nodeCount
		}
		root.Callers(svc.spec.Name, above)
	}
	n := 0
	for name := range above {
		n += len(sim.service(name).nodes)
	}
	return n
}

func (r *router) pick(c *call, p request.Priority) (*node, int) {
	r.update()
	i, ok := r.table.Pick(r.node.sim.now, p, &c.tried)
	if !ok {
		return nil, 0
	}
	id := r.table.Target(i).ID
	at := slices.IndexFunc(r.service.nodes, func(n *node) bool { return n.id == id })
	return r.service.nodes[at], i
}

func (r *router) onResult(a *attempt, res result) {
	x := route.Result{Kind: resultKind(res), Latency: r.node.sim.now - a.sentAt}
	if res.hasResponse {
		x.Level, x.HasLevel, x.Exempt = res.feedback.level, true, res.feedback.exempt
		x.InFlight, x.Limit = res.feedback.inFlight, res.feedback.limit
	}
	r.table.Done(r.node.sim.now, a.targetIndex, &x)
	a.call.tried.Add(a.targetIndex)
}

// resultKind maps a result to what it says about the target's health. A failure
// caused by a child call says nothing about the target.
func resultKind(r result) route.Kind {
	switch {
	case r.outcome == request.Completed:
		return route.Success
	case r.code == status.CodeConnectionLost && !r.fromDownstream:
		return route.ConnectionFailed
	case r.outcome == request.Refused && r.code == status.CodeDraining:
		return route.Draining
	case r.outcome == request.Refused:
		return route.Shed
	case r.code == status.CodeTargetFailed && !r.fromDownstream, r.code == status.CodeDeadlineExceeded && !r.hasResponse:
		return route.Failure
	}
	return route.Ignored
}
