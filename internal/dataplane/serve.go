package dataplane

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/claims"
	"peardrift/internal/core/admission"
	"peardrift/internal/core/claim"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// Claims runs requests of at-most-once classes; *claims.Runner implements it.
type Claims interface {
	Do(ctx context.Context, req claims.Request, run func(context.Context) claims.Result) claims.Result
	Explain(ctx context.Context, req claims.Request, refusal *status.Error) claims.Result
}

// inboundCall is one call from another node while this node processes it.
type inboundCall struct {
	c              *app.RequestContext
	class          *configset.Class
	meta           wire.Meta
	trace          traceContext
	body           body
	running        *runningRequest // nil until the call is accepted; then &runningStorage
	tenant         uint16
	ticket         admission.Ticket
	hop            Hop
	tracked        nodeCall
	runningStorage runningRequest
	callerKey      retry.CallerKey // 0: the caller sent no name
}

// ServeNode handles the listener for other nodes: a call passes the gate and runs on
// the own target.
func (e *Engine) ServeNode(ctx context.Context, c *app.RequestContext) {
	if e.nodeCalls.answerProbe(c) {
		return
	}
	e.calls.Add(1)
	defer e.calls.Add(-1)
	s := &inboundCall{c: c, hop: Hop{Kind: HopServe, Span: newSpan(), Start: time.Now(), Target: e.self.ID, Zone: e.self.Place.Zone}}
	defer e.untrack(s)
	if fault := e.accept(s); fault != nil {
		e.refuse(s, fault)
		return
	}
	if fault := e.callerRetries.begin(s); fault != nil {
		e.refuse(s, fault)
		return
	}
	ctx, cancel := hertzhttp.WithDeadline(ctx, e.epoch.Add(s.running.deadline))
	s.running.ctx = ctx
	if fault := e.enterGate(ctx, s); fault != nil {
		cancel()
		e.callerRetries.end(s, fault.Outcome)
		e.refuse(s, fault)
		return
	}
	e.levels.recordServed(s.running.work())
	e.running.add(s.running)
	if s.class.AtMostOnce {
		e.runAtMostOnce(ctx, s)
		cancel()
		return
	}
	r, resp := e.run(ctx, s)
	e.finish(s, r, resp, cancel)
	if resp != nil && r.stream == nil {
		protocol.ReleaseResponse(resp) // the answer is a copy
	}
}

// accept reads and validates a call of another node.
func (e *Engine) accept(s *inboundCall) *status.Error {
	h := &s.c.Request.Header
	tc, ok := traceOf(h)
	if !ok {
		return status.Refuse(status.CodeProtocol, 0, "the call between nodes has no valid traceparent")
	}
	s.trace, s.hop.ID, s.hop.Parent = tc, tc.id, tc.span
	e.nodeCalls.add(tc.span, &s.tracked)
	meta, err := wire.GetMeta(h)
	if err != nil {
		return status.Refuse(status.CodeProtocol, 0, "%s", status.From(err).Detail)
	}
	s.meta = meta
	v := e.view.Load()
	if meta.Service != "" {
		return e.acceptRouted(s, v)
	}
	if !v.Ready || !e.acceptsCalls(v) {
		return status.Refuse(status.CodeNotReady, retryDelay(), "the target is not ready")
	}
	info, class, fault := e.lookup(v, s.c)
	if fault != nil {
		return fault
	}
	if info.Name != e.self.Service {
		// The caller has an outdated view: if another service's target has taken over
		// the address, it must not run the call.
		return status.Refuse(status.CodeMisdirected, 0, "the node has no target of %s", info.Name)
	}
	if !info.AllowsTenant(meta.Tenant) {
		return status.Refuse(status.CodeForbidden, 0, "%s accepts no requests of tenant %s", info.Name, meta.Tenant)
	}
	s.class = class
	return e.prepare(s)
}

// acceptRouted validates a call whose route the calling node chose. The two nodes may
// have different configuration versions in force; this node must not refuse a call
// that is valid under the newest version that any node has.
func (e *Engine) acceptRouted(s *inboundCall, v *View) *status.Error {
	if s.meta.Service != e.self.Service {
		return status.Refuse(status.CodeMisdirected, 0, "the node has no target of %s", s.meta.Service)
	}
	if v.Leaving {
		return status.Refuse(status.CodeDraining, 0, "the node is stopping; use another node")
	}
	if !e.acceptsCalls(v) {
		return status.Refuse(status.CodeNotReady, retryDelay(), "the target is not ready")
	}
	s.class = &configset.Class{Name: s.meta.Route, MaxBody: e.cfg.MaxBody, Repeat: configset.Repeatable}
	return e.prepare(s)
}

