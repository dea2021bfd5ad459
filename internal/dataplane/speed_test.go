package dataplane

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/targetspeed"
	"peardrift/internal/wire"
)

// statingTarget is the transport to a target that takes some time for each request and
// states a load header.
type statingTarget struct {
	took   time.Duration
	load   string
	status int
}

func (s *statingTarget) Do(_ context.Context, _ string, _ *protocol.Request, resp *protocol.Response) (hertzhttp.Result, error) {
	time.Sleep(s.took)
	resp.SetStatusCode(s.status)
	resp.Header.Set("X-Signed", "x")
	if s.load != "" {
		resp.Header.Set("X-Load", s.load)
	}
	return hertzhttp.Result{Sent: true}, nil
}

func (s *statingTarget) Reachable(string) bool { return true }

// newStated returns an engine beside a target, and a function that runs one request there and
// returns the class time in its answer.
func newStated(t *testing.T, target *statingTarget) (*Engine, func() time.Duration) {
	cfg := DefaultConfig()
	cfg.Dialect = wire.Dialect{Load: "X-Load", Signature: "X-Signed"}
	e := New(cfg, Self{Name: "n", Service: "svc.t", Tenant: "t"}, target, target, nil, nil)
	t.Cleanup(e.Close)
	class := configset.Class{Name: "read", Deadline: time.Minute}
	e.Publish(&View{})
	return e, func() time.Duration {
		s := &inboundCall{c: app.NewContext(0), class: &class}
		s.running = &s.runningStorage
		s.running.deadline = e.now() + time.Minute
		r, resp := e.runOnTarget(context.Background(), s)
		e.relay(&s.c.Response, resp, request.ID{}, r)
		e.setAnswerMeta(s, r)
		return wire.GetAnswer(&s.c.Response.Header).ClassTime
	}
}

// Guards against a stated slowdown that doesn't reach callers with the answer that states it,
// and against one that the gate doesn't follow.
func TestStatedFactorReachesCallersAndGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &statingTarget{took: 40 * time.Millisecond, load: "3,0,10,100", status: http.StatusOK}
		e, run := newStated(t, target)
		var usual time.Duration
		for range 200 {
			usual = run()
		}
		is.Equal(usual, target.took)
		target.load = "3,0,10,250"
		slow := run()
		is.True(slow > 2*usual)
		is.True(e.speed.factor > 2) // as the gate was told
		time.Sleep(2 * time.Second)
		e.TargetSpeed()
		is.Equal(e.speed.factor, 1.0) // the figure is too old
		target.load = ""
		is.Equal(run(), time.Duration(0))
	})
}

// Guards against trust that changes without a notice, and against one notice per answer.
func TestLostTrustIsNotedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &statingTarget{took: 40 * time.Millisecond, load: "3,0,10,50", status: http.StatusOK}
		e, run := newStated(t, target)
		var noted []string
		e.OnFigureTrust(func(c targetspeed.Change, st targetspeed.Stats) { noted = append(noted, fmt.Sprint(c, st.Stated)) })
		for range 200 {
			run()
		}
		target.took *= 4
		for range 100 {
			run()
		}
		is.Equal(noted, []string{fmt.Sprint(targetspeed.Lost, 0.5)})
	})
}

// Guards against times of failed requests that count as times in the target: a target that
// fails at once would look fast.
func TestFailuresSayNothingOfSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &statingTarget{took: 40 * time.Millisecond, load: "3,0,10,100", status: http.StatusOK}
		_, run := newStated(t, target)
		for range 100 {
			run()
		}
		target.took, target.status = time.Millisecond, http.StatusInternalServerError
		for range 100 {
			is.Equal(run(), 40*time.Millisecond)
		}
	})
}

// Guards against measurements of an earlier start of the target that are told of a new one,
// which may be cold.
func TestRestartForgetsSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		target := &statingTarget{took: 40 * time.Millisecond, load: "3,0,10,100", status: http.StatusOK}
		e, run := newStated(t, target)
		for range 100 {
			run()
		}
		e.SetTargetState(TargetState{Instance: "b", StartedAt: 2, Slots: 10, AcceptsCalls: true})
		is.Equal(run(), time.Duration(0))
	})
}
