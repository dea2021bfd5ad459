package replay

import (
	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
)

// node is a node and its target.
type node struct {
	w        *world
	index    int
	id       request.TargetID
	zone     int
	svc      *service
	gate     gate
	target   target
	out      map[string]*outbound
	levels   *earlyrefusal.Table
	chain    *earlyrefusal.Chain
	live     map[uint64]*attempt // received and not ended
	entries  map[uint64]*call    // whole requests that entered here
	draining bool
	gone     bool
}

// gate is the admission control of a node. It answers arrive by node.begin or
// node.refuse, at once or later.
type gate interface {
	arrive(a *attempt)
	// finish ends an admitted call.
	finish(a *attempt, r result)
	// cancel ends a call that is not admitted yet.
	cancel(a *attempt)
	// answer is what the node tells a caller with the call's end.
	answer(a *attempt) answer
}

// receive takes a call from the network.
func (n *node) receive(a *attempt) {
	a.arrived = n.w.now
	a.allowance = retry.NewRequestAllowance(a.grant.Allowance, a.grant.Repeat)
	n.live[a.seq] = a
	if n.gone {
		n.end(a, result{outcome: request.Refused, code: status.CodeConnectionLost})
		return
	}
	if n.draining {
		n.refuse(a, result{code: status.CodeDraining})
		return
	}
	n.gate.arrive(a)
}

// begin hands an admitted call to the target.
func (n *node) begin(a *attempt) {
	a.gated = true
	n.w.m.decide(decidedAdmit)
	n.chain.RecordRequest(n.w.now, workOf(a.call.tree))
	n.offer(a)
}

// refuse ends a call that never reached the target.
func (n *node) refuse(a *attempt, r result) {
	r.outcome = request.Refused
	n.w.m.decide(decidedRefuse)
	n.end(a, r)
}

// cancel stops a call whose caller has gone.
func (n *node) cancel(a *attempt) {
	if a.over || n.live[a.seq] != a {
		return
	}
	if !a.gated {
		n.gate.cancel(a)
	}
	n.end(a, result{outcome: request.Unknown, code: status.CodeCanceled})
}

// end ends a call at the callee and answers it.
func (n *node) end(a *attempt, r result) {
	if a.over {
		return
	}
	a.over = true
	delete(n.live, a.seq)
	a.timer.cancel()
	r.work = a.useful
	if a.running {
		r.work += n.w.now - a.began
	}
	if a.gated {
		n.release(a)
		n.gate.finish(a, r)
	}
	if n.w.pol.Cancel {
		for _, c := range a.subs {
			c.cancel()
		}
	}
	r.made = a.allowance.AttemptsMade()
	r.unspent = a.allowance.Close()
	r.answer = n.gate.answer(a)
	if a.gone {
		n.w.m.useless += r.work
		return
	}
	n.w.after(a.delay, func() { a.call.receive(a, r) })
}
