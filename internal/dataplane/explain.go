package dataplane

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/claims"
	"peardrift/internal/core/claim"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// explain corrects the refusal of an at-most-once call: it is reported as "not run"
// only if no earlier call with its key has run; if one has, that call's answer is
// returned. See claims.Runner.Explain.
func (e *Engine) explain(ctx context.Context, out *outboundCall, r *result, resp *protocol.Response) *result {
	if !out.class.AtMostOnce || r.outcome != request.Refused || !isTemporary(r.code) {
		return r
	}
	res := e.claims.Explain(ctx, out.claimRequest(e.epoch.Add(out.deadline)), r.failure())
	if res.Err != nil {
		x := failureResult(e.now(), res.Err)
		x.attempts, x.retry = r.attempts, r.retry
		return x
	}
	earlier, answer := fromClaim(e.now(), res)
	answer.CopyTo(resp)
	protocol.ReleaseResponse(answer)
	earlier.attempts = r.attempts
	return earlier
}

// claimRequest describes the call as the callee's node would claim it.
func (c *outboundCall) claimRequest(deadline time.Time) claims.Request {
	h := &c.req.Header
	return claims.Request{
		Scope:     claim.Scope{Tenant: c.meta.Tenant, Service: c.info.Name, Class: c.class.Name},
		Key:       string(h.Peek(wire.HeaderIdempotencyKey)),
		Method:    string(h.Method()),
		Path:      string(h.RequestURI()),
		Body:      claim.Sum(c.req.BodyBytes()),
		Retention: c.class.KeyRetention,
		Deadline:  deadline,
	}
}

// isTemporary reports whether a refusal code says nothing about the request itself:
// the same request may have been accepted before.
func isTemporary(code status.Code) bool {
	switch code {
	case status.CodeOverloaded, status.CodeOverShare, status.CodeDeadline, status.CodeNoTarget,
		status.CodeDraining, status.CodeNotReady, status.CodeMisdirected, status.CodeConnectFailed,
		status.CodeRetriesExhausted, status.CodeSuspect, status.CodeIsolationBusy, status.CodeCanceled:
		return true
	}
	return false
}
