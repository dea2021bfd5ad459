package replay

import (
	"slices"
	"time"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
)

// calleeFeedback is the load state that a callee's node reports with its response.
type calleeFeedback struct {
	level      request.Level   // of the target
	exempt     []request.Level // from it
	chainLevel request.Level   // of its downstream services
	inFlight   int
	limit      int
}

// outbound is a node's state for one service that it calls.
type outbound struct {
	node     *node
	service  *service
	inFlight map[*node]int
	router   *router // nil: pickLessLoaded
	budget   retry.ServiceBudget
	decider  *retry.Decider
	costs    map[string]*retry.CallCount
}

func (n *node) outbound(name string) *outbound {
	if o := n.outbounds[name]; o != nil {
		return o
	}
	o := &outbound{node: n, service: n.sim.service(name), inFlight: map[*node]int{}, costs: map[string]*retry.CallCount{}}
	o.budget = retry.NewServiceBudget(&n.sim.cfg.Retry, n.sim.now)
	o.decider = retry.NewDecider(&n.sim.cfg.Retry, n.sim.rng)
	if n.sim.policy.CorePick {
		o.router = newRouter(n, o.service)
	}
	n.outbounds[name] = o
	return o
}

// checkEarly applies the learned admission levels before a call is sent. It returns
// false and the refusal if the callee would refuse the call.
func (o *outbound) checkEarly(c *call) (result, bool) {
	n := o.node
	if !n.sim.policy.Early || n.sim.policy.EarlyEntry && c.depth > 0 {
		return result{}, true
	}
	v := n.levels.Check(n.sim.now, o.key(c), n.sim.priority(c.root, o.service))
	if !v.Refuse {
		return result{}, true
	}
	return result{outcome: c.reportableOutcome(request.Refused), code: status.CodeOverloaded, retryAfter: v.RetryAfter}, false
}

func (o *outbound) key(c *call) earlyrefusal.Key {
	return earlyrefusal.Key{Service: request.Service(o.service.spec.Name), Class: request.Class(c.root.class.Name),
		Tenant: request.Tenant(c.root.class.Tenant)}
}

// pick selects a target and returns it with its index in the routing table.
func (o *outbound) pick(c *call) (*node, int) {
	if o.router != nil {
		return o.router.pick(c, o.node.sim.priority(c.root, o.service))
	}
	return o.pickLessLoaded(c), 0
}

// pickLessLoaded is the baseline's selection: the less loaded of two random targets. It
// avoids targets that refused or failed this call while there are others.
func (o *outbound) pickLessLoaded(c *call) *node {
	from := o.service.members
	if len(c.avoided) > 0 {
		rest := slices.DeleteFunc(slices.Clone(from), func(n *node) bool { return slices.Contains(c.avoided, n) })
		if len(rest) > 0 {
			from = rest
		}
	}
	if len(from) == 0 {
		return nil
	}
	a, b := from[o.node.sim.rng.IntN(len(from))], from[o.node.sim.rng.IntN(len(from))]
	if o.inFlight[b] < o.inFlight[a] {
		return b
	}
	return a
}

func (o *outbound) cost(c *call) *retry.CallCount {
	k := o.costs[c.root.class.Name]
	if k == nil {
		k = &retry.CallCount{}
		o.costs[c.root.class.Name] = k
	}
	return k
}

// spendAllowance takes an attempt from the request's allowance. It reports false if the
// allowance is exhausted and the policy enforces it.
func (o *outbound) spendAllowance(a *attempt) bool {
	g, ok := a.call.allowance.Start(&a.call.retryState, o.cost(a.call).Below())
	a.grant = g
	if !ok && !o.node.sim.policy.Allowance {
		return true
	}
	return ok
}

func (o *outbound) onSent(a *attempt) {
	o.inFlight[a.callee]++
	if o.router != nil {
		o.router.table.Started(o.node.sim.now, a.targetIndex)
	}
}

// onAttemptEnd updates routing, levels, allowance and budget from a result.
func (o *outbound) onAttemptEnd(a *attempt, r result) {
	o.inFlight[a.callee]--
	if o.router != nil {
		o.router.onResult(a, r)
	}
	c := a.call
	if r.hasResponse {
		o.node.levels.Learn(o.node.sim.now, o.key(c), earlyrefusal.Report{Target: a.callee.id, Own: r.feedback.level, Exempt: r.feedback.exempt, Chain: r.feedback.chainLevel, Slots: r.feedback.limit})
	}
	c.allowance.Settle(&c.retryState, &a.grant, retry.Answer{Outcome: r.outcome, Unspent: r.unspentAllowance, AttemptsMade: r.callsMade,
		Free: o.node.sim.cfg.Retry.Free(r.outcome, r.code), Unreached: o.node.sim.cfg.Retry.Unreached(r.outcome, r.code)})
	if r.outcome == request.Completed {
		o.cost(c).Observe(&o.node.sim.cfg.Retry, r.callsMade)
	}
	o.budget.Observe(o.node.sim.now, r.outcome, r.code)
}

// Backoff of the baselines between two attempts of a hop: a fixed part and a random one.
const (
	hopBackoffMin    = 10 * time.Millisecond
	hopBackoffJitter = 20 * time.Millisecond
)

// shouldRetry decides whether to retry a call that failed, and after which backoff.
func (o *outbound) shouldRetry(c *call, r result) (time.Duration, bool) {
	if o.node.sim.policy.CoreRetry {
		return o.decideRetry(c, r)
	}
	if c.attempts >= o.node.sim.policy.HopAttempts {
		return 0, false
	}
	if c.root.class.AtMostOnce && r.outcome != request.Refused {
		return 0, false
	}
	return hopBackoffMin + time.Duration(o.node.sim.rng.Int64N(int64(hopBackoffJitter))), true
}

// decideRetry lets the retry core decide.
func (o *outbound) decideRetry(c *call, r result) (time.Duration, bool) {
	sim := o.node.sim
	p := sim.priority(c.root, o.service)
	res := retry.Result{
		Outcome: r.outcome, Code: r.code, Deadline: c.deadline, Attempts: c.retryState.Attempts(),
		Priority: p, Level: o.node.levels.Level(sim.now, o.key(c), p), AllowanceLeft: c.allowance.Left(), CallsBelow: o.cost(c).Below(),
		MayHaveRun: c.retryState.MayHaveRun(), AtMostOnce: c.root.class.AtMostOnce, Idempotent: !c.root.class.AtMostOnce,
	}
	if !sim.policy.Allowance {
		res.AllowanceLeft = retry.MaxAllowance
	}
	budget := &o.budget
	if !sim.policy.ServiceBudget {
		free := retry.NewServiceBudget(&sim.cfg.Retry, sim.now)
		budget = &free
	}
	d := o.decider.Decide(sim.now, &res, budget)
	return d.Wait, d.Retry()
}
