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
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/admission"
	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/core/route"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// fakeNode is a callee's node that answers by a script.
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

// caller is an engine that calls service "svc.t" on the given nodes.
func caller(t *testing.T, nodes ...*hertzhttp.Server) (*Engine, *confset.ServiceInfo) {
	class := confset.Class{Name: "read", Path: "/", Importance: 10, Deadline: time.Minute, Attempts: 3, MaxBody: 1 << 20}
	idx := confset.NewIndex(confset.Set{Tenant: "t", Version: 1, Share: 1, Services: []confset.Service{
		{Name: "svc", Slots: 10, Connections: 100, Classes: []confset.Class{class}},
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

func outgoingTo(e *Engine, info *confset.ServiceInfo) *outgoing {
	req := &protocol.Request{}
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI("/")
	req.Header.SetHost("svc.t")
	return &outgoing{
		info: info, class: &info.Classes[0], id: newID(), req: req,
		deadline: e.now() + time.Minute, allowance: &entryAllowance{allowance: retry.NewRequestAllowance(3, false)},
	}
}

func failing(c *app.RequestContext, body io.Reader) {
	wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Failed})
	c.SetStatusCode(http.StatusInternalServerError)
	c.SetBodyStream(body, -1)
}

// Symptom: a target's slots fill up although nobody waits for its answers.
// Events: a target fails with a long answer, the call is tried elsewhere and
// completes.
// Cause: the first answer's stream was left open, half read.
func TestAnswerThatIsTriedAgainIsLetGo(t *testing.T) {
	is := is.New(t)
	var calls, failed = make(chan struct{}, 10), make(chan struct{}, 1)
	failed <- struct{}{}
	answer := func(_ context.Context, c *app.RequestContext) {
		calls <- struct{}{}
		select {
		case <-failed: // the first call only
			failing(c, io.LimitReader(zeros{}, 64<<20))
		default:
			wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
			c.SetBodyString("ok")
		}
	}
	nodes := []*hertzhttp.Server{fakeNode(t, answer), fakeNode(t, answer)}
	e, info := caller(t, nodes...)
	var resp protocol.Response
	r := e.call(context.Background(), outgoingTo(e, info), &resp)
	is.Equal(r.outcome, request.Completed)
	is.Equal(string(resp.Body()), "ok")
	is.Equal(len(calls), 2)
	cl := e.callee("svc.t")
	for i := range nodes {
		cl.mu.Lock()
		is.Equal(cl.table.InFlight(i), 0) // nothing is booked on either target
		cl.mu.Unlock()
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Symptom: one caller gets another caller's answer.
// Events: a node's answers come out of step with the calls on a connection.
// Cause: an answer was taken for the present call's because it came next.
func TestAnswerOfAnotherCallIsDropped(t *testing.T) {
	is := is.New(t)
	s := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		c.Response.Header.Set(wire.HeaderAttempt, newSpan().String())
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
		c.SetBodyString("somebody else's")
	})
	e, info := caller(t, s)
	var resp protocol.Response
	r := e.call(context.Background(), outgoingTo(e, info), &resp)
	is.Equal(r.outcome, request.Unknown)
	is.True(r.code != "") // a problem is answered, not the body
}

// Symptom: a caller is told "not run" of a request that ran.
// Events: the first attempt's connection breaks after it was sent, the second
// one is refused.
// Cause: the last attempt's outcome was taken for the request's.
func TestRefusalAfterADoubtfulAttemptIsUnknown(t *testing.T) {
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
	e, info := caller(t, fakeNode(t, answer), fakeNode(t, answer))
	var resp protocol.Response
	r := e.call(context.Background(), outgoingTo(e, info), &resp)
	is.Equal(r.outcome, request.Unknown)
	is.Equal(r.attempts, 2)
}

// Guards against a target that is gone and whose address another service's node has
// taken over: it refuses at once, always looks idle, and would draw calls until the
// membership has noticed, seconds later.
func TestATargetWhoseAddressServesAnotherServiceIsLeft(t *testing.T) {
	is := is.New(t)
	var there, elsewhere atomic.Int32
	other := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		elsewhere.Add(1)
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Refused, Code: status.CodeMisdirected})
		c.SetStatusCode(http.StatusServiceUnavailable)
	})
	right := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		there.Add(1)
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
	})
	e, info := caller(t, other, right)
	for range 200 {
		out := outgoingTo(e, info)
		resp := protocol.AcquireResponse()
		is.Equal(e.call(context.Background(), out, resp).outcome, request.Completed)
		e.ProbeTargets(func(f func()) error { f(); return nil })
	}
	is.Equal(there.Load(), int32(200))
	is.True(elsewhere.Load() <= 1)
}

// Guards against a call that runs for a request whose caller was told that it failed.
func TestNoAttemptBeginsForARequestThatHasFailed(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int32
	node := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		calls.Add(1)
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
	})
	e, info := caller(t, node)
	out := outgoingTo(e, info)
	x := &running{id: out.id, allowance: retry.NewRequestAllowance(3, false)}
	out.parent, out.allowance = x, x
	is.True(!x.fails())
	r := e.call(context.Background(), out, protocol.AcquireResponse())
	is.Equal(r.outcome, request.Refused)
	is.Equal(r.code, status.CodeCanceled)
	is.Equal(calls.Load(), int32(0))
	is.Equal(x.left(), 3)
}

// Guards against a failure said while an attempt below is under way.
func TestAFailureWithAnAttemptUnderWayIsInDoubt(t *testing.T) {
	is := is.New(t)
	x := &running{}
	is.True(x.begins(0))
	is.True(x.fails())
	is.True(!x.begins(0))
	x.note(0, &result{outcome: request.Completed})
	is.True(!x.fails())
}

func TestTheLastFailuresAreRemembered(t *testing.T) {
	is := is.New(t)
	r := newRegistry()
	is.True(!r.hasFailed(request.ID{}, ""))
	first := &running{id: newID(), name: "one"}
	r.fail(first)
	is.True(r.hasFailed(first.id, ""))
	is.True(r.hasFailed(request.ID{}, "one"))
	is.True(!r.hasFailed(newID(), "two"))
	for range maxFailed {
		r.fail(&running{id: newID()})
	}
	is.True(!r.hasFailed(first.id, "one"))
	is.True(!r.hasFailed(request.ID{}, ""))
}

// Guards against a node that answers for another service as if it would serve it later.
func TestACallForAnotherServiceIsMisdirected(t *testing.T) {
	is := is.New(t)
	e, _ := caller(t)
	s := &serving{meta: wire.Meta{Service: "else.t"}}
	fault := e.acceptRouted(s, e.view.Load())
	is.True(fault != nil)
	is.Equal(fault.Code, status.CodeMisdirected)
	is.Equal(fault.Outcome, request.Refused)
}

// Guards against a target that starts again under its name and keeps its gate's state.
func TestAStartUnderTheSameNameHasAGateOfItsOwn(t *testing.T) {
	is := is.New(t)
	e, _ := caller(t)
	admitted := func() bool {
		_, fault := e.gate.enter(context.Background(), admission.Arrival{Deadline: e.now() + time.Minute})
		return fault == nil
	}
	e.SetLifetime(Lifetime{Instance: "a", Born: 1, Slots: 10, Takes: true})
	is.True(admitted())
	e.gate.drain()
	e.SetLifetime(Lifetime{Instance: "a", Born: 1, Slots: 10, Takes: true})
	is.True(!admitted())
	e.SetLifetime(Lifetime{Instance: "a", Born: 2, Slots: 10, Takes: true})
	is.True(admitted())
}
