package dataplane

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/claim"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// ServeCaller handles the listener for callers: it creates a request and calls its
// service. Only the request itself is trusted.
func (e *Engine) ServeCaller(ctx context.Context, c *app.RequestContext) {
	hop := &Hop{Kind: HopEntry, ID: newID(), Span: newSpan(), Start: time.Now()}
	e.serveOutbound(ctx, nil, c, hop, func(v *View) (*outboundCall, *status.Error) {
		return e.newRequest(v, c, hop.ID, true)
	})
}

// ServeTarget handles the listener for the own target, whose calls belong to the
// running request that traceparent identifies.
func (e *Engine) ServeTarget(ctx context.Context, c *app.RequestContext) {
	hop := &Hop{Kind: HopEgress, Span: newSpan(), Start: time.Now()}
	tc, ok := traceOf(&c.Request.Header)
	var x *runningRequest
	if ok {
		x = e.running.parent(tc.id, tc.span)
	}
	if x == nil && ok && e.running.hasFailed(tc.id, "") {
		e.refuseLate(c, hop)
		return
	}
	if x == nil {
		// The target calls on its own behalf or dropped the trace: start a new request
		// of the target's tenant.
		hop.ID = newID()
		e.serveOutbound(ctx, nil, c, hop, func(v *View) (*outboundCall, *status.Error) {
			return e.ownRequest(v, c, hop.ID)
		})
		return
	}
	hop.ID, hop.Parent = x.id, x.span
	e.serveOutbound(ctx, x.ctx, c, hop, func(v *View) (*outboundCall, *status.Error) {
		return e.subCall(v, c, x)
	})
}

// ServeOutbound handles a listener that callers and the own target share. A target
// names its calls after the request that it runs. Only the exact name of a request
// that runs here makes a call part of it, so that an external caller can't join a
// chain and gain its class.
func (e *Engine) ServeOutbound(ctx context.Context, c *app.RequestContext) {
	x, name := e.parentOf(c)
	if x == nil && name != "" && e.running.hasFailed(request.ID{}, name) {
		e.refuseLate(c, &Hop{Kind: HopEgress, Span: newSpan(), Start: time.Now(), ID: newID()})
		return
	}
	if x == nil {
		e.ServeCaller(ctx, c)
		return
	}
	hop := &Hop{Kind: HopEgress, Span: newSpan(), Start: time.Now(), ID: x.id, Parent: x.span}
	e.serveOutbound(ctx, x.ctx, c, hop, func(v *View) (*outboundCall, *status.Error) {
		return e.subCall(v, c, x)
	})
}

// parentOf returns the running request that a call is named after, nil if none, and
// that request's name; empty if the call is not named after another.
func (e *Engine) parentOf(c *app.RequestContext) (x *runningRequest, parent string) {
	d := &e.cfg.Dialect
	name := string(c.Request.Header.Peek(d.Request))
	at := strings.LastIndex(name, d.ChainSeparator)
	if d.ChainSeparator == "" || at < 0 {
		return nil, ""
	}
	return e.running.named(name[:at]), name[:at]
}

// refuseLate refuses a call of a request that has failed in the meantime: the call
// would run although the caller was told that the request has ended.
func (e *Engine) refuseLate(c *app.RequestContext, hop *Hop) {
	e.refuseCall(c, hop, status.Refuse(status.CodeCanceled, 0, detailParentEnded))
}

