package dataplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/core/route"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// outboundCall is one call from this node to a service, including all its attempts.
type outboundCall struct {
	info          *configset.ServiceInfo
	class         *configset.Class // of the callee
	meta          wire.Meta
	id            request.ID
	sampled       bool   // the request's spans are recorded
	span          SpanID // of the hop that makes the call
	priority      request.Priority
	knownLevel    request.Level // compared with the priority at the entry
	deadline      time.Duration
	allowance     allowance
	parent        *runningRequest   // request of the own target that makes the call; nil at an entry
	req           *protocol.Request // complete except meta and trace; reused by all attempts
	singleAttempt bool              // the body is a stream, which can be sent only once

	// want, callState and grant are used by call only. They are fields because passing their
	// addresses through an interface would allocate them on each attempt.
	want      route.Call
	callState retry.Call
	grant     retry.Grant
	entry     entryAllowance // of a root request

	organisation *configset.OrganisationInfo // of a root request; nil if none

	index     *configset.Index // that a root request was prepared with
	waits     bool             // the entry queue decides when the request starts
	stated    time.Duration    // time that the caller states to wait; 0: none
	startedAt time.Duration    // when the root request started; if it waited, at the end of that
}

// allowance is the retry allowance that attempts are charged to. An entry's allowance
// serves one call; that of a running request is shared by its concurrent calls.
type allowance interface {
	start(c *retry.Call, below int) (retry.Grant, bool)
	settle(c *retry.Call, g *retry.Grant, a retry.Answer)
	remaining() int
}

// result is the result of an attempt or of a call.
type result struct {
	outcome    request.Outcome
	code       status.Code // empty if the target answered
	detail     string
	answered   bool // a node answered; answer is set
	answer     wire.Answer
	stream     *hertzhttp.Stream
	length     int
	headAt     time.Duration // when the answer's headers had arrived
	target     request.TargetID
	zone       string
	leftZone   bool // because the own one is short of capacity
	attempts   int
	retry      retry.Reason
	retryAfter time.Duration // advised delay before a retry
	targetShed bool          // the own target reported overload
	rejected   bool          // the own target said that it has not run the call, and may get it again
}

// failureResult converts a failure found by this node to a result.
func failureResult(now time.Duration, e *status.Error) *result {
	return &result{outcome: e.Outcome, code: e.Code, detail: e.Detail, retryAfter: e.RetryAfter, headAt: now}
}

// failure returns the result as a typed failure.
func (r *result) failure() *status.Error {
	return &status.Error{Code: r.code, Outcome: r.outcome, Detail: r.detail, RetryAfter: r.retryAfter}
}

// call makes attempts at the service until one is final. On return resp holds the
// answer's headers, and its body unless result.stream does.
func (e *Engine) call(ctx context.Context, c *outboundCall, resp *protocol.Response) *result {
	cl := e.callee(c.info.Name)
	sub := &c.callState
	var tried route.Tried
	var last *result
	for {
		r, ok := e.next(ctx, cl, c, sub, &tried, resp)
		if !ok && last != nil {
			// No further attempt was possible: return the last one's result.
			return finalResult(last, sub)
		}
		if !ok {
			return finalResult(r, sub)
		}
		r.attempts = sub.Attempts()
		input := e.retryInput(c, r, sub, cl)
		d := cl.decide(&input)
		r.retry = d.Reason
		if !d.Retry() || c.singleAttempt && r.code != status.CodeConnectFailed || !sleep(ctx, d.Wait) {
			return finalResult(r, sub)
		}
		r.discard()
		last = r
	}
}

// cause returns why the call failed: the node's own code or, if the target itself
// answered with a failure, the code of the downstream call that failed.
func (r *result) cause() status.Code {
	if r.code == "" && r.outcome != request.Completed {
		return r.answer.DownstreamCode
	}
	return r.code
}

// discard closes an answer that is going to be retried. Its open stream would hold its
// connection and the target's slot until the whole request ends.
func (r *result) discard() {
	if r.stream == nil {
		return
	}
	_ = r.stream.Close()
	r.stream = nil
	r.code, r.detail = status.CodeTargetFailed, "the target failed"
}

// replaceByFailure replaces an answer that can't be read to its end, because the context
// of its call ends. The callee has not failed.
func (r *result) replaceByFailure(ctx context.Context) {
	r.discard()
	r.outcome, r.retry = request.Unknown, retry.Final
	switch hertzhttp.EndReasonOf(ctx) {
	case hertzhttp.DeadlinePassed:
		r.code, r.detail = status.CodeDeadlineExceeded, "deadline exceeded"
	case hertzhttp.CallerLeft:
		r.code, r.detail = status.CodeCanceled, "canceled by the caller"
	default:
		r.code, r.detail = status.CodeCanceled, detailParentEnded
	}
}

// detailParentEnded is the detail of a call that ended with its parent request.
const detailParentEnded = "the request that the call belongs to has ended"

// finalResult corrects the outcome of the last attempt for earlier ones: a request is
// not "refused" if any of its attempts may have run.
func finalResult(r *result, sub *retry.Call) *result {
	if r.outcome == request.Refused && sub.MayHaveRun() {
		r.outcome = request.Unknown
	}
	return r
}

