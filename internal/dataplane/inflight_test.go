package dataplane

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/wire"
)

// Guards against the end of one run removing other runs of the same request, which end
// in any order: a target's call would then use another request's allowance or start a
// new request.
func TestRegistryRemovesRunsInAnyOrder(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2}, {1, 2, 0}, {0, 2, 1}, {2, 0, 1}} {
		is := is.New(t)
		r, id := newRegistry(), newID()
		var runs []*runningRequest
		for range 3 {
			runs = append(runs, &runningRequest{id: id, span: newSpan()})
			r.add(runs[len(runs)-1])
		}
		left := map[*runningRequest]bool{runs[0]: true, runs[1]: true, runs[2]: true}
		for _, i := range order {
			r.remove(runs[i])
			r.remove(runs[i]) // has no effect
			delete(left, runs[i])
			for x := range left {
				is.Equal(r.parent(id, x.span), x)
			}
			is.Equal(left[r.parent(id, runs[i].span)], len(left) > 0) // by trace id alone
		}
		is.Equal(len(r.byID), 0)
	}
}

// Guards against a traceparent writer and reader that disagree: a call would be
// refused as one without a trace, matched to another call's answer, or unknown to a
// probed peer.
func TestTraceContextRoundTrip(t *testing.T) {
	for _, sampled := range []bool{true, false} {
		is := is.New(t)
		tc := traceContext{newID(), newSpan(), sampled}
		var h protocol.RequestHeader
		tc.set(&h)
		got, ok := traceOf(&h)
		is.True(ok)
		is.Equal(got, tc)
		is.Equal(Prober{}.Tag(&h), tc.span.String())
		is.True(tc.span.matches([]byte(tc.span.String())))
		is.True(!tc.span.matches([]byte(newSpan().String())) && !tc.span.matches(nil))
	}
}

// Guards against a request's first call to an overloaded service that passes as one of a
// request in progress: only a service that has served the request before, or each service of
// a chain that it runs through again, has work to lose.
func TestCallsAreInProgressAfterOneOfTheirServiceHasCompleted(t *testing.T) {
	is := is.New(t)
	archive, media := earlyrefusal.Key{Service: "archive.khaosan"}, earlyrefusal.Key{Service: "media.khaosan"}
	x := &runningRequest{}
	begins := func(k earlyrefusal.Key, wantFirst, wantInProgress bool) {
		t.Helper()
		first, inProgress := x.callBegins(k)
		is.Equal(first, wantFirst)
		is.Equal(inProgress, wantInProgress)
	}
	begins(archive, true, false)
	begins(archive, false, false) // the first one has not ended
	x.callEnded(archive, &result{outcome: request.Refused})
	begins(archive, false, false)
	x.callEnded(archive, &result{outcome: request.Completed})
	begins(archive, false, true)
	begins(media, true, false)
	x = &runningRequest{meta: wire.Meta{InProgress: true}}
	begins(media, true, true)
}
