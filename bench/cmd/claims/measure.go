package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"peardrift/internal/claims"
	"peardrift/internal/core/claim"
	"peardrift/internal/status"
)

// Calls as in the batching core's own benchmark.
const (
	runMin   = 20 * time.Millisecond
	runMax   = 300 * time.Millisecond
	deadline = 5 * time.Second
)

// row is what was measured of one kind of rows.
type row struct {
	rate            float64
	sharing         bool
	secs            float64
	calls, failed   int
	writes, reads   int64
	conflicts       int64
	claims, answers []time.Duration // sorted
	fault           string          // of one that did not complete
}

// perCall returns the platform's writes of a call that completed.
func (r row) perCall() float64 { return float64(r.writes) / float64(max(r.calls-r.failed, 1)) }

func quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	return float64(ds[int(q*float64(len(ds)-1))]) / float64(time.Millisecond)
}

// String returns the row of the table; times are in ms.
func (r row) String() string {
	kind := "own"
	if r.sharing {
		kind = "shared"
	}
	return fmt.Sprintf("| %g | %s | %d | %d %s | %.0f | %.2f | %d | %.0f | %.1f ms | %.1f ms | %.1f ms | %.1f ms |",
		r.rate, kind, r.calls, r.failed, r.fault, float64(r.writes)/r.secs, r.perCall(), r.conflicts, float64(r.reads)/r.secs,
		quantile(r.claims, 0.5), quantile(r.claims, 0.99), quantile(r.answers, 0.5), quantile(r.answers, 0.99))
}

// check holds shared rows against rows of their own, measured before. Those may
// refuse calls: they can't carry each rate.
func (r row) check(own row, bound float64) error {
	if !r.sharing {
		return nil
	}
	if r.failed > 0 {
		return status.New(CodeOverBound, "at %g calls/s %d of %d did not complete", r.rate, r.failed, r.calls)
	}
	if own.calls > 0 && r.perCall() > bound*own.perCall() {
		return status.New(CodeOverBound, "at %g calls/s a call costs %.2f writes, %.2f of %.2f are allowed",
			r.rate, r.perCall(), bound, own.perCall())
	}
	return nil
}

// measure sends calls at random moments and returns what they cost.
func measure(ctx context.Context, o options, rate float64, sharing bool) (row, error) {
	f, err := newFleet(ctx, o, sharing)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return row{}, err
	}
	r := &row{rate: rate, sharing: sharing}
	before := f.platform.Counters()
	start := time.Now()
	r.load(ctx, f, o.Time)
	r.secs = time.Since(start).Seconds()
	if err := f.settle(); err != nil {
		r.failed++
		r.fault = err.Error()
	}
	after := f.platform.Counters()
	r.writes, r.reads = after.Writes-before.Writes, after.Reads-before.Reads
	r.conflicts = after.Conflicts - before.Conflicts
	slices.Sort(r.claims)
	slices.Sort(r.answers)
	return *r, ctx.Err()
}

// load is a Poisson process of calls; it returns when all have ended.
func (r *row) load(ctx context.Context, f *fleet, most time.Duration) {
	rnd := rand.New(rand.NewPCG(7, uint64(r.rate)))
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := time.Now()
	for at := time.Duration(0); at < most && ctx.Err() == nil; at += time.Duration(rnd.ExpFloat64() / r.rate * float64(time.Second)) {
		time.Sleep(time.Until(begun.Add(at)))
		n := f.nodes[rnd.IntN(len(f.nodes))]
		takes := runMin + time.Duration(rnd.Int64N(int64(runMax-runMin)))
		wg.Go(func() { r.call(ctx, &mu, n, takes) })
	}
	wg.Wait()
}

func (r *row) call(ctx context.Context, mu *sync.Mutex, n *node, takes time.Duration) {
	key, err := uuid.NewV7()
	if err != nil {
		return // the system is out of random bits
	}
	var began, ended time.Time
	start := time.Now()
	res := n.claims.Do(ctx, claims.Request{
		Scope: claim.Scope{Tenant: "kalahari", Service: "settleworks.kalahari", Class: "payout"},
		Key:   key.String(), Method: "POST", Path: "/payouts", Body: claim.Sum(key[:]), Deadline: start.Add(deadline),
	}, func(context.Context) claims.Result {
		began = time.Now()
		time.Sleep(takes)
		ended = time.Now()
		return claims.Answered(201, "application/json", make([]byte, 100))
	})
	done := time.Now()
	mu.Lock()
	defer mu.Unlock()
	r.calls++
	if res.Err != nil {
		r.failed++
		r.fault = string(res.Err.Code)
		return
	}
	r.claims = append(r.claims, began.Sub(start))
	r.answers = append(r.answers, done.Sub(ended))
}