// next makes one attempt; it returns false if the attempt could not start.
func (e *Engine) next(ctx context.Context, cl *callee, c *outboundCall, sub *retry.Call, tried *route.Tried, resp *protocol.Response) (*result, bool) {
	now := e.now()
	if now >= c.deadline {
		return failureResult(now, status.Refuse(status.CodeDeadline, 0, "the deadline has passed")), false
	}
	c.want = route.Call{Priority: c.priority, Class: c.class.Name, Objective: c.class.Objective}
	ch, ok := cl.pick(e.view.Load(), c, tried)
	if !ok {
		return failureResult(now, status.Refuse(status.CodeNoTarget, retryDelay(), "no target of %s accepts the call", c.info.Name)), false
	}
	c.grant, ok = c.allowance.start(sub, cl.downstreamCalls(c.class.Name))
	if !ok {
		r := failureResult(now, status.Refuse(status.CodeRetriesExhausted, retryDelay(), "the request's retry allowance is exhausted"))
		cl.done(ch, &result{code: status.CodeCanceled})
		return r, false
	}
	if c.parent != nil && !c.parent.beginAttempt(e.now()) {
		r := failureResult(now, status.Refuse(status.CodeCanceled, 0, detailParentEnded))
		c.allowance.settle(sub, &c.grant, retry.Answer{Outcome: r.outcome, Unspent: c.grant.Allowance})
		cl.done(ch, r)
		return r, false
	}
	r := e.attempt(ctx, c, ch, &c.grant, sub, resp)
	if c.parent != nil {
		c.parent.endAttempt(e.now(), r)
	}
	c.allowance.settle(sub, &c.grant, retry.Answer{
		Outcome: r.outcome, Unspent: r.answer.Unspent, AttemptsMade: r.answer.AttemptsMade,
		Free: e.cfg.Retry.Free(r.outcome, r.code), Unreached: e.cfg.Retry.Unreached(r.outcome, r.code),
	})
	cl.record(ch, c, r)
	e.levels.learn(c, r)
	if r.stream != nil {
		r.stream.OnClose(func() { cl.done(ch, r) })
	} else {
		cl.done(ch, r)
	}
	return r, true
}

// attempt sends the call to one target's node and reads the answer.
func (e *Engine) attempt(ctx context.Context, c *outboundCall, ch choice, g *retry.Grant, sub *retry.Call, resp *protocol.Response) *result {
	span := newSpan()
	m := c.meta
	m.Allowance, m.Repeat = g.Allowance, g.Repeat
	now := e.now()
	m.Remaining, m.Age = c.deadline-now, now-c.startedAt
	wire.SetMeta(&c.req.Header, &m)
	traceContext{c.id, span, c.sampled}.set(&c.req.Header)
	began := time.Now()
	resp.Reset()
	res, err := e.transportTo(ch.zone).Do(ctx, ch.addr, c.req, resp)
	r := e.readAnswer(res, err, resp, span)
	r.target, r.zone, r.leftZone = ch.id, ch.zone, ch.leaves
	e.observe(&Hop{
		Kind: HopAttempt, ID: c.id, Span: span, Parent: c.span, Start: began, End: time.Now(),
		Service: c.info.Name, Class: c.meta.Class, Tenant: c.meta.Tenant, Target: ch.id, Zone: ch.zone, LeftZone: ch.leaves,
		Attempt: sub.Attempts(), Outcome: r.outcome, Code: r.code, Level: r.answer.Level, Allowance: g.Allowance,
	})
	return r
}

// readAnswer converts what the transport returned to a result.
func (e *Engine) readAnswer(res hertzhttp.Result, err error, resp *protocol.Response, span SpanID) *result {
	now := e.now()
	if err != nil {
		f := status.From(err)
		f.Outcome = request.Unknown
		if !res.Sent {
			f.Outcome = request.Refused
		}
		return failureResult(now, f)
	}
	if !span.matches(resp.Header.Peek(wire.HeaderAttempt)) {
		// The answer belongs to another call or comes from no node. If answers on a
		// connection were off by one, a caller would get another caller's answer, so
		// no part of it may be used.
		if res.Stream != nil {
			_ = res.Stream.Close()
		}
		return failureResult(now, status.New(status.CodeProtocol, "the answer does not belong to this call"))
	}
	a := wire.GetAnswer(&resp.Header)
	return &result{
		outcome:    a.Outcome,
		code:       a.Code,
		detail:     detailOf(a.Code, resp),
		answered:   true,
		answer:     a,
		stream:     res.Stream,
		length:     res.Length,
		headAt:     now,
		retryAfter: a.Pushback,
	}
}

// detailOf returns the detail of the answering node's problem document.
func detailOf(code status.Code, resp *protocol.Response) string {
	if code == "" {
		return ""
	}
	var p problem
	if json.Unmarshal(resp.Body(), &p) != nil {
		return ""
	}
	return p.Detail
}

// retryInput describes an ended attempt to the retry decider.
func (e *Engine) retryInput(c *outboundCall, r *result, sub *retry.Call, cl *callee) retry.Result {
	return retry.Result{
		Outcome:       r.outcome,
		Code:          r.cause(),
		Deadline:      c.deadline,
		Priority:      c.priority,
		Level:         e.levels.level(c),
		Attempts:      sub.Attempts(),
		AllowanceLeft: c.allowance.remaining(),
		CallsBelow:    cl.downstreamCalls(c.class.Name),
		Runs:          sub.NotRefused(),
		MaxRuns:       c.class.Runs,
		MayHaveRun:    sub.MayHaveRun(),
		AtMostOnce:    c.class.AtMostOnce || c.class.Repeat == configset.NeverRepeatable,
		Idempotent:    c.class.Repeat == configset.Repeatable || idempotent(c.req),
	}
}

// idempotent reports whether RFC 9110 (9.2.2) defines the request's method as
// idempotent.
func idempotent(req *protocol.Request) bool {
	switch string(req.Header.Method()) {
	case "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE":
		return true
	}
	return false
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
