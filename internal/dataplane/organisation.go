package dataplane

import (
	"context"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// Limiter enforces the rate limits of organisations. Safe for concurrent use.
type Limiter interface {
	// Take requests a permit for one request. It may wait for other nodes, for a time
	// that is short compared with a request's.
	Take(ctx context.Context, o *configset.OrganisationInfo) *status.Error
	// Now returns the current time on the clock that Return uses.
	Now() time.Duration
	// Return returns the permit taken at the given time, for a request that did not
	// run.
	Return(taken time.Duration, o *configset.OrganisationInfo)
}

// SetLimiter sets the rate limiter of organisations; without it there are no limits.
// Call it before traffic begins.
func (e *Engine) SetLimiter(l Limiter) { e.limiter = l }

// authenticate finds the organisation of an external request; nil if none is required.
// On an anonymous route an unknown key is treated as no key.
func (e *Engine) authenticate(v *View, c *app.RequestContext, info *configset.ServiceInfo, class *configset.Class) (*configset.OrganisationInfo, *status.Error) {
	if !v.Index.RequiresKey(info.Tenant) {
		return nil, nil
	}
	key := e.cfg.Dialect.Key(c.Request.Header.Peek(wire.HeaderAuthorization))
	if o, ok := v.Index.OrganisationByKey(info.Tenant, key); ok {
		return o, nil
	}
	if class.Anonymous {
		return nil, nil
	}
	if len(key) == 0 && e.isNamedAsCall(c) {
		return nil, status.Refuse(status.CodeNotReady, retryDelay(), "the node does not know the request that the call belongs to")
	}
	if e.configStale.Load() {
		// The key may be newer than this node's configuration, and 401 is final for a
		// caller.
		return nil, status.Refuse(status.CodeKeyUnchecked, retryDelay(), "the node can't tell whether its API keys are up to date")
	}
	if len(key) == 0 {
		return nil, status.Refuse(status.CodeKeyUnknown, 0, "the request carries no API key")
	}
	return nil, status.Refuse(status.CodeKeyUnknown, 0, "no organisation holds the request's API key")
}

// isNamedAsCall reports whether a request has the name of a call made by a target.
// After a restart the node gets such calls of requests that it doesn't know.
func (e *Engine) isNamedAsCall(c *app.RequestContext) bool {
	d := &e.cfg.Dialect
	return d.ChainSeparator != "" && strings.Contains(string(c.Request.Header.Peek(d.Request)), d.ChainSeparator)
}

// setOrganisation sets the organisation of a root request.
func (out *outboundCall) setOrganisation(o *configset.OrganisationInfo) {
	if o == nil {
		return
	}
	out.organisation = o
	out.meta.Organisation = o.Name
	out.meta.Importance = o.Importance(out.meta.Importance)
	out.priority = request.PriorityOf(out.meta.Importance, out.id)
}

// stripKey removes the caller's API key from the request that goes to a target.
func stripKey(v *View, out *outboundCall) {
	if v.Index.RequiresKey(out.info.Tenant) {
		out.req.Header.Del(wire.HeaderAuthorization)
	}
}

// callLimited makes a call within its organisation's rate limit.
func (e *Engine) callLimited(ctx context.Context, out *outboundCall, resp *protocol.Response) *result {
	o := out.organisation
	if o == nil || o.Rate <= 0 || e.limiter == nil || out.parent != nil {
		return e.call(ctx, out, resp)
	}
	if fault := e.limiter.Take(ctx, o); fault != nil {
		return failureResult(e.now(), fault)
	}
	taken := e.limiter.Now()
	r := e.call(ctx, out, resp)
	if r.outcome == request.Refused {
		e.limiter.Return(taken, o)
	}
	return r
}