// serveOutbound runs one call for a caller or the own target and answers it. If parent
// is not nil, the call also ends with it, until its answer is passed on; parent is the
// context of the request whose target makes the call.
func (e *Engine) serveOutbound(ctx, parent context.Context, c *app.RequestContext, hop *Hop, prepare func(*View) (*outboundCall, *status.Error)) {
	e.calls.Add(1)
	defer e.calls.Add(-1)
	hop.Name = string(c.Request.Header.Peek(e.cfg.Dialect.Request))
	hop.Version = e.view.Load().Index.Version(e.self.Tenant)
	out, fault := e.admitCall(prepare)
	if out == nil {
		e.refuseCall(c, hop, fault)
		return
	}
	defer protocol.ReleaseRequest(out.req)
	out.span = hop.Span
	ctx, cancel := hertzhttp.WithDeadline(ctx, e.epoch.Add(out.deadline))
	var link *parentLink
	if parent != nil {
		link = new(parentLink)
		cancel = e.cancelWithParent(parent, link, cancel)
	}
	resp := protocol.AcquireResponse()
	if out.waits && fault == nil {
		fault = e.awaitStart(ctx, out, hop, len(c.Request.Header.RawHeaders()))
		if fault != nil && fault.Code == status.CodeDraining {
			c.SetConnectionClose()
		}
	}
	r := e.execute(ctx, out, fault, resp)
	if r.stream != nil && (!link.detach() || ctx.Err() != nil) {
		r.replaceByFailure(ctx)
	}
	e.resends.ended(out, r)
	e.recordFinished(out, r)
	if out.parent != nil {
		out.parent.callEnded(out.key(), r)
	}
	hop.fill(out, r)
	e.answer(ctx, &c.Response, resp, out, r, hop)
	if r.stream == nil {
		cancel()
		protocol.ReleaseResponse(resp)
	} else {
		r.stream.OnClose(cancel)
	}
}

// execute makes the call, unless it is refused already, and checks a refusal against
// the known results of earlier calls.
func (e *Engine) execute(ctx context.Context, out *outboundCall, fault *status.Error, resp *protocol.Response) *result {
	if fault != nil {
		return e.explain(ctx, out, failureResult(e.now(), fault), resp)
	}
	return e.explain(ctx, out, e.callLimited(ctx, out, resp), resp)
}

// refuseCall answers a call that could not be read as a request. If the call carries
// an idempotency key, an earlier call may have run; without a class no claim can be
// looked up, so the outcome is unknown.
func (e *Engine) refuseCall(c *app.RequestContext, hop *Hop, fault *status.Error) {
	if len(c.Request.Header.Peek(wire.HeaderIdempotencyKey)) > 0 && isTemporary(fault.Code) {
		f := *fault
		f.Outcome = request.Unknown
		f.Detail += "; this call did not run, but an earlier call with its key may have"
		fault = &f
	}
	hop.Outcome, hop.Code = fault.Outcome, fault.Code
	hop.End = time.Now()
	e.observe(hop)
	e.writeProblem(&c.Response, hop.ID, fault)
	c.Response.Header.Set(wire.HeaderRequest, hop.ID.String())
}

// admitCall limits the calls in flight: each costs a goroutine and buffers, and
// without a limit a flood of calls would exhaust the instance's memory instead of
// being refused.
func (e *Engine) admitCall(prepare func(*View) (*outboundCall, *status.Error)) (*outboundCall, *status.Error) {
	v := e.view.Load()
	if !v.Ready {
		return nil, status.Refuse(status.CodeNotReady, retryDelay(), "the node does not know its configuration yet")
	}
	if e.calls.Load() > int64(e.cfg.MaxCalls) {
		return nil, status.Refuse(status.CodeOverloaded, retryDelay(), "the node has %d calls in flight", e.cfg.MaxCalls)
	}
	return prepare(v)
}

// newRequest starts a root request; an external one needs an API key if the tenant has
// any.
func (e *Engine) newRequest(v *View, c *app.RequestContext, id request.ID, external bool) (*outboundCall, *status.Error) {
	if e.refusing.Load() {
		c.SetConnectionClose()
		return nil, status.Refuse(status.CodeDraining, 0, "the node is stopping; use another node")
	}
	info, class, fault := e.lookup(v, c)
	if fault != nil {
		return nil, fault
	}
	var caller *configset.OrganisationInfo
	if external {
		if caller, fault = e.authenticate(v, c, info, class); fault != nil {
			return nil, fault
		}
	}
	key := string(c.Request.Header.Peek(wire.HeaderIdempotencyKey))
	if class.AtMostOnce {
		if err := claim.CheckKey(key); err != nil {
			return nil, err
		}
	}
	stated, now := e.statedTimeout(c), e.now()
	out := &outboundCall{
		info:      info,
		class:     class,
		id:        id,
		sampled:   e.cfg.Sampled(id),
		priority:  request.PriorityOf(class.Importance, id),
		deadline:  now + limitTimeout(stated, class.Deadline),
		stated:    stated,
		startedAt: now,
		index:     v.Index,
		entry:     entryAllowance{allowance: retry.NewRequestAllowance(class.Attempts, false)},
		meta: wire.Meta{
			Tenant:     info.Tenant,
			Class:      class.Name,
			Importance: class.Importance,
			RootKey:    key,
			Origin:     info.Name,
		},
	}
	out.allowance = &out.entry
	out.setOrganisation(caller)
	e.applyAssured(out)
	e.setRoute(v, out)
	if fault := e.fillRequest(out, c); fault != nil {
		return nil, fault
	}
	stripKey(v, out)
	if fault := e.resends.checkStart(out); fault != nil {
		return out, fault
	}
	if out.waits = e.mayWait(out); out.waits {
		return out, nil
	}
	return out, e.levels.check(out)
}

