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

// tree is one whole request as peardrift sees it: one try of a client.
type tree struct {
	user     *user
	class    *workload.Class
	id       request.ID
	paths    []uint64 // the calls that were made, by their place in the chain
	extra    int      // attempts beyond one for each of them
	services uint64   // bit set of the services that completed a call for it
}

// again reports whether the attempt that is about to be sent comes on top of an
// earlier one of the same call, made by this or by an earlier execution.
func (t *tree) again(c *call) bool {
	if c.tries > 1 || c.repeat && slices.Contains(t.paths, c.path) {
		return true
	}
	t.paths = append(t.paths, c.path)
	return false
}

// call is one call that a node makes for a request, with all its attempts.
type call struct {
	n         *node
	spec      *workload.Call
	tree      *tree
	parent    *attempt // nil at the entry node
	allowance *retry.RequestAllowance
	depth     int
	deadline  time.Duration
	made      retry.Call
	tries     int
	ran       bool   // an attempt got past a refusal
	path      uint64 // place in the chain
	repeat    bool   // made by an execution that repeats an earlier one
	cur       *attempt
	timer     *event
	tried     route.Tried
	avoid     []*node // refused or failed an earlier attempt
	done      func(result)
	entered   uint64 // key among the entries of its node
	over      bool
}

// attempt is one try of a call at one target, with its state at the callee.
type attempt struct {
	seq   uint64
	call  *call
	out   *outbound // of the caller
	to    *node
	index int // of the target in the caller's table
	grant retry.Grant
	sent  time.Duration
	delay time.Duration
	gone  bool // the caller doesn't wait any more

	allowance retry.RequestAllowance // at the callee
	arrived   time.Duration
	began     time.Duration
	running   bool
	gated     bool // admitted by the gate
	over      bool
	timer     *event
	subs      []*call
	again     bool          // another execution of the call may have come before
	used      uint64        // bit set of the services called
	useful    time.Duration // slot time of completed calls below
	below     time.Duration // for how long it did nothing but wait for calls below
}

// result is an ended attempt or call.
type result struct {
	outcome    request.Outcome
	code       status.Code
	retryAfter time.Duration
	answer     answer // what the callee's node says about itself
	unspent    int
	made       int
	work       time.Duration // slot time that the result is made of
	answered   bool          // an answer came; else the caller gave up
	below      bool          // a call below is the cause
}

// try makes the next attempt, or ends the call.
func (c *call) try() {
	w, o := c.n.w, c.n.outbound(c.spec.Service)
	c.timer = nil
	if c.over {
		return
	}
	if r, ok := o.early(c); !ok {
		w.m.decide(decidedEarly)
		c.finish(r)
		return
	}
	to, index := o.pick(c)
	if to == nil {
		c.finish(result{outcome: c.claim(request.Refused), code: status.CodeNoTarget})
		return
	}
	a := &attempt{call: c, out: o, to: to, index: index, sent: w.now, delay: w.delay(c.n, to)}
	if w.pol.CoreRetry && !o.start(a) {
		c.finish(result{outcome: c.claim(request.Refused), code: status.CodeRetriesExhausted})
		return
	}
	w.seq++
	a.seq = w.seq
	c.tries++
	a.again = c.ran || c.repeat
	c.cur = a
	o.sent(a)
	w.m.sent(c, to.svc)
	w.after(a.delay, func() { to.receive(a) })
	if c.deadline > 0 {
		c.timer = w.at(c.deadline, c.timeout)
	}
}

// timeout gives up at the deadline.
func (c *call) timeout() {
	c.timer = nil
	c.n.w.m.decide(decidedTimeout)
	a := c.cur
	c.drop(a)
	c.ended(a, result{outcome: request.Unknown, code: status.CodeDeadlineExceeded})
}

// drop stops waiting for an attempt; with cancellation its work is stopped too. If
// that is lost, the callee's node ends the work at its deadline by itself.
func (c *call) drop(a *attempt) {
	if a == nil || a.gone {
		return
	}
	a.gone = true
	w := c.n.w
	switch {
	case w.pol.Cancel:
		w.after(a.delay, func() { a.to.cancel(a) })
	case w.pol.Deadlines && c.deadline > 0:
		w.at(c.deadline, func() { a.to.cancel(a) })
	}
}

// cancel ends the call from above: its caller has failed or gone.
func (c *call) cancel() {
	if c.over {
		return
	}
	c.over = true
	c.timer.cancel()
	if a := c.cur; a != nil {
		c.drop(a)
		a.out.ended(a, result{outcome: request.Unknown, code: status.CodeCanceled})
	}
}

// answer receives an attempt's result from the network.
func (c *call) receive(a *attempt, r result) {
	if c.over || a.gone || a != c.cur {
		c.n.w.m.useless += r.work
		return
	}
	c.timer.cancel()
	r.answered = true
	c.ended(a, r)
}

// ended learns from an attempt's end and decides about the next.
func (c *call) ended(a *attempt, r result) {
	w, o := c.n.w, a.out
	c.cur = nil
	c.ran = c.ran || r.outcome != request.Refused
	o.ended(a, r)
	if r.outcome == request.Completed {
		c.finish(r)
		return
	}
	w.m.useless += r.work
	r.work = 0
	c.avoid = append(c.avoid, a.to)
	wait, again := o.again(c, r)
	if !again {
		r.outcome = c.claim(r.outcome)
		c.finish(r)
		return
	}
	w.m.decide(decidedRetry)
	c.timer = w.after(wait, c.try)
}

// claim is what may be said of the call: "refused" only if no attempt ran.
func (c *call) claim(o request.Outcome) request.Outcome {
	if o == request.Refused && c.made.MayHaveRun() {
		return request.Failed
	}
	return o
}

func (c *call) finish(r result) {
	if c.over {
		return
	}
	c.over = true
	c.timer.cancel()
	switch r.outcome {
	case request.Refused:
		c.n.w.m.refused(c)
	case request.Completed:
		c.tree.services |= c.n.w.service(c.spec.Service).bit()
	}
	if c.parent != nil && c.parent.over {
		c.n.w.m.useless += r.work
		return
	}
	c.done(r)
}
