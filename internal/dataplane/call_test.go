package dataplane

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/admission"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/core/route"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// fakeNode is a callee's node that answers with the given handler.
func fakeNode(t *testing.T, answer hertzhttp.Handler) *hertzhttp.Server {
	s, err := hertzhttp.Listen("127.0.0.1:0", hertzhttp.DefaultServerConfig(), func(ctx context.Context, c *app.RequestContext) {
		tc, _ := traceOf(&c.Request.Header)
		c.Response.Header.Set(wire.HeaderAttempt, tc.span.String())
		answer(ctx, c)
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s
}

// newCaller returns an engine that calls service "svc.t" on the given nodes.
func newCaller(t *testing.T, nodes ...*hertzhttp.Server) (*Engine, *configset.ServiceInfo) {
	class := configset.Class{Name: "read", Path: "/", Importance: 10, Deadline: time.Minute, Attempts: 3, MaxBody: 1 << 20}
	idx := configset.NewIndex(configset.Set{Tenant: "t", Version: 1, Share: 1, Services: []configset.Service{
		{Name: "svc", Slots: 10, Connections: 100, Classes: []configset.Class{class}},
	}})
	cl := hertzhttp.NewClient(hertzhttp.DefaultClientConfig())
	e := New(DefaultConfig(), Self{Name: "caller", Service: "other.t", Tenant: "t"}, cl, cl, nil, nil)
	t.Cleanup(func() {
		e.Close()
		cl.Close()
	})
	peers := make([]Peer, len(nodes))
	for i, n := range nodes {
		peers[i] = Peer{Addr: n.Addr(), Target: route.Target{ID: request.TargetID(i + 1), Slots: 10, Conns: 100}}
	}
	e.Publish(&View{
		Gen: 1, Index: idx, Ready: true, TargetUp: true,
		Peers:   func(request.Service) []Peer { return peers },
		Callers: func(request.Service) int { return 1 },
	})
	info, _ := idx.Service("svc.t")
	return e, info
}

func outgoingTo(e *Engine, info *configset.ServiceInfo) *outboundCall {
	req := &protocol.Request{}
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI("/")
	req.Header.SetHost("svc.t")
	return &outboundCall{
		info: info, class: &info.Classes[0], id: newID(), req: req,
		deadline: e.now() + time.Minute, allowance: &entryAllowance{allowance: retry.NewRequestAllowance(3, false)},
	}
}

func failing(c *app.RequestContext, body io.Reader) {
	wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Failed})
	c.SetStatusCode(http.StatusInternalServerError)
	c.SetBodyStream(body, -1)
}

// Guards against leaving the half-read stream of a failed answer open when the call is
// retried elsewhere: it would hold a slot of the target without anyone reading it.
func TestRetriedAnswerStreamIsClosed(t *testing.T) {
	is := is.New(t)
	var calls, failed = make(chan struct{}, 10), make(chan struct{}, 1)
	failed <- struct{}{}
	answer := func(_ context.Context, c *app.RequestContext) {
		calls <- struct{}{}
		select {
		case <-failed: // first call only
			failing(c, io.LimitReader(zeros{}, 64<<20))
		default:
			wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
			c.SetBodyString("ok")
		}
	}
	nodes := []*hertzhttp.Server{fakeNode(t, answer), fakeNode(t, answer)}
	e, info := newCaller(t, nodes...)
	var resp protocol.Response
	r := e.call(context.Background(), outgoingTo(e, info), &resp)
	is.Equal(r.outcome, request.Completed)
	is.Equal(string(resp.Body()), "ok")
	is.Equal(len(calls), 2)
	cl := e.callee("svc.t")
	for i := range nodes {
		cl.mu.Lock()
		is.Equal(cl.table.InFlight(i), 0) // neither target has a call in flight
		cl.mu.Unlock()
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against matching an answer to a call only because it came next: if a node's
// answers on a connection are out of step, one caller would get another caller's
// answer.
func TestAnswerOfAnotherCallIsRejected(t *testing.T) {
	is := is.New(t)
	s := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		c.Response.Header.Set(wire.HeaderAttempt, newSpan().String())
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
		c.SetBodyString("somebody else's")
	})
	e, info := newCaller(t, s)
	var resp protocol.Response
	r := e.call(context.Background(), outgoingTo(e, info), &resp)
	is.Equal(r.outcome, request.Unknown)
	is.True(r.code != "") // the caller gets a problem, not the body
}

