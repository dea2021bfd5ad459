package dataplane

import (
	"context"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// answer relays a call's result to the caller or the own target.
func (e *Engine) answer(ctx context.Context, to, from *protocol.Response, out *outboundCall, r *result, hop *Hop) {
	e.relay(to, from, out.id, r)
	to.Header.Set(wire.HeaderRequest, out.id.String())
	if r.code == "" {
		to.Header.Set(wire.HeaderOutcome, r.outcome.String())
	}
	if r.stream == nil {
		hop.End = time.Now()
		e.observe(hop)
		return
	}
	r.stream.OnClose(func() {
		if hop.Truncated = truncationOf(ctx, r.stream); hop.Truncated != NotTruncated {
			hop.Outcome = request.Unknown
		}
		hop.End = time.Now()
		e.observe(hop)
	})
}

// relay writes the target's answer, whole or as a stream, or a problem document. A
// stream that breaks closes the connection: the receiver sees a body shorter than its
// length or without its last chunk, never a complete but shorter answer.
func (e *Engine) relay(to, from *protocol.Response, id request.ID, r *result) {
	if r.code != "" {
		if r.stream != nil {
			_ = r.stream.Close()
			r.stream = nil
		}
		e.writeProblem(to, id, r.failure())
		return
	}
	e.cfg.Dialect.CopyAnswer(&to.Header, &from.Header)
	if r.stream != nil {
		to.SetBodyStream(r.stream, r.length)
		return
	}
	to.SetBody(from.Body())
}

// fill completes a hop from a call's result.
func (h *Hop) fill(out *outboundCall, r *result) {
	h.Service = out.info.Name
	h.Class = out.meta.Class
	h.Tenant = out.meta.Tenant
	h.Organisation = out.meta.Organisation
	h.Importance = out.meta.Importance
	h.Target = r.target
	h.Zone, h.LeftZone = r.zone, r.leftZone
	h.Attempt = r.attempts
	h.Outcome = r.outcome
	h.Code = r.code
	h.Retry = r.retry.String()
	if r.code == status.CodeOverLimit || r.code == status.CodeLimitUnchecked || r.detail == detailNotStarted {
		h.Detail = r.detail
	}
	h.Level = r.answer.Level
	h.KnownLevel = out.knownLevel
	h.Allowance = out.allowance.remaining()
}

// hostService returns the service that a Host header names: the part before the port,
// with the given tenant appended if it names none.
func hostService(host string, tenant request.Tenant) request.Service {
	name, _, _ := strings.Cut(host, ":")
	if !strings.Contains(name, ".") {
		name += "." + string(tenant)
	}
	return request.Service(name)
}
