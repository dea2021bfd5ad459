package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/adapter/rpc"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/member"
	"peardrift/internal/core/ratelimit"
	"peardrift/internal/core/request"
)

// limiterWithGrant returns a limiter that holds a grant for one organisation.
func limiterWithGrant(rate float32) (*limiter, *configset.OrganisationInfo) {
	cfg := ratelimit.DefaultConfig()
	start := time.Now()
	o := &configset.OrganisationInfo{Name: "acme", ID: "t/acme", Rate: float64(rate)}
	l := &limiter{cfg: cfg, local: ratelimit.NewLocal(cfg), now: func() time.Duration { return time.Since(start) }}
	l.local.Count(0, o.ID)
	l.local.Apply(0, 0, []ratelimit.Grant{{
		Organisation: o.ID, LimitRate: float64(rate), Validity: cfg.Validity,
		Part: ratelimit.Part{Rate: rate, Capacity: rate, Tokens: rate},
	}}, func(request.Organisation) (ratelimit.Limit, bool) { return l.limitOf(o), true })
	return l, o
}

func TestTryTakeDoesNotAllocate(t *testing.T) {
	l, o := limiterWithGrant(1e6)
	is.New(t).Equal(testing.AllocsPerRun(100, func() { l.tryTake(o, true) }), 0.0)
}

func BenchmarkTake(b *testing.B) {
	l, o := limiterWithGrant(1e9)
	b.ReportAllocs()
	for b.Loop() {
		l.tryTake(o, true)
	}
}

// Guards against a lease holder that is not asked for seconds although it restarts at
// once, because other nodes found nothing listening at its address.
func TestNodeThatRestartsIsAskedSoon(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	calls := rpc.NewPool(rpc.DefaultConfig(), &rpc.Meter{})
	defer calls.Close()
	err = calls.Call(t.Context(), listener.Addr().String(), methodAskLimits, &ratelimit.GrantRequest{}, &ratelimit.GrantReply{})
	is.True(err != nil)
	is.Equal(avoidanceAfter(err), refusedAvoidDuration)
	is.Equal(avoidanceAfter(context.DeadlineExceeded), avoidDuration)
}

// Guards against many waiting requests that make a node give up at once on a starting
// lease holder, and then not ask it for seconds.
func TestStartingLeaseHolderIsAskedAgain(t *testing.T) {
	is := is.New(t)
	l, s, m := &limiter{}, &shard{avoidUntil: make(map[request.TargetID]time.Duration)}, member.Member{Record: &member.Record{}}
	for i := range 5 * maxEmptyReplies { // in half of the time that the replies may take
		l.handleRedirect(s, m, time.Second+time.Duration(i)*askRetryDelay/10, ratelimit.GrantReply{})
	}
	is.Equal(s.avoidUntil[m.ID], time.Duration(0))
	for i := range maxEmptyReplies {
		l.handleRedirect(s, m, time.Minute+time.Duration(i)*askRetryDelay, ratelimit.GrantReply{})
	}
	is.True(s.avoidUntil[m.ID] > time.Minute)
}
