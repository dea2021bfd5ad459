package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Symptom: a service gets more repeats in a window than the fleet may make.
// Events: many nodes see failures at the same moment, some of them have just been
// restarted with a full budget. Cause: a budget for each node that takes no heed
// of how many there are.
func TestFleetBudgetHoldsOverAllNodes(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.FleetBudget, cfg.FleetWindow, cfg.CallRatio = 49, 10*time.Second, 0
	for _, nodes := range []int{3, 15, 40} {
		taken := 0
		for range nodes {
			b := NewServiceBudget(&cfg, 0)
			b.Share(nodes)
			for at := time.Duration(0); at < cfg.FleetWindow; at += 10 * time.Millisecond {
				b.ObserveCall(at, request.Completed, "") // earns nothing
				if b.Take(at, 1) {
					taken++
				}
			}
		}
		is.True(taken <= 49+nodes/3) // a start holds one attempt
	}
}

// Symptom: a request is refused for want of retries though no target has seen it.
// Events: two gates turn it away, one that leaves and one that is full. Cause:
// refusals that cost no target anything are paid like repeats.
func TestRefusalsBeforeATargetAreFree(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.RefusedFree = true
	is.True(cfg.Free(request.Refused, status.CodeDraining))
	is.True(!cfg.Free(request.Refused, status.CodeTargetShed)) // it has reached one
	is.True(!cfg.Free(request.Unknown, status.CodeConnectionLost))
	p := NewRequestAllowance(1, false)
	var c Call
	for range 3 {
		g, ok := p.Start(&c, 0)
		is.True(ok)
		p.Settle(&c, &g, Answer{Outcome: request.Refused, Free: true})
	}
	is.Equal(p.Left(), 1)
	is.Equal(c.Runs(), 0)
}

// Symptom: one attempt of a caller runs on more targets than its route allows.
func TestRunsAreBounded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	d := NewDecider(&cfg, nil)
	b := NewServiceBudget(&cfg, 0)
	r := Result{Outcome: request.Unknown, Code: status.CodeConnectionLost, Attempts: 2, Left: 5, Idempotent: true, Runs: 2, MaxRuns: 2, MayHaveRun: true}
	is.Equal(d.Decide(0, &r, &b).Reason, PerCall)
}
