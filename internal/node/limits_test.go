package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
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
