package replay

import (
	"slices"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
)

// answer is what a callee's node says about itself with the end of a call.
type answer struct {
	level    request.Level
	chain    request.Level
	inFlight int
	limit    int
}

// outbound is what one node knows of one service that it calls.
type outbound struct {
	n        *node
	svc      *service
	inFlight map[*node]int
	brake    retry.Brake
	decider  *retry.Decider
	costs    map[string]*retry.Cost
}

func (n *node) outbound(name string) *outbound {
	if o := n.out[name]; o != nil {
		return o
	}
	o := &outbound{n: n, svc: n.w.service(name), inFlight: map[*node]int{}, costs: map[string]*retry.Cost{}}
	o.brake = retry.NewBrake(&n.w.retryCfg, n.w.now)
	o.decider = retry.NewDecider(&n.w.retryCfg, n.w.rng)
	n.out[name] = o
	return o
}

// early decides by learned levels whether the call is refused before it leaves.
func (o *outbound) early(c *call) (result, bool) { return result{}, true }

// pick chooses a target: the less loaded of two random ones, not one that has
// just refused or failed if there is another.
func (o *outbound) pick(c *call) *node {
	from := o.svc.members
	if len(c.avoid) > 0 {
		rest := slices.DeleteFunc(slices.Clone(from), func(n *node) bool { return slices.Contains(c.avoid, n) })
		if len(rest) > 0 {
			from = rest
		}
	}
	if len(from) == 0 {
		return nil
	}
	a, b := from[o.n.w.rng.IntN(len(from))], from[o.n.w.rng.IntN(len(from))]
	if o.inFlight[b] < o.inFlight[a] {
		return b
	}
	return a
}

func (o *outbound) cost(c *call) *retry.Cost {
	k := o.costs[c.tree.class.Name]
	if k == nil {
		k = &retry.Cost{}
		o.costs[c.tree.class.Name] = k
	}
	return k
}

// start pays for an attempt from the request's allowance.
func (o *outbound) start(a *attempt) bool {
	g, ok := a.call.purse.Start(&a.call.made, o.cost(a.call).Below())
	a.grant = g
	if !ok && !o.n.w.pol.Allowance {
		return true
	}
	return ok
}

func (o *outbound) sent(a *attempt) { o.inFlight[a.to]++ }

// ended learns from the end of an attempt.
func (o *outbound) ended(a *attempt, r result) {
	o.inFlight[a.to]--
	c := a.call
	c.purse.Settle(&c.made, &a.grant, retry.Answer{Outcome: r.outcome, Unspent: r.unspent, Made: r.made})
	if r.outcome == request.Completed {
		o.cost(c).Observe(&o.n.w.retryCfg, r.made)
	}
	o.brake.Observe(o.n.w.now, r.outcome, r.code)
}

// Backoff of the baselines between two tries of a hop.
const (
	hopBackoffMin = 10 * time.Millisecond
	hopBackoff    = 20 * time.Millisecond
)

// again decides whether a call that failed is tried once more.
func (o *outbound) again(c *call, r result) (time.Duration, bool) {
	if o.n.w.pol.CoreRetry {
		return o.decide(c, r)
	}
	if c.tries >= o.n.w.pol.HopTries {
		return 0, false
	}
	if c.tree.class.AtMostOnce && r.outcome != request.Refused {
		return 0, false
	}
	return hopBackoffMin + time.Duration(o.n.w.rng.Int64N(int64(hopBackoff))), true
}

// decide asks the retry core.
func (o *outbound) decide(c *call, r result) (time.Duration, bool) {
	w := o.n.w
	res := retry.Result{
		Outcome: r.outcome, Code: r.code, Deadline: c.deadline, Attempts: c.made.Attempts(),
		Priority: o.priority(c), Left: c.purse.Left(), Below: o.cost(c).Below(),
		MayHaveRun: c.made.MayHaveRun(), AtMostOnce: c.tree.class.AtMostOnce, Idempotent: !c.tree.class.AtMostOnce,
	}
	if !w.pol.Allowance {
		res.Left = retry.MaxAllowance
	}
	brake := &o.brake
	if !w.pol.Brake {
		free := retry.NewBrake(&w.retryCfg, w.now)
		brake = &free
	}
	d := o.decider.Decide(w.now, &res, brake)
	return d.Wait, d.Retry()
}

// priority is the call's place in the order of importance at this service.
func (o *outbound) priority(c *call) request.Priority {
	id := c.tree.id
	if !o.n.w.pol.ChainOrder {
		id[0] ^= byte(o.svc.index + 1) // each hop draws its own order
	}
	return request.PriorityOf(importanceOf(c.tree.class), id)
}

var _ = status.CodeOverloaded
