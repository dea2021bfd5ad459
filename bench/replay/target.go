package replay

import (
	"slices"
	"time"

	"peardrift/bench/replay/workload"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// A target that has just started is coldFactor times slower; the slowdown declines
// linearly over coldDuration.
const (
	coldDuration = time.Second
	coldFactor   = 3
)

// target simulates one target instance: slots, a queue bounded by its connections,
// cold start, drain and faults.
type target struct {
	slots, conns  int
	workingSlots  int // slots that work; equals slots without a fault
	speed         float64
	inUse         int
	waiting       []*attempt
	started       time.Duration
	cold          bool
	failFast      bool
	reportsNoLoad bool
}

// load returns what the target's load endpoint reports.
func (t *target) load() int {
	if t.reportsNoLoad {
		return 0
	}
	return t.inUse + len(t.waiting)
}

// submit passes an admitted call to the target. The call runs, waits for a slot, or is
// shed if no connection is left.
func (n *node) submit(a *attempt) {
	t := &n.target
	switch {
	case t.failFast:
		n.finish(a, result{outcome: request.Failed, code: status.CodeTargetFailed})
	case t.inUse < t.workingSlots:
		n.startWork(a)
	case len(t.waiting) < t.conns-t.slots:
		t.waiting = append(t.waiting, a)
	default:
		n.finish(a, result{outcome: request.Refused, code: status.CodeOverloaded})
	}
}

// startWork gives the call a slot and schedules the end of the target's own work.
func (n *node) startWork(a *attempt) {
	n.target.inUse++
	a.running, a.startedAt = true, n.sim.now
	mean := float64(a.call.spec.Work) * n.service.slowdown / n.target.speed
	if age := n.sim.now - n.target.started; n.target.cold && age < coldDuration {
		mean *= 1 + (coldFactor-1)*(1-age.Seconds()/coldDuration.Seconds())
	}
	a.timer = n.sim.after(workload.Draw(n.sim.rng, time.Duration(mean)), func() { n.runStep(a, 0) })
}

// runStep makes the child calls of step i in parallel, then goes to the next step.
func (n *node) runStep(a *attempt, i int) {
	a.timer = nil
	for ; i < len(a.call.spec.Steps); i++ {
		a.children = n.drawCalls(a, i)
		if len(a.children) > 0 {
			break
		}
	}
	if i == len(a.call.spec.Steps) {
		n.finish(a, result{outcome: request.Completed})
		return
	}
	n.recordServices(a)
	left, since := len(a.children), n.sim.now
	done := func(r result) {
		left--
		if left == 0 {
			a.downstreamWait += n.sim.now - since
		}
		a.completedTime += r.slotTime
		if r.outcome != request.Completed {
			// The target has run, so the outcome can't be refused.
			n.finish(a, result{outcome: request.Failed, code: r.code, retryAfter: r.retryAfter, fromDownstream: true})
		} else if left == 0 {
			for _, c := range a.children {
				a.completedCalls |= n.sim.service(c.spec.Service).bit()
			}
			n.runStep(a, i+1)
		}
	}
	for _, c := range a.children {
		c.onDone = done
	}
	for _, c := range a.children {
		if a.finished {
			return
		}
		c.startAttempt()
	}
}

// recordServices records the services that a request calls in the node's
// earlyrefusal.Chain, each once.
func (n *node) recordServices(a *attempt) {
	for _, c := range a.children {
		o := n.outbound(c.spec.Service)
		if a.calledServices&o.service.bit() == 0 {
			a.calledServices |= o.service.bit()
			n.chain.RecordCall(n.sim.now, workKey(c.root), o.key(c))
		}
	}
}

// pathBase is greater than the number of steps of a call and of calls in a step.
const pathBase = 64

// drawCalls draws the child calls of one step.
func (n *node) drawCalls(a *attempt, at int) []*call {
	var out []*call
	step := a.call.spec.Steps[at]
	path := (a.call.path*pathBase + uint64(at)) * pathBase
	for i := range step {
		for range step[i].Count {
			path++
			if step[i].Probability < 1 && n.sim.rng.Float64() >= step[i].Probability {
				continue
			}
			out = append(out, &call{caller: n, spec: &step[i].Call, root: a.call.root, parent: a, allowance: &a.allowance,
				path: path, inRepeat: a.mayRepeat,
				inProgress: a.call.inProgress || a.completedCalls&n.sim.service(step[i].Call.Service).bit() != 0,
				depth:      a.call.depth + 1, deadline: n.sim.childDeadline(a.call.deadline)})
		}
	}
	return out
}

// releaseSlot frees the slot of a call and gives it to the next waiting call. A call
// without a slot is removed from the queue.
func (n *node) releaseSlot(a *attempt) {
	t := &n.target
	if !a.running {
		t.waiting = slices.DeleteFunc(t.waiting, func(x *attempt) bool { return x == a })
		return
	}
	a.running = false
	t.inUse--
	if len(t.waiting) > 0 && t.inUse < t.workingSlots {
		next := t.waiting[0]
		t.waiting = slices.Delete(t.waiting, 0, 1)
		n.startWork(next)
	}
}
