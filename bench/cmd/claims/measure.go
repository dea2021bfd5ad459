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

// Parameters of the calls, the same as in the benchmark of the batching core.
const (
	minRunTime   = 20 * time.Millisecond
	maxRunTime   = 300 * time.Millisecond
	callDeadline = 5 * time.Second
)

// measurement is the result for one rate with one kind of rows.
type measurement struct {
	rate                            float64
	sharedRows                      bool
	seconds                         float64
	calls, failed                   int
	writes, reads                   int64
	conflicts                       int64
	claimLatencies, answerLatencies []time.Duration // sorted
	lastError                       string          // of a call that did not complete
}

// writesPerCall returns the number of platform writes per completed call.
func (r measurement) writesPerCall() float64 {
	return float64(r.writes) / float64(max(r.calls-r.failed, 1))
}

func quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	return float64(ds[int(q*float64(len(ds)-1))]) / float64(time.Millisecond)
}

// String returns the measurement as a table row, with times in ms.
func (r measurement) String() string {
	kind := "own"
	if r.sharedRows {
		kind = "shared"
	}
	return fmt.Sprintf("| %g | %s | %d | %d %s | %.0f | %.2f | %d | %.0f | %.1f ms | %.1f ms | %.1f ms | %.1f ms |",
		r.rate, kind, r.calls, r.failed, r.lastError, float64(r.writes)/r.seconds, r.writesPerCall(), r.conflicts, float64(r.reads)/r.seconds,
		quantile(r.claimLatencies, 0.5), quantile(r.claimLatencies, 0.99), quantile(r.answerLatencies, 0.5), quantile(r.answerLatencies, 0.99))
}

// check compares the cost with shared rows to single, the previous measurement with a row
// per claim. Calls may fail in single, since a row per claim can't sustain every rate.
func (r measurement) check(single measurement, bound float64) error {
	if !r.sharedRows {
		return nil
	}
	if r.failed > 0 {
		return status.New(CodeOverBound, "at %g calls/s %d of %d calls did not complete", r.rate, r.failed, r.calls)
	}
	if single.calls > 0 && r.writesPerCall() > bound*single.writesPerCall() {
		return status.New(CodeOverBound, "at %g calls/s a call costs %.2f writes, more than %.2f times %.2f",
			r.rate, r.writesPerCall(), bound, single.writesPerCall())
	}
	return nil
}

// measure sends calls at random times and returns their cost.
func measure(ctx context.Context, o options, rate float64, sharedRows bool) (measurement, error) {
	f, err := newFleet(ctx, o, sharedRows)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return measurement{}, err
	}
	r := &measurement{rate: rate, sharedRows: sharedRows}
	before := f.platform.Counters()
	start := time.Now()
	r.generateLoad(ctx, f, o.Time)
	r.seconds = time.Since(start).Seconds()
	if err := f.closeClaims(); err != nil {
		r.failed++
		r.lastError = err.Error()
	}
	after := f.platform.Counters()
	r.writes, r.reads = after.Writes-before.Writes, after.Reads-before.Reads
	r.conflicts = after.Conflicts - before.Conflicts
	slices.Sort(r.claimLatencies)
	slices.Sort(r.answerLatencies)
	return *r, ctx.Err()
}

// generateLoad starts calls as a Poisson process and returns when all of them have ended.
func (r *measurement) generateLoad(ctx context.Context, f *fleet, duration time.Duration) {
	rnd := rand.New(rand.NewPCG(7, uint64(r.rate)))
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for at := time.Duration(0); at < duration && ctx.Err() == nil; at += time.Duration(rnd.ExpFloat64() / r.rate * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(at)))
		n := f.nodes[rnd.IntN(len(f.nodes))]
		runTime := minRunTime + time.Duration(rnd.Int64N(int64(maxRunTime-minRunTime)))
		wg.Go(func() { r.doCall(ctx, &mu, n, runTime) })
	}
	wg.Wait()
}

func (r *measurement) doCall(ctx context.Context, mu *sync.Mutex, n *node, runTime time.Duration) {
	key, err := uuid.NewV7()
	if err != nil {
		return // the system's random source failed
	}
	var startedAt, endedAt time.Time
	start := time.Now()
	res := n.claims.Do(ctx, claims.Request{
		Scope: claim.Scope{Tenant: "kalahari", Service: "settleworks.kalahari", Class: "payout"},
		Key:   key.String(), Method: "POST", Path: "/payouts", Body: claim.Sum(key[:]), Deadline: start.Add(callDeadline),
	}, func(context.Context) claims.Result {
		startedAt = time.Now()
		time.Sleep(runTime)
		endedAt = time.Now()
		return claims.Answered(201, "application/json", make([]byte, 100))
	})
	done := time.Now()
	mu.Lock()
	defer mu.Unlock()
	r.calls++
	if res.Err != nil {
		r.failed++
		r.lastError = string(res.Err.Code)
		return
	}
	r.claimLatencies = append(r.claimLatencies, startedAt.Sub(start))
	r.answerLatencies = append(r.answerLatencies, done.Sub(endedAt))
}
