package dataplane

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

const headerNotExecuted = "Not-Executed"

// reply is a target's answer to one send; its status is 0 if the connection breaks.
type reply struct {
	status      int
	notExecuted bool
}

var rejection = reply{http.StatusServiceUnavailable, true}

// scriptedTarget is a transport that answers sends in turn, the last answer again.
type scriptedTarget struct {
	replies  []reply
	onSend   func()
	timeouts []int    // as told by each send
	bodies   []string // of each send
}

func (t *scriptedTarget) Reachable(string) bool { return true }

func (t *scriptedTarget) Do(_ context.Context, _ string, req *protocol.Request, resp *protocol.Response) (hertzhttp.Result, error) {
	ms, _ := strconv.Atoi(string(req.Header.Peek(wire.HeaderTargetDeadline)))
	t.timeouts, t.bodies = append(t.timeouts, ms), append(t.bodies, string(req.Body()))
	if t.onSend != nil {
		t.onSend()
	}
	a := t.replies[min(len(t.timeouts), len(t.replies))-1]
	if a.status == 0 {
		return hertzhttp.Result{Sent: true}, status.New(status.CodeConnectionLost, "lost")
	}
	resp.SetStatusCode(a.status)
	resp.SetBodyString(fmt.Sprint("answer ", len(t.timeouts)))
	if a.notExecuted {
		resp.Header.Set(headerNotExecuted, "1")
	}
	return hertzhttp.Result{Sent: true}, nil
}

// newResender returns an engine beside a target with 10 slots whose budget of resends is
// open.
func newResender(t *testing.T, local, again Transport) *Engine {
	cfg := DefaultConfig()
	cfg.Dialect.NotExecuted = headerNotExecuted
	cfg.Gate.Limit.InitialFraction = 1
	cfg.Resend.Ratio = 0.2
	e := New(cfg, Self{Name: "node", Service: "svc.t", Tenant: "t", Slots: 10}, local, local, nil, nil)
	t.Cleanup(e.Close)
	e.SetResendTransport(again)
	e.Publish(&View{Index: configset.NewIndex(), Ready: true, TargetUp: true})
	e.SetTargetState(TargetState{Instance: "i", Slots: 10, AcceptsCalls: true})
	openBudget(e)
	return e
}

// openBudget lets the budget see two windows of first sends.
func openBudget(e *Engine) {
	r := e.resends
	const step = 5 * time.Millisecond
	at := e.now()
	for ; at < e.now()+2*r.cfg.Window; at += step {
		r.budget.First(at, request.MaxPriority-1, 0)
	}
	r.now = func() time.Duration { return at }
}

// newInbound returns a call that has passed the gate.
func newInbound(ctx context.Context, e *Engine, timeout time.Duration) *inboundCall {
	s := &inboundCall{c: app.NewContext(0), class: &configset.Class{}, body: body{whole: []byte("body")}}
	s.c.Request.Header.SetMethod("POST")
	s.runningStorage = runningRequest{id: newID(), priority: request.MaxPriority - 1, deadline: e.now() + timeout, allowance: retry.NewRequestAllowance(0, false)}
	s.running = &s.runningStorage
	if fault := e.enterGate(ctx, s); fault != nil {
		panic(fault)
	}
	return s
}

// Guards against failing a call that its target has not run though another send completes
// it, against a further send that differs from the first in more than the time left, and
// against hiding the rejections from the limit.
func TestRejectedCallIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := &scriptedTarget{replies: []reply{rejection}}
		again := &scriptedTarget{replies: []reply{rejection, {http.StatusOK, false}}}
		e := newResender(t, first, again)
		s := newInbound(t.Context(), e, time.Second)
		began := time.Now()
		r, resp := e.runOnTarget(t.Context(), s)
		is.Equal(r.outcome, request.Completed)
		is.Equal(string(resp.Body()), "answer 2")
		is.Equal(len(resp.Header.Peek(headerNotExecuted)), 0) // nothing of a rejection is left
		is.Equal(first.bodies, []string{"body"})
		is.Equal(again.bodies, []string{"body", "body"})
		is.True(first.timeouts[0] > again.timeouts[0] && again.timeouts[0] > again.timeouts[1])
		is.Equal(s.hop.Sends, 3)
		is.Equal(s.hop.Resend, "")
		is.Equal(s.running.blockedTime(), time.Since(began)) // time that is not the target's
		e.gate.release(s.ticket, gateResult(r), s.running.blockedTime())
		time.Sleep(time.Second)
		newInbound(t.Context(), e, time.Second) // ends the gate's window
		is.True(e.gate.stats().Limit < 10)
	})
}

// Guards against a call that runs twice: only an answer that says that it has not run
// allows another send. A rejection whose answer is lost may have run.
func TestOtherAnswersAreFinal(t *testing.T) {
	for _, tt := range []struct {
		reply   reply
		outcome request.Outcome
	}{
		{reply{}, request.Unknown},
		{reply{http.StatusServiceUnavailable, false}, request.Failed},
		{reply{http.StatusInternalServerError, false}, request.Failed},
		{reply{http.StatusTooManyRequests, true}, request.Refused},
		{reply{http.StatusMisdirectedRequest, true}, request.Refused},
		{reply{http.StatusBadRequest, true}, request.Refused},
		{reply{http.StatusOK, false}, request.Completed},
	} {
		for rejections := range 2 {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				target := &scriptedTarget{replies: append([]reply{rejection}[:rejections], tt.reply)}
				e := newResender(t, target, target)
				r, _ := e.runOnTarget(t.Context(), newInbound(t.Context(), e, time.Second))
				is.Equal(len(target.bodies), rejections+1)
				is.Equal(r.outcome, tt.outcome)
			})
		}
	}
}

