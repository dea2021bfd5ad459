package dataplane

import (
	"sync"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/core/route"
	"peardrift/internal/status"
)

// callee is a called service as seen by this node: its targets, retry budget and usual
// cost of calls. Safe for concurrent use.
type callee struct {
	cfg         *Config
	now         func() time.Duration
	mu          sync.Mutex
	gen         uint64
	addrs       map[request.TargetID]string
	table       *route.Table
	budget      retry.ServiceBudget
	decider     *retry.Decider
	costs       map[request.Class]*retry.CallCount
	forget      func(request.TargetID) // called for each target that was removed
	meanLatency time.Duration          // moving average of the latency of completed calls; 0 if unknown
}

// latencyWeight is the divisor that weights a new sample in the moving average.
const latencyWeight = 8

func (e *Engine) callee(name request.Service) *callee {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cl, ok := e.callees[name]; ok {
		return cl
	}
	rng := newRand()
	cl := &callee{
		cfg:     &e.cfg,
		now:     e.now,
		table:   route.NewTable(&e.cfg.Route, e.self.Place, rng),
		budget:  retry.NewServiceBudget(&e.cfg.Retry, e.now()),
		decider: retry.NewDecider(&e.cfg.Retry, rng),
		costs:   make(map[request.Class]*retry.CallCount),
		forget:  e.levels.forget,
	}
	e.callees[name] = cl
	return cl
}

// refresh applies the view's targets if they are newer. Called with mu held.
func (cl *callee) refresh(v *View, name request.Service) {
	if v.Gen <= cl.gen || v.Peers == nil {
		return
	}
	cl.gen = v.Gen
	cl.budget.SetNodes(v.Nodes)
	peers := v.Peers(name)
	ts := make([]route.Target, len(peers))
	before := cl.addrs
	cl.addrs = make(map[request.TargetID]string, len(peers))
	for i, p := range peers {
		ts[i] = p.Target
		cl.addrs[p.ID] = p.Addr
	}
	cl.table.Update(cl.now(), ts, v.Callers(name))
	for id := range before {
		if _, ok := cl.addrs[id]; !ok {
			cl.forget(id)
		}
	}
}

// choice is a target picked for one attempt.
type choice struct {
	idx     int
	id      request.TargetID
	zone    string
	addr    string
	class   request.Class // of the call, at the callee
	started time.Duration
	leaves  bool // for another zone, because the own one is short of capacity
}

// pick chooses a target for the next attempt and counts the attempt as in flight.
func (cl *callee) pick(v *View, c *outboundCall, tried *route.Tried) (choice, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.refresh(v, c.info.Name)
	now := cl.now()
	idx, ok := cl.table.PickFor(now, &c.want, tried)
	if !ok {
		return choice{}, false
	}
	tried.Add(idx)
	cl.table.Started(now, idx)
	t := cl.table.Target(idx)
	return choice{
		idx: idx, id: t.ID, zone: t.Zone, addr: cl.addrs[t.ID], class: c.want.Class, started: now,
		leaves: cl.table.LeftZone(),
	}, true
}

// done records the end of an attempt at its target.
func (cl *callee) done(ch choice, r *result) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := cl.now()
	cl.table.Done(now, ch.idx, &route.Result{
		Kind:     r.kind(),
		Latency:  r.headAt - ch.started,
		Level:    r.answer.Level,
		HasLevel: r.answered,
		Exempt:   r.answer.Exempt,
		InFlight: r.answer.InFlight,
		Limit:    r.answer.Limit,

		ReportedAt: r.headAt,
		Class:      ch.class,
		ClassTime:  r.answer.ClassTime,
	})
}

// record updates the service-wide statistics from an attempt.
func (cl *callee) record(ch choice, c *outboundCall, r *result) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if c.parent == nil {
		cl.budget.Observe(cl.now(), r.outcome, r.code)
	} else {
		cl.budget.ObserveCall(cl.now(), r.outcome, r.code)
	}
	if r.outcome != request.Completed {
		return
	}
	cl.cost(c.class.Name).Observe(&cl.cfg.Retry, r.answer.AttemptsMade)
	took := r.headAt - ch.started
	if cl.meanLatency == 0 {
		cl.meanLatency = took
	}
	cl.meanLatency += (took - cl.meanLatency) / latencyWeight
}

// downstreamCalls returns the usual number of calls that a call of the class causes
// below the callee.
func (cl *callee) downstreamCalls(class request.Class) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.cost(class).Below()
}

func (cl *callee) cost(class request.Class) *retry.CallCount {
	c, ok := cl.costs[class]
	if !ok {
		c = new(retry.CallCount)
		cl.costs[class] = c
	}
	return c
}

// decide decides whether there is another attempt.
func (cl *callee) decide(r *retry.Result) retry.Decision {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	r.ExpectedLatency = cl.meanLatency
	return cl.decider.Decide(cl.now(), r, &cl.budget)
}

// kind classifies the result for the target's health.
func (r *result) kind() route.Kind {
	switch r.code {
	case "":
		switch {
		case r.outcome == request.Completed:
			return route.Success
		case r.answer.DownstreamCode != "":
			// A service below it failed. Counting that against the target would let
			// one overloaded service eject the healthy targets of all its callers,
			// also for requests that don't need it.
			return route.Ignored
		default:
			return route.Failure // the target itself answered with a failure
		}
	case status.CodeCanceled:
		return route.Ignored
	case status.CodeOverloaded, status.CodeOverShare, status.CodeTargetShed:
		return route.Shed
	case status.CodeDraining, status.CodeMisdirected:
		return route.Draining
	case status.CodeConnectFailed, status.CodeConnectionLost:
		if r.answered {
			return route.Failure // the callee's node lost its target; our connection to the node is fine
		}
		return route.ConnectionFailed
	case status.CodeNotReady:
		// Unlike a leave, this ends without a new incarnation of the node, and often
		// soon: a starting node is not ready for a moment.
		return route.ConnectionFailed
	case status.CodeDeadlineExceeded, status.CodeTargetFailed, status.CodeNoTarget,
		status.CodeOutcomeUnknown, status.CodeInternal, status.CodeProtocol:
		return route.Failure
	default:
		return route.Ignored
	}
}
