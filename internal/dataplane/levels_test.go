package dataplane

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/core/route"
	"peardrift/internal/wire"
)

// Symptom: after half of a service's targets have left, the rest refuses and
// callers go on sending for seconds, to be refused there. Events: two targets of
// four answer with no level and leave; the others answer with a high one. Cause:
// the levels of those that left counted among the service's.
func TestLevelsOfTargetsThatLeftAreForgotten(t *testing.T) {
	is := is.New(t)
	e, info := caller(t)
	view := *e.view.Load()
	publish := func(ids ...request.TargetID) {
		view.Gen++
		view.Peers = func(request.Service) (out []Peer) {
			for _, id := range ids {
				out = append(out, Peer{Addr: "127.0.0.1:1", Target: route.Target{ID: id, Slots: 10, Conns: 100}})
			}
			return out
		}
		v := view
		e.Publish(&v)
		var tried route.Tried
		_, ok := e.callee(info.Name).pick(&v, &outgoing{info: info}, &tried)
		is.True(ok)
	}
	c := &outgoing{info: info, class: &info.Classes[0]}
	const high = request.Level(50 << 16)
	now := time.Duration(0)
	e.levels.now = func() time.Duration { return now }
	publish(1, 2, 3, 4)
	for id, level := range map[request.TargetID]request.Level{1: 0, 2: 0, 3: high, 4: high} {
		e.levels.learn(c, &result{target: id, answered: true, answer: wire.Answer{Level: level, Limit: 10}})
	}
	is.Equal(e.levels.level(c), request.Level(0)) // half of them take more
	publish(3, 4)
	is.Equal(e.levels.level(c), high)
}

// Symptom: the nodes beside the deepest targets have no processor time left, and
// requests that they could serve run out of time. Events: a surge; requests that
// are already under way above call a service that refuses their like, a thousand
// times a second. Cause: a call of a target was sent to be refused there, though
// answers had told that it would be.
func TestCallsOfTargetsAreRefusedWhereTheyBegin(t *testing.T) {
	is := is.New(t)
	var came atomic.Int32
	e, info := caller(t, fakeNode(t, func(_ context.Context, c *app.RequestContext) {
		came.Add(1)
		c.SetStatusCode(http.StatusOK)
		wire.SetAnswer(&c.Response.Header, &wire.Answer{Outcome: request.Completed})
	}))
	face := listening(t, e.ServeTarget)
	call := func(importance request.Importance) int {
		x := &running{
			id: newID(), span: newSpan(), ctx: context.Background(), deadline: e.now() + time.Minute,
			priority: request.PriorityOf(importance, newID()), purse: retry.NewPurse(3, false),
			meta: wire.Meta{Tenant: "t"},
		}
		e.reqs.add(x)
		defer e.reqs.remove(x)
		req, err := http.NewRequest(http.MethodGet, "http://"+face.Addr(), nil)
		is.NoErr(err)
		req.Host = "svc.t"
		req.Header.Set(wire.HeaderTraceparent, "00-"+x.id.String()+"-"+x.span.String()+"-00")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.StatusCode
	}
	key := &outgoing{info: info, class: &info.Classes[0], meta: wire.Meta{Tenant: "t"}}
	e.levels.learn(key, &result{target: 1, answered: true, answer: wire.Answer{Level: 50 << 16, Limit: 10}})
	is.Equal(call(10), http.StatusServiceUnavailable)
	is.Equal(came.Load(), int32(0))
	is.Equal(call(90), http.StatusOK)
	is.Equal(came.Load(), int32(1))
}
