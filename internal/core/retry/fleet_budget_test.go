package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Guards against per-node budgets that ignore the number of nodes: when many nodes see
// failures at once, some of them just restarted, the total must stay within the fleet's
// budget.
func TestFleetBudgetBoundsAllNodes(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.FleetBudget, cfg.FleetWindow, cfg.CallRatio = 49, 10*time.Second, 0
	for _, nodes := range []int{3, 15, 40} {
		taken := 0
		for range nodes {
			b := NewServiceBudget(&cfg, 0)
			b.SetNodes(nodes)
			for at := time.Duration(0); at < cfg.FleetWindow; at += 10 * time.Millisecond {
				b.ObserveCall(at, request.Completed, "") // adds nothing to the budget
				if b.Take(at, 1) {
					taken++
				}
			}
		}
		is.True(taken <= 49+nodes/3) // a new budget holds one attempt
	}
}

// Guards against a request that is refused for lack of allowance though no target has
// seen it, after two nodes refused it, one draining and one overloaded.
func TestRefusalBeforeTargetIsFree(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.FreeRefusals = true
	is.True(cfg.Free(request.Refused, status.CodeDraining))
	is.True(!cfg.Free(request.Refused, status.CodeTargetShed)) // it reached a target
	is.True(!cfg.Free(request.Unknown, status.CodeConnectionLost))
	p := NewRequestAllowance(1, false)
	var c Call
	for range 3 {
		g, ok := p.Start(&c, 0)
		is.True(ok)
		p.Settle(&c, &g, Answer{Outcome: request.Refused, Free: true})
	}
	is.Equal(p.Left(), 1)
	is.Equal(c.NotRefused(), 0)
}

// Guards against one call that runs on more targets than its route allows.
func TestMaxRuns(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	d := NewDecider(&cfg, nil)
	b := NewServiceBudget(&cfg, 0)
	r := Result{Outcome: request.Unknown, Code: status.CodeConnectionLost, Attempts: 2, AllowanceLeft: 5, Idempotent: true, Runs: 2, MaxRuns: 2, MayHaveRun: true}
	is.Equal(d.Decide(0, &r, &b).Reason, PerCall)
}
