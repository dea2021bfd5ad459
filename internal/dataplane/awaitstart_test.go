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
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/core/route"
	"peardrift/internal/core/waiting"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// switchPacer starts no request until it is open, and reports each question.
type switchPacer struct {
	open  atomic.Bool
	asked chan struct{}
	draw  request.Level
}

func (p *switchPacer) DrawLevel(earlyrefusal.Key, request.Importance) request.Level { return p.draw }

func (p *switchPacer) Arrived(time.Duration, earlyrefusal.Key, request.Importance) {}

func (p *switchPacer) Start(time.Duration, earlyrefusal.Key, request.Importance) bool {
	select {
	case p.asked <- struct{}{}:
	default:
	}
	return p.open.Load()
}

func (p *switchPacer) Next(now time.Duration, _ earlyrefusal.Key, _ request.Importance) time.Duration {
	return now
}

// countingLimiter counts the permits in use.
type countingLimiter struct{ taken atomic.Int64 }

func (l *countingLimiter) Take(context.Context, *configset.OrganisationInfo) *status.Error {
	l.taken.Add(1)
	return nil
}
func (l *countingLimiter) Now() time.Duration                                { return 0 }
func (l *countingLimiter) Return(time.Duration, *configset.OrganisationInfo) { l.taken.Add(-1) }

// hopLog keeps the entry hops.
type hopLog chan Hop

func (l hopLog) Hop(h *Hop) {
	if h.Kind == HopEntry {
		l <- *h
	}
}

const testKey = "secret"

// waitingEntry is an entry node whose callee always answers.
type waitingEntry struct {
	*Engine
	pacer   *switchPacer
	limiter countingLimiter
	hops    hopLog
	url     string
}

func newWaitingEntry(t *testing.T, objective time.Duration) *waitingEntry {
	node := fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
		c.SetStatusCode(http.StatusOK)
		c.SetBodyString("ok")
	})
	e, _ := newCaller(t, node)
	idx := configset.NewIndex(configset.Set{Tenant: "t", Version: 1, Share: 1,
		Services: []configset.Service{{Name: "svc", Slots: 10, Connections: 100, Classes: []configset.Class{{
			Name: "read", Path: "/", Importance: 10, Deadline: time.Minute, Objective: objective, MaxBody: 1 << 20,
		}}}},
		Organisations: []configset.Organisation{{Name: "org", Keys: []configset.KeyDigest{configset.DigestKey([]byte(testKey))}, Rate: 10, Burst: 10}},
	})
	x := &waitingEntry{Engine: e, pacer: &switchPacer{asked: make(chan struct{}, 1)}, hops: make(hopLog, 10)}
	cfg := waiting.DefaultConfig()
	cfg.MaxWaiting = 10
	x.entryQueue = newEntryQueue(cfg, x.pacer, e.now)
	x.obs = x.hops
	x.SetLimiter(&x.limiter)
	view := *e.view.Load()
	peer := Peer{Addr: node.Addr(), Target: route.Target{ID: 1, Slots: 10, Conns: 100}}
	view.Gen, view.Index, view.Peers = 2, idx, func(request.Service) []Peer { return []Peer{peer} }
	e.Publish(&view)
	s, err := hertzhttp.Listen("127.0.0.1:0", hertzhttp.DefaultServerConfig(), e.ServeCaller)
	if err != nil {
		t.Fatal(err)
	}
	s.Start()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	x.url = "http://" + s.Addr()
	return x
}

// send sends a request and returns a channel with its answer.
func (x *waitingEntry) send(ctx context.Context, body string) chan *http.Response {
	answer := make(chan *http.Response, 1)
	go func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, x.url, strings.NewReader(body))
		req.Host = "svc.t"
		req.Header.Set(wire.HeaderAuthorization, x.cfg.Dialect.KeyScheme()+" "+testKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answer <- nil
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		answer <- resp
	}()
	return answer
}

// awaitPoll returns when a request waits: it was asked for on arrival and again since.
func (x *waitingEntry) awaitPoll() {
	<-x.pacer.asked
	<-x.pacer.asked
}

