package replay

import (
	"slices"
	"time"

	"peardrift/bench/replay/workload"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// A target that has just started works coldFactor times slower, less and less
// over coldTime.
const (
	coldTime   = time.Second
	coldFactor = 3
)

// target is the fake of one target instance: slots, a queue that its connections
// bound, cold start, drain, and faults.
type target struct {
	slots, conns int
	real         int // slots that work, slots if all do
	speed        float64
	used         int
	waiting      []*attempt
	started      time.Duration
	cold         bool
	failFast     bool
	lies         bool
}

// load is what the target's load endpoint says.
func (t *target) load() int {
	if t.lies {
		return 0
	}
	return t.used + len(t.waiting)
}

// offer hands an admitted call to the target. It runs, waits for a slot, or is
// shed if no connection is left.
func (n *node) offer(a *attempt) {
	t := &n.target
	switch {
	case t.failFast:
		n.end(a, result{outcome: request.Failed, code: status.CodeTargetFailed})
	case t.used < t.real:
		n.work(a)
	case len(t.waiting) < t.conns-t.slots:
		t.waiting = append(t.waiting, a)
	default:
		n.end(a, result{outcome: request.Refused, code: status.CodeOverloaded})
	}
}

// work gives the call a slot and spends the target's own time on it.
func (n *node) work(a *attempt) {
	n.target.used++
	a.running, a.began = true, n.w.now
	mean := float64(a.call.spec.Work) * n.svc.slow / n.target.speed
	if age := n.w.now - n.target.started; n.target.cold && age < coldTime {
		mean *= 1 + (coldFactor-1)*(1-age.Seconds()/coldTime.Seconds())
	}
	a.timer = n.w.after(workload.Draw(n.w.rng, time.Duration(mean)), func() { n.step(a, 0) })
}

// step makes the calls of one step side by side, then the next step.
func (n *node) step(a *attempt, i int) {
	a.timer = nil
	for ; i < len(a.call.spec.Steps); i++ {
		a.subs = n.subs(a, i)
		if len(a.subs) > 0 {
			break
		}
	}
	if i == len(a.call.spec.Steps) {
		n.end(a, result{outcome: request.Completed})
		return
	}
	n.uses(a)
	left, since := len(a.subs), n.w.now
	done := func(r result) {
		left--
		if left == 0 {
			a.below += n.w.now - since
		}
		a.useful += r.work
		if r.outcome != request.Completed {
			// The target has run, so its caller may not be told "refused".
			n.end(a, result{outcome: request.Failed, code: r.code, retryAfter: r.retryAfter, below: true})
		} else if left == 0 {
			n.step(a, i+1)
		}
	}
	for _, c := range a.subs {
		c.done = done
	}
	for _, c := range a.subs {
		if a.over {
			return
		}
		c.try()
	}
}

// uses tells the chain which services the request calls, each once.
func (n *node) uses(a *attempt) {
	for _, c := range a.subs {
		o := n.outbound(c.spec.Service)
		if a.used&o.svc.bit() == 0 {
			a.used |= o.svc.bit()
			n.chain.RecordCall(n.w.now, workOf(c.tree), o.key(c))
		}
	}
}

// pathBase is above the number of calls in any step.
const pathBase = 64

// subs draws the calls of one step.
func (n *node) subs(a *attempt, at int) []*call {
	var out []*call
	step := a.call.spec.Steps[at]
	path := (a.call.path*pathBase + uint64(at)) * pathBase
	for i := range step {
		for range step[i].Count {
			path++
			if step[i].Chance < 1 && n.w.rng.Float64() >= step[i].Chance {
				continue
			}
			out = append(out, &call{n: n, spec: &step[i].Call, tree: a.call.tree, parent: a, allowance: &a.allowance,
				path: path, repeat: a.again,
				depth: a.call.depth + 1, deadline: n.w.deadline(a.call.deadline)})
		}
	}
	return out
}

// release frees the slot of a call that ran and gives it to the next in line.
func (n *node) release(a *attempt) {
	t := &n.target
	if !a.running {
		t.waiting = slices.DeleteFunc(t.waiting, func(x *attempt) bool { return x == a })
		return
	}
	a.running = false
	t.used--
	if len(t.waiting) > 0 && t.used < t.real {
		next := t.waiting[0]
		t.waiting = slices.Delete(t.waiting, 0, 1)
		n.work(next)
	}
}