// Guards against reporting the last attempt's outcome as the request's: if the first
// attempt's connection breaks after it was sent and the second attempt is refused, the
// request may have run.
func TestRefusalAfterUnknownAttemptIsUnknown(t *testing.T) {
	is := is.New(t)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	answer := func(_ context.Context, c *app.RequestContext) {
		select {
		case <-first:
			_ = c.GetConn().Close()
		default:
			wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Refused, Code: "draining"})
			c.SetStatusCode(http.StatusServiceUnavailable)
			c.SetBodyString(`{"detail":"` + strings.Repeat("x", 10) + `"}`)
		}
	}
	e, info := newCaller(t, fakeNode(t, answer), fakeNode(t, answer))
	var resp protocol.Response
	r := e.call(context.Background(), outgoingTo(e, info), &resp)
	is.Equal(r.outcome, request.Unknown)
	is.Equal(r.attempts, 2)
}

// Guards against calls to a target that is gone and whose address another service's
// node has taken over: that node refuses at once, always looks idle, and would attract
// calls until the membership notices, seconds later.
func TestMisdirectingTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	var correct, misdirected atomic.Int32
	other := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		misdirected.Add(1)
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Refused, Code: status.CodeMisdirected})
		c.SetStatusCode(http.StatusServiceUnavailable)
	})
	right := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		correct.Add(1)
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
	})
	e, info := newCaller(t, other, right)
	for range 200 {
		out := outgoingTo(e, info)
		resp := protocol.AcquireResponse()
		is.Equal(e.call(context.Background(), out, resp).outcome, request.Completed)
		e.ProbeTargets(func(f func()) error { f(); return nil })
	}
	is.Equal(correct.Load(), int32(200))
	is.True(misdirected.Load() <= 1)
}

// Guards against a call that runs for a request that was reported to its caller as
// failed.
func TestNoAttemptStartsForFailedRequest(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	node := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		calls.Add(1)
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
	})
	e, info := newCaller(t, node)
	out := outgoingTo(e, info)
	x := &runningRequest{id: out.id, allowance: retry.NewRequestAllowance(3, false)}
	out.parent, out.allowance = x, x
	is.True(!x.markFailed())
	r := e.call(context.Background(), out, protocol.AcquireResponse())
	is.Equal(r.outcome, request.Refused)
	is.Equal(r.code, status.CodeCanceled)
	is.Equal(calls.Load(), int32(0))
	is.Equal(x.remaining(), 3)
}

// Guards against reporting a definite failure while a downstream attempt is in flight.
func TestFailureWithOpenAttemptIsUnknown(t *testing.T) {
	is := is.New(t)
	x := &runningRequest{}
	is.True(x.beginAttempt(0))
	is.True(x.markFailed())
	is.True(!x.beginAttempt(0))
	x.endAttempt(0, &result{outcome: request.Completed})
	is.True(!x.markFailed())
}

func TestRegistryRemembersLastFailures(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	is.True(!r.hasFailed(request.ID{}, ""))
	first := &runningRequest{id: newID(), name: "one"}
	r.recordFailure(first)
	is.True(r.hasFailed(first.id, ""))
	is.True(r.hasFailed(request.ID{}, "one"))
	is.True(!r.hasFailed(newID(), "two"))
	for range maxFailed {
		r.recordFailure(&runningRequest{id: newID()})
	}
	is.True(!r.hasFailed(first.id, "one"))
	is.True(!r.hasFailed(request.ID{}, ""))
}