// applyAssured gives a fraction of all requests the highest importance, for their
// whole chains.
func (e *Engine) applyAssured(out *outboundCall) {
	if request.Assured(out.id, e.cfg.AssuredFraction) {
		out.meta.Importance = request.MaxImportance
		out.priority = request.PriorityOf(out.meta.Importance, out.id)
	}
}

// ownRequest starts a request that the own target makes on its own behalf.
func (e *Engine) ownRequest(v *View, c *app.RequestContext, id request.ID) (*outboundCall, *status.Error) {
	out, fault := e.newRequest(v, c, id, false)
	if out == nil {
		return nil, fault
	}
	if !out.info.AllowsTenant(e.self.Tenant) {
		protocol.ReleaseRequest(out.req)
		return nil, status.Refuse(status.CodeForbidden, 0, "%s accepts no requests of tenant %s", out.info.Name, e.self.Tenant)
	}
	out.meta.Tenant = e.self.Tenant
	return out, fault
}

// subCall continues the request x with a call that its target makes.
func (e *Engine) subCall(v *View, c *app.RequestContext, x *runningRequest) (*outboundCall, *status.Error) {
	info, class, fault := e.lookup(v, c)
	if fault != nil {
		return nil, fault
	}
	if !info.AllowsTenant(x.meta.Tenant) {
		return nil, status.Refuse(status.CodeForbidden, 0, "%s accepts no requests of tenant %s", info.Name, x.meta.Tenant)
	}
	if x.meta.Depth >= wire.MaxDepth {
		return nil, status.Refuse(status.CodeMalformed, 0, "the chain is deeper than %d calls", wire.MaxDepth)
	}
	out := &outboundCall{
		info:      info,
		class:     class,
		id:        x.id,
		sampled:   x.sampled,
		priority:  x.priority,
		deadline:  min(x.deadline, e.now()+limitTimeout(e.statedTimeout(c), class.Deadline)),
		allowance: x,
		parent:    x,
		startedAt: x.startedAt,
		meta:      x.meta,
	}
	first, inProgress := x.callBegins(out.key())
	if first {
		e.levels.recordCall(x.work(), out)
	}
	out.meta.InProgress = inProgress
	out.meta.Depth++
	out.meta.Origin = e.self.Service
	e.setRoute(v, out)
	if fault := e.fillRequest(out, c); fault != nil {
		return nil, fault
	}
	stripKey(v, out)
	return out, nil
}

// lookup finds the service that a route or Host names, and the request's class. A name
// without a tenant belongs to the own tenant.
func (e *Engine) lookup(v *View, c *app.RequestContext) (*configset.ServiceInfo, *configset.Class, *status.Error) {
	if v.Index.HasRoutes() {
		return e.lookupRoute(v, c)
	}
	name := hostService(string(c.Request.Header.Host()), e.self.Tenant)
	info, ok := v.Index.Service(name)
	if !ok {
		return nil, nil, status.Refuse(status.CodeUnknownService, 0, "unknown service %q", name)
	}
	class, ok := info.Match(string(c.Request.Header.Method()), string(c.Path()))
	if !ok {
		return nil, nil, status.Refuse(status.CodeUnknownClass, 0, "%s declares no class for %s %s", name, c.Method(), c.Path())
	}
	return info, class, nil
}