func (e *Engine) prepare(s *inboundCall) *status.Error {
	arrived := e.now()
	deadline := arrived + s.meta.Remaining
	var fault *status.Error
	s.tracked.beginIO()
	s.body, fault = e.readBody(s.c, s.class.MaxBody, deadline)
	s.tracked.endIO()
	if fault != nil {
		return fault
	}
	if s.body.stream != nil {
		s.tracked.armAbandon(s.c.GetConn(), e.cfg.AbandonAfter)
		s.body.stream = s.tracked.requestReader(s.body.stream)
	}
	// A streamed body can't be compared with that of an earlier call with the same
	// key.
	if s.class.AtMostOnce && s.body.stream != nil {
		return status.Refuse(status.CodeTooLarge, 0, "the body of an at-most-once request exceeds %d bytes", e.cfg.BufferBytes)
	}
	s.tenant = e.tenants.get(s.meta.Tenant)
	s.runningStorage = runningRequest{
		id:        s.trace.id,
		name:      string(s.c.Request.Header.Peek(e.cfg.Dialect.Request)),
		sampled:   s.trace.sampled,
		class:     s.class.Name,
		span:      s.hop.Span,
		meta:      s.meta,
		priority:  request.PriorityOf(s.meta.Importance, s.trace.id),
		deadline:  deadline,
		startedAt: arrived - s.meta.Age,
		allowance: retry.NewRequestAllowance(s.meta.Allowance, s.meta.Repeat),
	}
	s.hop.Name = s.runningStorage.name
	s.running = &s.runningStorage
	return nil
}

// arrival describes the call to the gate.
func (s *inboundCall) arrival() admission.Arrival {
	return admission.Arrival{
		Priority:   s.running.priority,
		Tenant:     s.tenant,
		Deadline:   s.running.deadline,
		Nested:     s.meta.Depth > 0,
		InProgress: s.meta.InProgress,
		Age:        s.meta.Age,
	}
}

// enterGate passes the call through the gate.
func (e *Engine) enterGate(ctx context.Context, s *inboundCall) *status.Error {
	t, fault := e.gate.acquire(ctx, s.arrival())
	s.ticket = t
	s.hop.Queued = time.Since(s.hop.Start)
	return fault
}

// runAtMostOnce runs a request of an at-most-once class under a claim.
func (e *Engine) runAtMostOnce(ctx context.Context, s *inboundCall) {
	var r *result
	var resp *protocol.Response
	var runTime time.Duration
	begun := e.now()
	res := e.claims.Do(ctx, e.claimRequest(s), func(ctx context.Context) claims.Result {
		s.running.ctx = ctx
		at := e.now()
		defer func() { runTime = e.now() - at }()
		r, resp = e.run(ctx, s)
		return claimResult(r, resp)
	})
	// Time spent on the platform is not the target's: otherwise the gate would treat a
	// slow platform as requests that wait inside the target.
	s.running.addBlocked(e.now() - begun - runTime)
	if r == nil || res.Origin != claim.FromRun {
		r, resp = fromClaim(e.now(), res)
	}
	e.finish(s, r, resp, func() {})
}

func (e *Engine) claimRequest(s *inboundCall) claims.Request {
	h := &s.c.Request.Header
	return claims.Request{
		Scope:     claim.Scope{Tenant: s.meta.Tenant, Service: e.self.Service, Class: s.class.Name},
		Key:       string(h.Peek(wire.HeaderIdempotencyKey)),
		Method:    string(h.Method()),
		Path:      string(h.RequestURI()),
		Body:      claim.Sum(s.body.whole),
		Retention: s.class.KeyRetention,
		Deadline:  e.epoch.Add(s.running.deadline),
	}
}

// claimResult converts a run's result to what its claim stores. It first reads a
// streamed answer to its end, since only then the answer is known to be complete.
func claimResult(r *result, resp *protocol.Response) claims.Result {
	if r.stream != nil {
		b, err := readAll(r.stream)
		_ = r.stream.Close()
		r.stream = nil
		if err != nil {
			r.outcome, r.code, r.detail = request.Unknown, status.CodeConnectionLost, "the target's answer ended early"
			return claims.Failure(r.failure())
		}
		resp.SetBody(b)
	}
	if r.code != "" {
		return claims.Failure(r.failure())
	}
	res := claims.Answered(resp.StatusCode(), string(resp.Header.ContentType()), resp.Body())
	res.Outcome.Kind = r.outcome
	return res
}

// fromClaim converts a claim's record of an earlier call to a result.
func fromClaim(now time.Duration, res claims.Result) (*result, *protocol.Response) {
	if res.Err != nil {
		return failureResult(now, res.Err), nil
	}
	resp := protocol.AcquireResponse()
	resp.SetStatusCode(res.Outcome.Status)
	resp.Header.SetContentType(res.Outcome.ContentType)
	resp.SetBodyString(res.Outcome.Body)
	return &result{outcome: res.Outcome.Kind, headAt: now}, resp
}

