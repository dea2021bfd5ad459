package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/request"
)

func idOf(n uint64) request.ID {
	var id request.ID
	id[0], id[1], id[2] = byte(n), byte(n>>8), byte(n>>16)
	return id
}

// Guards against callers that resend a failing request through many entry nodes: each
// one gives it a new allowance, so each submission would run the whole chain again.
// Other requests complete meanwhile, and each submission is tried at several targets.
func TestResubmissionsBoundedOverAllEntryNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		targets := make([]ResubmissionLimiter, rapid.IntRange(1, 6).Draw(t, "targets"))
		for i := range targets {
			targets[i] = NewResubmissionLimiter(&cfg, 0)
		}
		entries := rapid.IntRange(1, 40).Draw(t, "entry nodes")
		health := rapid.Float64Range(0, 0.9).Draw(t, "share of others")
		sent := uint64(0)
		runs, completed := 0, 0
		var now time.Duration
		for range 2000 {
			now += time.Duration(rng.Int64N(int64(10 * time.Millisecond)))
			to := &targets[rng.IntN(len(targets))]
			if rng.Float64() < health {
				to.Observe(now, request.Completed)
				completed++
				continue
			}
			sent++
			id := idOf(sent*uint64(entries) + uint64(rng.IntN(entries))) // each entry node draws its own IDs
			if to.Begin(now, 1, id) {
				runs++
				to.End(now, 1, request.Failed)
			}
		}
		paid := float64(len(targets)) * (2 + cfg.MinRate*now.Seconds())
		if bound := paid + cfg.Ratio*float64(completed); float64(runs) > bound {
			t.Fatalf("%d of %d submissions ran, bound %.1f", runs, sent, bound)
		}
	})
}

func TestResubmissionLimiter(t *testing.T) {
	cfg := DefaultConfig()
	fill := func(r *ResubmissionLimiter) {
		for range 100 {
			r.Observe(0, request.Completed)
		}
	}
	drain := func(r *ResubmissionLimiter) {
		for r.budget.Take(0, 1) {
		}
	}
	for _, tt := range []struct {
		name string
		do   func(r *ResubmissionLimiter)
		at   time.Duration
		who  CallerKey
		id   request.ID
		want bool
	}{
		{"another request", drain, 0, 2, idOf(2), true},
		{"another attempt of the same submission", drain, 0, 1, idOf(1), true},
		{"resubmission while the first runs", drain, 0, 1, idOf(2), false},
		{"resubmission within the budget", fill, 0, 1, idOf(2), true},
		{"resubmission after a refusal", func(r *ResubmissionLimiter) {
			drain(r)
			r.End(0, 1, request.Refused)
		}, 0, 1, idOf(2), true},
		{"resubmission after a lost response", func(r *ResubmissionLimiter) {
			drain(r)
			r.End(0, 1, request.Completed)
		}, 0, 1, idOf(2), false},
		{"resubmission after the repeat window", func(r *ResubmissionLimiter) {
			r.End(0, 1, request.Failed)
			for at := time.Duration(0); at < 3*cfg.RepeatWindow; at += cfg.RepeatWindow {
				r.rotate(at)
			}
			drain(r)
		}, 3 * cfg.RepeatWindow, 1, idOf(2), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := NewResubmissionLimiter(&cfg, 0)
			is.True(r.Begin(0, 1, idOf(1)))
			tt.do(&r)
			is.Equal(r.Begin(tt.at, tt.who, tt.id), tt.want)
		})
	}
}

func TestResubmissionLimiterMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	r := NewResubmissionLimiter(&cfg, 0)
	for n := range 5 * cfg.MaxRepeats {
		is.True(r.Begin(0, CallerKey(n+1), idOf(1)))
		is.True(len(r.current)+len(r.previous) <= 2*cfg.MaxRepeats)
	}
}