// Guards against a retryable refusal by a node that doesn't serve the called service.
func TestCallForAnotherServiceIsMisdirected(t *testing.T) {
	is := is.New(t)
	e, _ := newCaller(t)
	s := &inboundCall{meta: wire.Meta{Service: "else.t"}}
	fault := e.acceptRouted(s, e.view.Load())
	is.True(fault != nil)
	is.Equal(fault.Code, status.CodeMisdirected)
	is.Equal(fault.Outcome, request.Refused)
}

// Guards against keeping the gate's state when a target restarts under the same name.
func TestRestartUnderSameNameResetsGate(t *testing.T) {
	is := is.New(t)
	e, _ := newCaller(t)
	admitted := func() bool {
		_, fault := e.gate.acquire(context.Background(), admission.Arrival{Deadline: e.now() + time.Minute})
		return fault == nil
	}
	e.SetTargetState(TargetState{Instance: "a", StartedAt: 1, Slots: 10, AcceptsCalls: true})
	is.True(admitted())
	e.gate.drain()
	e.SetTargetState(TargetState{Instance: "a", StartedAt: 1, Slots: 10, AcceptsCalls: true})
	is.True(!admitted())
	e.SetTargetState(TargetState{Instance: "a", StartedAt: 2, Slots: 10, AcceptsCalls: true})
	is.True(admitted())
}

// Guards against gates that don't learn how old a request is and whether they have served it
// before: they would take the calls of requests let in a moment ago for missing demand.
func TestCallsCarryAgeAndProgressOfTheirRequest(t *testing.T) {
	const age = 300 * time.Millisecond
	is := is.New(t)
	var sent []wire.Meta
	node := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		m, err := wire.GetMeta(&c.Request.Header)
		is.NoErr(err)
		sent = append(sent, m)
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
	})
	e, info := newCaller(t, node)
	x := &runningRequest{id: newID(), meta: wire.Meta{Tenant: "t"}, deadline: e.now() + time.Minute, startedAt: e.now() - age}
	for range 2 {
		c := ut.CreateUtRequestContext("GET", "/", nil, ut.Header{Key: "Host", Value: string(info.Name)})
		c.Request.Header.SetRawHeaders([]byte("\r\n"))
		out, fault := e.subCall(e.view.Load(), c, x)
		if fault != nil {
			t.Fatal(fault)
		}
		r := e.call(context.Background(), out, protocol.AcquireResponse())
		is.Equal(r.outcome, request.Completed)
		x.callEnded(out.key(), r)
	}
	is.Equal(len(sent), 2)
	is.True(!sent[0].InProgress)
	is.True(sent[1].InProgress)
	for _, m := range sent {
		is.True(m.Age >= age)
		s := &inboundCall{c: ut.CreateUtRequestContext("GET", "/", nil), class: &info.Classes[0], meta: m}
		s.c.Request.Header.SetRawHeaders([]byte("\r\n"))
		e.nodeCalls.add(newSpan(), &s.tracked)
		if fault := e.prepare(s); fault != nil {
			t.Fatal(fault)
		}
		is.True(e.now()-s.running.startedAt >= m.Age)
		is.Equal(s.arrival().Age, m.Age)
		is.Equal(s.arrival().InProgress, m.InProgress)
	}
}

// Guards against a call that is not sent to another target because one that could take no
// calls has used up the request's allowance.
func TestTargetThatIsNotReadyUsesNoAllowance(t *testing.T) {
	is := is.New(t)
	var notReady atomic.Int32
	starting := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		notReady.Add(1)
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Refused, Code: status.CodeNotReady})
		c.SetStatusCode(http.StatusServiceUnavailable)
	})
	ready := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
	})
	for range 20 { // the first target is drawn
		e, info := newCaller(t, starting, ready)
		e.cfg.Retry.FreeRefusals = true
		out := outgoingTo(e, info)
		x := &runningRequest{id: out.id}
		out.parent, out.allowance = x, x
		is.Equal(e.call(context.Background(), out, protocol.AcquireResponse()).outcome, request.Completed)
	}
	is.True(notReady.Load() > 0)
}
