package replay

import (
	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
)

// node is a peardrift node with its target.
type node struct {
	sim        *simulation
	index      int
	id         request.TargetID
	zone       int
	service    *service
	gate       gate
	target     target
	outbounds  map[string]*outbound
	levels     *earlyrefusal.Table
	chain      *earlyrefusal.Chain
	inFlight   map[uint64]*attempt // received calls that have not ended
	entryCalls map[uint64]*call    // root requests that entered at this node
	draining   bool
	crashed    bool
}

// gate is the admission control of a node. For each arrive it calls node.admit or
// node.refuse, immediately or later.
type gate interface {
	arrive(a *attempt)
	// finish ends an admitted call.
	finish(a *attempt, r result)
	// cancel removes a call that is not admitted yet.
	cancel(a *attempt)
	// feedback returns the load state that the node reports with the response.
	feedback(a *attempt) calleeFeedback
}

// receive handles a call that arrives from the network.
func (n *node) receive(a *attempt) {
	a.arrivedAt = n.sim.now
	a.allowance = retry.NewRequestAllowance(a.grant.Allowance, a.grant.Repeat)
	n.inFlight[a.seq] = a
	if n.crashed {
		n.finish(a, result{outcome: request.Refused, code: status.CodeConnectionLost})
		return
	}
	if n.draining {
		n.refuse(a, result{code: status.CodeDraining})
		return
	}
	n.gate.arrive(a)
}

// admit passes an admitted call to the target.
func (n *node) admit(a *attempt) {
	a.admitted = true
	n.sim.recorder.countDecision(decisionAdmit)
	n.chain.RecordRequest(n.sim.now, workKey(a.call.root))
	n.submit(a)
}

// refuse ends a call that never reached the target.
func (n *node) refuse(a *attempt, r result) {
	r.outcome = request.Refused
	n.sim.recorder.countDecision(decisionRefuse)
	n.finish(a, r)
}

// cancel stops a call whose caller no longer waits.
func (n *node) cancel(a *attempt) {
	if a.finished || n.inFlight[a.seq] != a {
		return
	}
	if !a.admitted {
		n.gate.cancel(a)
	}
	n.finish(a, result{outcome: request.Unknown, code: status.CodeCanceled})
}

// finish ends a call at the callee and sends the response.
func (n *node) finish(a *attempt, r result) {
	if a.finished {
		return
	}
	a.finished = true
	delete(n.inFlight, a.seq)
	a.timer.cancel()
	r.slotTime = a.completedTime
	if a.running {
		r.slotTime += n.sim.now - a.startedAt
	}
	if a.admitted {
		n.releaseSlot(a)
		n.gate.finish(a, r)
	}
	if n.sim.policy.Cancel {
		for _, c := range a.children {
			c.cancel()
		}
	}
	r.callsMade = a.allowance.AttemptsMade()
	r.unspentAllowance = a.allowance.Close()
	r.feedback = n.gate.feedback(a)
	if a.abandoned {
		n.sim.recorder.wastedTime += r.slotTime
		return
	}
	n.sim.after(a.delay, func() { a.call.onResponse(a, r) })
}