// Guards against a request that takes a token of its organisation's rate limit while it
// waits, and against waits that no hop shows.
func TestRequestStartsAfterWaiting(t *testing.T) {
	is := is.New(t)
	x := newWaitingEntry(t, 10*time.Second)
	answer := x.send(t.Context(), "")
	x.awaitPoll()
	is.Equal(x.WaitingStats().Waiting, 1)
	is.Equal(x.limiter.taken.Load(), int64(0))
	x.pacer.open.Store(true)
	is.Equal((<-answer).StatusCode, http.StatusOK)
	is.Equal(x.limiter.taken.Load(), int64(1))
	h := <-x.hops
	is.True(h.Waited > 0 && h.Waited < h.End.Sub(h.Start))
	is.Equal(h.WaitResult, waiting.Start)
}

// Guards against a stopping node that loses the requests that wait, or says that they may
// have run.
func TestStoppingNodeAnswersWaitingRequests(t *testing.T) {
	is := is.New(t)
	x := newWaitingEntry(t, 10*time.Second)
	var answers []chan *http.Response
	for range 5 {
		answers = append(answers, x.send(t.Context(), ""))
	}
	for x.WaitingStats().Waiting < len(answers) {
		<-x.pacer.asked
	}
	x.BeginStop()
	for _, a := range answers {
		resp := <-a
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get(wire.HeaderCode), string(status.CodeDraining))
		is.Equal(resp.Header.Get(wire.HeaderOutcome), request.Refused.String())
		is.True(resp.Close)
		is.Equal((<-x.hops).WaitResult, waiting.Refuse)
	}
	is.Equal(x.limiter.taken.Load(), int64(0))
}

// Guards against a request that waits on, and then runs, after its caller has left.
func TestWaitingRequestEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	x := newWaitingEntry(t, time.Minute)
	ctx, leave := context.WithCancel(t.Context())
	answer := x.send(ctx, "")
	x.awaitPoll()
	leave()
	is.Equal(<-answer, nil)
	h := <-x.hops
	is.Equal(h.Code, status.CodeCanceled)
	is.Equal(h.Outcome, request.Refused)
	is.Equal(x.WaitingStats(), waiting.Stats{})
	is.Equal(x.limiter.taken.Load(), int64(0))
}

// Guards against a wait of requests that can't be held, or that no objective allows to
// wait: their path is the one without the queue.
func TestOtherRequestsDoNotWait(t *testing.T) {
	t.Run("streamed body", func(t *testing.T) {
		x := newWaitingEntry(t, time.Minute)
		is.New(t).Equal((<-x.send(t.Context(), strings.Repeat("x", x.cfg.BufferBytes+1))).StatusCode, http.StatusOK)
	})
	t.Run("no objective", func(t *testing.T) {
		x := newWaitingEntry(t, 0)
		is.New(t).Equal((<-x.send(t.Context(), "")).StatusCode, http.StatusOK)
	})
}

// Guards against a request that is paced by the level and then refused by the gate
// because its identity, drawn on arrival, is below the level.
func TestStartedRequestHasAdmittedIdentity(t *testing.T) {
	const imp, half = 10, request.Level(10)<<16 + 1<<15
	is := is.New(t)
	e, info := newCaller(t)
	e.entryQueue = newEntryQueue(waiting.DefaultConfig(), &switchPacer{draw: half}, e.now)
	e.cfg.Sampled = func(id request.ID) bool { return id[0]&1 == 1 }
	for range 50 {
		c := outgoingTo(e, info)
		c.meta.Importance = imp
		c.priority = request.PriorityOf(imp, c.id)
		before, hop := c.id, &Hop{ID: c.id}
		e.drawIdentity(c, hop)
		is.True(c.priority >= half)
		is.Equal(c.priority, request.PriorityOf(imp, c.id))
		is.Equal(hop.ID, c.id)
		if request.PriorityOf(imp, before) >= half {
			is.Equal(c.id, before) // admitted as it was
		} else {
			is.Equal(c.sampled, e.cfg.Sampled(c.id))
		}
	}
}
