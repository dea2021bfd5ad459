package replay

import (
	"slices"
	"time"

	"peardrift/bench/replay/workload"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/core/route"
	"peardrift/internal/status"
)

// rootRequest is one attempt of a client, with all the calls made for it.
type rootRequest struct {
	user              *user
	class             *workload.Class
	id                request.ID
	startedAt         time.Duration // when its entry node received it
	callPaths         []uint64      // calls made so far, by position in the call tree
	extraAttempts     int           // attempts beyond the first of each call
	completedServices uint64        // bit set of services that completed a call
}

// addAttempt records an attempt that is about to be sent. It reports whether an
// earlier attempt of the same call was sent, by this execution or an earlier one.
func (t *rootRequest) addAttempt(c *call) bool {
	if c.attempts > 1 || c.inRepeat && slices.Contains(t.callPaths, c.path) {
		return true
	}
	t.callPaths = append(t.callPaths, c.path)
	return false
}

// call is one call that a node makes for a request, across all its attempts.
type call struct {
	caller     *node
	spec       *workload.Call
	root       *rootRequest
	parent     *attempt // nil for the call of an entry node
	allowance  *retry.RequestAllowance
	depth      int
	deadline   time.Duration
	retryState retry.Call
	attempts   int
	anyRan     bool   // some attempt ended other than refused
	path       uint64 // position in the call tree
	inProgress bool   // the service has completed an earlier call like this one, or like one above it
	inRepeat   bool   // the calling execution may repeat an earlier one
	current    *attempt
	timer      *event
	tried      route.Tried
	avoided    []*node // nodes that refused or failed an earlier attempt
	onDone     func(result)
	entryID    uint64 // key in the caller's entryCalls
	finished   bool
}

// attempt is one attempt of a call at one target, with its state at the callee.
type attempt struct {
	seq         uint64
	call        *call
	outbound    *outbound // state of the caller for the service
	callee      *node
	targetIndex int // of the target in the caller's routing table
	grant       retry.Grant
	sentAt      time.Duration
	delay       time.Duration
	abandoned   bool // the caller no longer waits

	allowance      retry.RequestAllowance // at the callee
	arrivedAt      time.Duration
	startedAt      time.Duration
	running        bool
	admitted       bool // by the callee's gate
	finished       bool
	timer          *event
	children       []*call
	mayRepeat      bool          // the call may have executed before
	calledServices uint64        // bit set of services
	completedCalls uint64        // bit set of services that have completed a call
	completedTime  time.Duration // slot time of completed child calls
	downstreamWait time.Duration // time spent only waiting for child calls
}

// result is the outcome of an attempt or a call.
type result struct {
	outcome          request.Outcome
	code             status.Code
	retryAfter       time.Duration
	feedback         calleeFeedback // load state that the callee reports
	unspentAllowance int
	callsMade        int
	slotTime         time.Duration // slot time that produced the result
	hasResponse      bool          // false if the caller gave up waiting
	fromDownstream   bool          // caused by a child call
}

// startAttempt sends the next attempt, or ends the call.
func (c *call) startAttempt() {
	sim, o := c.caller.sim, c.caller.outbound(c.spec.Service)
	c.timer = nil
	if c.finished {
		return
	}
	if r, ok := o.checkEarly(c); !ok {
		sim.recorder.countDecision(decisionEarly)
		c.finish(r)
		return
	}
	to, index := o.pick(c)
	if to == nil {
		c.finish(result{outcome: c.reportableOutcome(request.Refused), code: status.CodeNoTarget})
		return
	}
	a := &attempt{call: c, outbound: o, callee: to, targetIndex: index, sentAt: sim.now, delay: sim.networkDelay(c.caller, to)}
	if sim.policy.CoreRetry && !o.spendAllowance(a) {
		c.finish(result{outcome: c.reportableOutcome(request.Refused), code: status.CodeRetriesExhausted})
		return
	}
	sim.seq++
	a.seq = sim.seq
	c.attempts++
	a.mayRepeat = c.anyRan || c.inRepeat
	c.current = a
	o.onSent(a)
	sim.recorder.recordAttempt(c, to.service)
	sim.after(a.delay, func() { to.receive(a) })
	if c.deadline > 0 {
		c.timer = sim.at(c.deadline, c.onDeadline)
	}
}

// onDeadline abandons the current attempt when the deadline expires.
func (c *call) onDeadline() {
	c.timer = nil
	c.caller.sim.recorder.countDecision(decisionTimeout)
	a := c.current
	c.abandon(a)
	c.onAttemptEnd(a, result{outcome: request.Unknown, code: status.CodeDeadlineExceeded})
}

// abandon stops waiting for an attempt. With cancellation, the callee stops the work
// when the signal arrives; without it, the callee stops at a propagated deadline.
func (c *call) abandon(a *attempt) {
	if a == nil || a.abandoned {
		return
	}
	a.abandoned = true
	sim := c.caller.sim
	switch {
	case sim.policy.Cancel:
		sim.after(a.delay, func() { a.callee.cancel(a) })
	case sim.policy.Deadlines && c.deadline > 0:
		sim.at(c.deadline, func() { a.callee.cancel(a) })
	}
}

// cancel ends the call because its caller has failed or disconnected.
func (c *call) cancel() {
	if c.finished {
		return
	}
	c.finished = true
	c.timer.cancel()
	if a := c.current; a != nil {
		c.abandon(a)
		a.outbound.onAttemptEnd(a, result{outcome: request.Unknown, code: status.CodeCanceled})
	}
}

// onResponse handles the response to an attempt.
func (c *call) onResponse(a *attempt, r result) {
	if c.finished || a.abandoned || a != c.current {
		c.caller.sim.recorder.wastedTime += r.slotTime
		return
	}
	c.timer.cancel()
	r.hasResponse = true
	c.onAttemptEnd(a, r)
}

// onAttemptEnd records the result of an attempt and decides whether to retry.
func (c *call) onAttemptEnd(a *attempt, r result) {
	sim, o := c.caller.sim, a.outbound
	c.current = nil
	c.anyRan = c.anyRan || r.outcome != request.Refused
	o.onAttemptEnd(a, r)
	if r.outcome == request.Completed {
		c.finish(r)
		return
	}
	sim.recorder.wastedTime += r.slotTime
	r.slotTime = 0
	c.avoided = append(c.avoided, a.callee)
	wait, retry := o.shouldRetry(c, r)
	if !retry {
		r.outcome = c.reportableOutcome(r.outcome)
		c.finish(r)
		return
	}
	sim.recorder.countDecision(decisionRetry)
	c.timer = sim.after(wait, c.startAttempt)
}

// reportableOutcome is the outcome to report to the caller. A call may be reported
// as refused only if none of its attempts may have run.
func (c *call) reportableOutcome(o request.Outcome) request.Outcome {
	if o == request.Refused && c.retryState.MayHaveRun() {
		return request.Failed
	}
	return o
}

func (c *call) finish(r result) {
	if c.finished {
		return
	}
	c.finished = true
	c.timer.cancel()
	switch r.outcome {
	case request.Refused:
		c.caller.sim.recorder.recordRefusal(c)
	case request.Completed:
		c.root.completedServices |= c.caller.sim.service(c.spec.Service).bit()
	}
	if c.parent != nil && c.parent.finished {
		c.caller.sim.recorder.wastedTime += r.slotTime
		return
	}
	c.onDone(r)
}