// Guards against further sends that can't complete the call, add load to a target that is
// full, reach one that leaves, or spend more than the budget.
func TestRejectedCallIsFinal(t *testing.T) {
	leave := func(e *Engine) { e.SetTargetState(TargetState{Instance: "i", Slots: 10}) }
	for _, tt := range []struct {
		name    string
		timeout time.Duration
		prepare func(e *Engine, s *inboundCall, cancel func())
		onSend  func(e *Engine, cancel func())
		reason  string
		code    status.Code
	}{
		{name: "streamed body", prepare: func(_ *Engine, s *inboundCall, _ func()) {
			s.body = body{stream: strings.NewReader("body"), length: 4}
		}, reason: resendStreamed},
		{name: "the target names a rate", prepare: func(e *Engine, _ *inboundCall, _ func()) {
			e.gate.setRateLimit(100)
		}, reason: resendRate},
		{name: "slots are full", prepare: func(e *Engine, _ *inboundCall, _ func()) {
			for range 9 {
				newInbound(context.Background(), e, time.Second)
			}
		}, reason: resendSlots},
		{name: "deadline", timeout: time.Millisecond, reason: resendDeadline},
		{name: "the target leaves with its answer", onSend: func(e *Engine, _ func()) { leave(e) }, reason: resendLeaving},
		{name: "the target leaves between two sends", onSend: func(e *Engine, _ func()) {
			time.AfterFunc(time.Millisecond, func() { leave(e) })
		}, code: status.CodeDraining},
		{name: "the caller leaves between two sends", onSend: func(_ *Engine, cancel func()) {
			time.AfterFunc(time.Millisecond, cancel)
		}, reason: resendCaller},
		{name: "the node has just started", prepare: func(e *Engine, _ *inboundCall, _ func()) {
			e.resends = newResends(e.cfg.Resend, e.now)
		}, reason: ResendBudget},
		{name: "no ratio", prepare: func(e *Engine, _ *inboundCall, _ func()) {
			e.cfg.Resend.Ratio = 0
			e.resends = newResends(e.cfg.Resend, e.now)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				target := &scriptedTarget{replies: []reply{rejection}}
				e := newResender(t, target, target)
				s := newInbound(ctx, e, cmp.Or(tt.timeout, time.Second))
				if tt.prepare != nil {
					tt.prepare(e, s, cancel)
				}
				if tt.onSend != nil {
					target.onSend = func() { tt.onSend(e, cancel) }
				}
				r, _ := e.runOnTarget(ctx, s)
				is.Equal(len(target.bodies), 1)
				is.Equal(r.outcome, request.Refused) // it has run nowhere
				is.Equal(s.hop.Resend, tt.reason)
				if tt.code != "" {
					is.Equal(r.code, tt.code)
				}
			})
		})
	}
}

// Guards against taking a duplicate of a rejection for the answer to the next send: the
// call would be sent a third time while it runs.
func TestDuplicateRejectionIsNotTheNextAnswer(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	const rejected = "HTTP/1.1 503 Service Unavailable\r\n" + headerNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
	var sends, connections atomic.Int32
	duplicated := make(chan struct{})
	second := make(chan struct{})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				in := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					n := sends.Add(1)
					if n == 1 {
						_, _ = c.Write([]byte(rejected))
						go func() {
							<-second
							_, _ = c.Write([]byte(rejected))
							close(duplicated)
						}()
						continue
					}
					if n == 2 {
						close(second)
					}
					<-duplicated
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran"))
				}
			}()
		}
	}()
	cc := hertzhttp.DefaultClientConfig()
	local := hertzhttp.NewClient(cc)
	cc.MaxIdle = 0
	again := hertzhttp.NewClient(cc)
	t.Cleanup(func() { local.Close(); again.Close() })
	e := newResender(t, local, again)
	e.self.Target = ln.Addr().String()
	s := newInbound(t.Context(), e, time.Minute)
	s.body = body{}
	s.c.Request.Header.SetMethod("GET")
	s.c.Request.Header.SetHost("svc.t")
	r, resp := e.runOnTarget(t.Context(), s)
	is.Equal(r.outcome, request.Completed)
	is.Equal(string(resp.Body()), "ran")
	is.Equal(sends.Load(), int32(2))
	is.Equal(connections.Load(), int32(2))
}

// Guards against starting requests of a class of which none completes because targets
// below reject calls, and against refusing one whose requests fail for other reasons or
// were never sent.
func TestClassThatIsRejectedBelowIsNotStarted(t *testing.T) {
	for _, tt := range []struct {
		result  result
		refused bool
	}{
		{result{outcome: request.Failed, attempts: 1, answered: true, answer: wire.Answer{DownstreamCode: status.CodeTargetShed}}, true},
		{result{outcome: request.Refused, attempts: 1, code: status.CodeTargetShed}, true},
		{result{outcome: request.Failed, attempts: 1, answered: true}, false},
		{result{outcome: request.Refused, code: status.CodeTargetShed}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			target := &scriptedTarget{}
			e := newResender(t, target, target)
			c := &outboundCall{info: &configset.ServiceInfo{Name: "svc.t"}, class: &configset.Class{Name: "long"}}
			for range 30 {
				e.resends.ended(c, &tt.result)
			}
			fault := e.resends.checkStart(c)
			is.Equal(fault != nil, tt.refused)
			if fault != nil {
				is.Equal(fault.Outcome, request.Refused) // truthfully not run
				is.True(fault.RetryAfter > 0)
			}
		})
	}
}
