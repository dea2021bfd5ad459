package dataplane

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// runOnTarget sends the request to the own target, and again if the target rejects it and
// another send may complete it.
func (e *Engine) runOnTarget(ctx context.Context, s *inboundCall) (*result, *protocol.Response) {
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	e.cfg.Dialect.CopyRequest(&req.Header, &s.c.Request.Header)
	traceContext{s.trace.id, s.running.span, s.trace.sampled}.set(&req.Header)
	s.body.attach(req)
	resp := protocol.AcquireResponse()
	transport := e.local
	for {
		begun := e.now()
		r := e.sendToTarget(ctx, s, transport, req, resp)
		if !e.sendAgain(ctx, s, r) {
			return r, resp
		}
		// Neither a rejected send nor the wait after it is time in the target: otherwise
		// the gate would treat them as requests that wait inside the target.
		s.running.addBlocked(e.now() - begun)
		resp.Reset()
		transport = e.again
	}
}

// sendToTarget sends the request to the own target once.
func (e *Engine) sendToTarget(ctx context.Context, s *inboundCall, t Transport, req *protocol.Request, resp *protocol.Response) *result {
	left := max(s.running.deadline-e.now(), time.Millisecond)
	wire.SetInt(&req.Header, e.cfg.Dialect.TimeoutHeader(), left.Milliseconds())
	if fault := e.setTargetHeaders(s, req); fault != nil {
		return failureResult(e.now(), fault)
	}
	run := e.beginRun(s)
	res, err := t.Do(ctx, e.self.Target, req, resp)
	if err == nil {
		e.readNotice(req.Header.Peek(e.cfg.Dialect.Instance), resp)
	}
	r := e.classify(s, res.Sent, err, &result{
		outcome: request.Completed,
		stream:  res.Stream,
		length:  res.Length,
		headAt:  e.now(),
	}, resp)
	if res.Sent {
		s.hop.Sends++
		e.resends.sent(s, e.cfg.Retry.RatioAt(s.meta.Depth), r.rejected)
	}
	if err == nil && resp.StatusCode() != http.StatusMisdirectedRequest {
		e.endRun(s, run, resp, r)
	}
	return r
}

// setTargetHeaders sets the headers that tell the target the request's origin and the
// intended instance. It is the last check whether the target accepts calls: a call
// that waited at the gate or for its body while the target announced that it leaves
// must not reach it.
func (e *Engine) setTargetHeaders(s *inboundCall, req *protocol.Request) *status.Error {
	d := &e.cfg.Dialect
	if d.Origin != "" && s.meta.Origin != "" {
		req.Header.Set(d.Origin, s.meta.Origin.Label())
	}
	if s.meta.Organisation != "" {
		req.Header.Set(d.OrganisationHeader(), string(s.meta.Organisation))
	}
	l := e.targetState.Load()
	if l == nil {
		return nil
	}
	if !l.AcceptsCalls {
		return status.Refuse(status.CodeDraining, 0, "the target is leaving")
	}
	if d.Instance != "" {
		req.Header.Set(d.Instance, l.Instance)
	}
	return nil
}

// notExecuted converts an answer in which the target says that it has not run the
// request to a refusal; nil for any other answer.
func (e *Engine) notExecuted(resp *protocol.Response) *status.Error {
	d := &e.cfg.Dialect
	if d.NotExecuted == "" {
		return nil
	}
	if resp.StatusCode() == http.StatusMisdirectedRequest {
		e.onOtherInstance(string(resp.Header.Peek(d.ActualInstance)))
		return status.Refuse(status.CodeNotReady, 0, "another target answers at the target's address")
	}
	if len(resp.Header.Peek(d.NotExecuted)) == 0 {
		return nil
	}
	return status.Refuse(status.CodeTargetShed, retryDelay(), "the target shed the request")
}

// classify converts the target's answer to a result.
func (e *Engine) classify(s *inboundCall, sent bool, err error, r *result, resp *protocol.Response) *result {
	if err != nil && !sent {
		return failureResult(r.headAt, status.Refuse(status.CodeNoTarget, retryDelay(), "the target accepts no connection"))
	}
	if err != nil {
		f := status.From(err)
		f.Outcome = request.Unknown
		return failureResult(r.headAt, f)
	}
	if f := e.notExecuted(resp); f != nil {
		r.discard()
		x := failureResult(r.headAt, f)
		x.targetShed = f.Code == status.CodeTargetShed
		x.rejected = x.targetShed && resp.StatusCode() == http.StatusServiceUnavailable
		return x
	}
	if resp.StatusCode() < firstServerError {
		return r
	}
	// The target ran the request and failed. If a downstream call may have run without
	// a known result, the outcome of the whole request is unknown.
	r.outcome = request.Failed
	if s.running.markFailed() {
		r.outcome = request.Unknown
	} else {
		e.running.recordFailure(s.running)
	}
	// A target that passes on the refusal of a downstream call is not shedding itself.
	r.targetShed = s.running.downstreamFailure() == "" &&
		resp.StatusCode() == http.StatusServiceUnavailable && len(resp.Header.Peek(wire.HeaderRetryAfter)) > 0
	if r.targetShed {
		e.onShed()
	}
	return r
}