// run runs a request on the own target, unless it is known to crash targets.
func (e *Engine) run(ctx context.Context, s *inboundCall) (*result, *protocol.Response) {
	t, fault := e.suspects.start(s.fingerprint(e.self.Service))
	if fault != nil {
		return failureResult(e.now(), fault), nil
	}
	r, resp := e.runOnTarget(ctx, s)
	if r.stream == nil {
		e.suspects.end(t, r.code == "", r.code == status.CodeConnectionLost)
		return r, resp
	}
	r.stream.OnClose(func() { e.suspects.end(t, r.stream.Complete(), r.stream.Failed()) })
	return r, resp
}

// OnShed sets the function that is called when the own target sheds a call. Call it
// before traffic begins; f is called from traffic goroutines and must not block.
func (e *Engine) OnShed(f func()) { e.onShed = f }

// firstServerError is the lowest HTTP status of a target's own failure.
const firstServerError = 500

// finish answers the other node and releases the slot when the target's answer has
// ended.
func (e *Engine) finish(s *inboundCall, r *result, resp *protocol.Response, cancel func()) {
	e.relay(&s.c.Response, orEmpty(resp), s.trace.id, r)
	if r.stream != nil {
		r.stream.OnClose(func() { e.release(s, r, cancel) })
	} else {
		e.release(s, r, cancel)
	}
	e.setAnswerMeta(s, r)
}

// release frees the slot, and records and reports the end of the call.
func (e *Engine) release(s *inboundCall, r *result, cancel func()) {
	if r.stream != nil {
		s.hop.Truncated = truncationOf(s.running.ctx, r.stream)
	}
	if s.hop.Truncated != NotTruncated {
		r.outcome = request.Unknown
	}
	e.running.remove(s.running)
	e.gate.release(s.ticket, gateResult(r), s.running.blockedTime())
	e.callerRetries.end(s, r.outcome)
	cancel()
	e.observeServe(s, r.outcome, r.code)
}

func orEmpty(resp *protocol.Response) *protocol.Response {
	if resp == nil {
		return &protocol.Response{}
	}
	return resp
}

// gateResult converts a run's result for the gate.
func gateResult(r *result) admission.Result {
	switch {
	case r.outcome == request.Completed:
		return admission.OK
	case r.targetShed:
		return admission.Overloaded
	case r.code == status.CodeCanceled, r.code == status.CodeDeadlineExceeded:
		return admission.Canceled
	default:
		return admission.Failed
	}
}

// refuse answers a call that was not sent to the target.
func (e *Engine) refuse(s *inboundCall, fault *status.Error) {
	e.writeProblem(&s.c.Response, s.trace.id, fault)
	e.setAnswerMeta(s, &result{outcome: fault.Outcome, code: fault.Code, retryAfter: fault.RetryAfter})
	e.observeServe(s, fault.Outcome, fault.Code)
}

// setAnswerMeta sets the headers that tell the calling node about this node and the
// call.
func (e *Engine) setAnswerMeta(s *inboundCall, r *result) {
	a := wire.Answer{Outcome: r.outcome, Code: r.code, Pushback: r.retryAfter}
	st := e.gate.stats()
	a.InFlight, a.Limit = st.Running+st.Queued, st.Limit
	a.Level, a.Exempt = e.gate.level(s.tenant)
	if s.class != nil && e.cfg.Dialect.Load != "" {
		a.ClassTime = e.speed.classTime(s.class.Name)
	}
	if s.running != nil && r.code == "" && r.outcome != request.Completed {
		a.DownstreamCode = s.running.downstreamFailure()
	}
	if s.running != nil {
		a.ChainLevel = e.levels.chainLevel(s.running)
	}
	// While the answer streams, the target may still make calls: its allowance stays
	// open, and the caller counts the remainder as spent.
	if s.running != nil && r.stream == nil {
		a.Unspent, a.AttemptsMade = s.running.close()
	}
	h := &s.c.Response.Header
	wire.SetAnswer(h, &a)
	var tag [spanHex]byte
	hex.Encode(tag[:], s.trace.span[:])
	h.SetBytesV(wire.HeaderAttempt, tag[:])
}

// observeServe completes and reports the hop.
func (e *Engine) observeServe(s *inboundCall, o request.Outcome, code status.Code) {
	s.hop.Service, s.hop.Class, s.hop.Tenant = e.self.Service, s.meta.Class, s.meta.Tenant
	s.hop.Organisation = s.meta.Organisation
	s.hop.Importance = s.meta.Importance
	s.hop.Version = e.view.Load().Index.Version(e.self.Tenant)
	s.hop.Level, _ = e.gate.level(s.tenant)
	s.hop.Outcome, s.hop.Code = o, code
	s.hop.End = time.Now()
	e.observe(&s.hop)
}