// lookupRoute finds a request's route and the service that is next in its weighted
// round robin. It matches the path as sent: the codec's normalized path may select
// another route than the path that the target receives.
func (e *Engine) lookupRoute(v *View, c *app.RequestContext) (*configset.ServiceInfo, *configset.Class, *status.Error) {
	host, _, _ := strings.Cut(string(c.Request.Header.Host()), ":")
	path, _, _ := strings.Cut(string(c.Request.Header.RequestURI()), "?")
	r, ok := v.Index.Route(strings.ToLower(host), path)
	if !ok {
		return nil, nil, status.Refuse(status.CodeUnknownClass, 0, "no route matches %s %s", host, path)
	}
	part := e.routeTurns.next(r)
	if part == nil {
		return nil, nil, status.Refuse(status.CodeNoTarget, retryDelay(), "route %s has no part with a positive weight", r.Class.Name)
	}
	return part.Service, &r.Class, nil
}

// setRoute sets the route fields of a call's meta. The origin is then the service
// beside which the request began, whoever sent it.
func (e *Engine) setRoute(v *View, out *outboundCall) {
	if !v.Index.HasRoutes() {
		return
	}
	out.meta.Service, out.meta.Route = out.info.Name, out.class.Name
	out.meta.Origin = e.self.Service
}

// fillRequest builds the message that all attempts send.
func (e *Engine) fillRequest(out *outboundCall, c *app.RequestContext) *status.Error {
	b, fault := e.readBody(c, out.class.MaxBody, out.deadline)
	if fault != nil {
		return fault
	}
	if out.class.AtMostOnce && b.stream != nil {
		return status.Refuse(status.CodeTooLarge, 0, "the body of an at-most-once request exceeds %d bytes", e.cfg.BufferBytes)
	}
	out.req = protocol.AcquireRequest()
	e.cfg.Dialect.CopyRequest(&out.req.Header, &c.Request.Header)
	if out.meta.Service == "" {
		out.req.Header.SetHost(string(out.info.Name))
	}
	b.attach(out.req)
	out.singleAttempt = b.stream != nil
	if out.class.AtMostOnce && len(out.req.Header.Peek(wire.HeaderIdempotencyKey)) == 0 {
		out.req.Header.Set(wire.HeaderIdempotencyKey, deriveKey(out, b.whole))
	}
	return nil
}

// deriveKey returns the idempotency key of a nested at-most-once call whose target
// passes on traceparent only. If the root request has no key, its identity is used.
func deriveKey(out *outboundCall, body []byte) string {
	root := out.meta.RootKey
	if root == "" {
		root = out.id.String()
	}
	return claim.DeriveKey(root, claim.Call{
		Service: out.info.Name,
		Class:   out.class.Name,
		Method:  string(out.req.Header.Method()),
		Path:    string(out.req.Header.RequestURI()),
		Body:    claim.Sum(body),
	})
}

// limitTimeout returns how long the caller waits: the class's limit, or less if the
// caller says so.
func limitTimeout(stated, limit time.Duration) time.Duration {
	if stated <= 0 || stated > limit {
		return limit
	}
	return stated
}

// maxStatedTimeout is the longest time that a caller can state.
const maxStatedTimeout = 24 * time.Hour

// statedTimeout returns how long the caller says that it waits; 0 if it does not.
func (e *Engine) statedTimeout(c *app.RequestContext) time.Duration {
	timeout := c.Request.Header.Peek(e.cfg.Dialect.TimeoutHeader())
	if len(timeout) == 0 {
		return 0 // most callers send none; skip the cost of a parse error
	}
	ms, err := strconv.ParseInt(string(timeout), 10, 64)
	if err != nil || ms <= 0 || ms > maxStatedTimeout.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// entryAllowance is the allowance of a request at its entry. Only call uses it, but a
// streamed answer may settle later.
type entryAllowance struct {
	mu        sync.Mutex
	allowance retry.RequestAllowance
}

func (p *entryAllowance) start(c *retry.Call, below int) (retry.Grant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allowance.Start(c, below)
}

func (p *entryAllowance) settle(c *retry.Call, g *retry.Grant, a retry.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allowance.Settle(c, g, a)
}

func (p *entryAllowance) remaining() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allowance.Left()
}
