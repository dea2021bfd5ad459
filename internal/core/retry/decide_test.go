package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

func TestDecide(t *testing.T) {
	low, high := request.Priority(1)<<16, request.Priority(80)<<16
	base := Result{
		Outcome: request.Unknown, Code: status.CodeConnectionLost, Priority: low,
		Attempts: 1, AllowanceLeft: 3, MayHaveRun: true, Idempotent: true,
	}
	refused := Result{
		Outcome: request.Refused, Code: status.CodeOverloaded, Priority: low, Attempts: 1, AllowanceLeft: 3,
	}
	tests := []struct {
		name string
		from Result
		edit func(*Result)
		want Reason
	}{
		{"unknown, idempotent", base, func(*Result) {}, Allowed},
		{"unknown, not idempotent", base, func(r *Result) { r.Idempotent = false }, NotIdempotent},
		{"unknown, at most once", base, func(r *Result) { r.AtMostOnce = true }, AtMostOnce},
		{"refused, at most once", refused, func(r *Result) { r.AtMostOnce = true }, Allowed},
		{"refused after one that may have run", refused, func(r *Result) { r.AtMostOnce, r.MayHaveRun = true, true }, AtMostOnce},
		{"completed", base, func(r *Result) { r.Outcome = request.Completed }, Succeeded},
		{"suspect", refused, func(r *Result) { r.Code = status.CodeSuspect }, Final},
		{"suspect that is to wait", refused, func(r *Result) { r.Code = status.CodeIsolationBusy }, Final},
		{"attempts of the call used up", base, func(r *Result) { r.Attempts = 3 }, PerCall},
		{"no allowance", base, func(r *Result) { r.AllowanceLeft = 0 }, Allowance},
		{"allowance short of the calls below", base, func(r *Result) { r.CallsBelow = 3 }, Allowance},
		{"refused: calls below were not made", refused, func(r *Result) { r.AllowanceLeft, r.CallsBelow = 1, 3 }, Allowed},
		{"deadline too near", base, func(r *Result) { r.Deadline, r.ExpectedLatency = 100*time.Millisecond, time.Second }, Deadline},
		{"service overloaded, repeat", base, func(r *Result) { r.Level = 1 }, Overload},
		{"service overloaded, refusal is final", refused, func(r *Result) { r.Level = high }, Overload},
		{"service overloaded for the same importance", refused, func(r *Result) { r.Level, r.Priority = low, low+9 }, Overload},
		{"service overloaded for lesser importances", refused, func(r *Result) { r.Level, r.Priority = low, high }, Allowed},
		{"target leaves, service overloaded for others", refused, func(r *Result) {
			r.Code, r.Level, r.Priority = status.CodeDraining, low, high
		}, Allowed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := DefaultConfig()
			b := NewServiceBudget(&cfg, 0)
			d := NewDecider(&cfg, rand.New(rand.NewPCG(1, 2)))
			r := tt.from
			tt.edit(&r)
			got := d.Decide(0, &r, &b)
			is.Equal(got.Reason, tt.want)
			if got.Retry() && r.Outcome == request.Refused {
				is.Equal(got.Wait, time.Duration(0)) // retried on another target without delay
			}
		})
	}
}

// Guards against retries that aren't tied to successes: while all attempts at a service
// fail for a minute and each is to be retried, only MinRate remains.
func TestServiceBudgetLimitsRetriesWhileAllFail(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	b := NewServiceBudget(&cfg, 0)
	retries := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		b.Observe(now, request.Failed, status.CodeTargetFailed)
		if b.Take(now, 1) {
			retries++
		}
	}
	is.True(retries <= 1+int(cfg.MinRate*60)) // the initial token plus MinRate
}

func TestServiceBudgetGrowsWithSuccesses(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MinRate = 0
	b := NewServiceBudget(&cfg, 0)
	b.Take(0, 1)
	retries := 0
	for i := range 1000 {
		now := time.Duration(i) * time.Millisecond
		b.Observe(now, request.Completed, "")
		if b.Take(now, 1) {
			retries++
		}
	}
	is.True(retries >= 98 && retries <= 100) // Ratio times the successes
}

func TestServiceBudgetStopsRetriesOnLoadRefusals(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	b := NewServiceBudget(&cfg, 0)
	for range 10 {
		b.Observe(0, request.Completed, "")
	}
	for range 30 {
		b.Observe(0, request.Refused, status.CodeOverloaded)
	}
	d := NewDecider(&cfg, rand.New(rand.NewPCG(1, 2)))
	r := Result{Outcome: request.Refused, Code: status.CodeOverloaded, Attempts: 1, AllowanceLeft: 3}
	is.Equal(d.Decide(0, &r, &b).Reason, Overload)
	for range 5 { // retries resume within seconds of the recovery
		b.Observe(3*time.Second, request.Completed, "")
	}
	is.Equal(d.Decide(3*time.Second, &r, &b).Reason, Allowed)
}

func TestAllocs(t *testing.T) {
	cfg := DefaultConfig()
	b := NewServiceBudget(&cfg, 0)
	d := NewDecider(&cfg, rand.New(rand.NewPCG(1, 2)))
	r := Result{Outcome: request.Refused, Code: status.CodeDraining, Attempts: 1, AllowanceLeft: 3}
	n := testing.AllocsPerRun(100, func() { runAttempt(d, &r, &b) })
	if n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func runAttempt(d *Decider, r *Result, b *ServiceBudget) Decision {
	p := NewRequestAllowance(3, false)
	var c Call
	g, _ := p.Start(&c, -1)
	b.Observe(0, request.Refused, r.Code)
	p.Settle(&c, &g, Answer{Outcome: request.Refused, Unspent: g.Allowance})
	return d.Decide(0, r, b)
}

func BenchmarkAttempt(b *testing.B) {
	cfg := DefaultConfig()
	br := NewServiceBudget(&cfg, 0)
	d := NewDecider(&cfg, rand.New(rand.NewPCG(1, 2)))
	r := Result{Outcome: request.Refused, Code: status.CodeDraining, Attempts: 1, AllowanceLeft: 3}
	b.ReportAllocs()
	for b.Loop() {
		runAttempt(d, &r, &br)
	}
}
