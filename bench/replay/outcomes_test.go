package replay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/bench/replay/workload"
	"peardrift/internal/core/retry"
	"peardrift/internal/dataplane"
)

// Test runs use a fifth of the reference deployments' slots, and short phases.
const testScale = 5

var testPhaseDurations = workload.PhaseDurations{Before: 3 * time.Second, During: 5 * time.Second, After: 5 * time.Second}

func replay(t *testing.T, deployment, scenario, policy string, seed uint64) *Result {
	t.Helper()
	return replayWithDurations(t, testPhaseDurations, deployment, scenario, policy, seed)
}

func replayWithDurations(t *testing.T, l workload.PhaseDurations, deployment, scenario, policy string, seed uint64) *Result {
	t.Helper()
	d := workload.Deployments()[deployment].Scaled(testScale)
	p, ok := PolicyFor(policy)
	if !ok {
		t.Fatalf("no policy %q", policy)
	}
	tr := workload.Generate(d, workload.ScenarioFor(scenario, d, l), seed)
	return Run(d, tr, p, seed)
}

// outcomeBounds are the required outcomes of the policy. At a fifth of the reference
// slots a target has as few as 5; results are worse than at full size, which
// docs/OVERLOAD.md shows.
type outcomeBounds struct {
	deployment, scenario string
	fractionOfBest       float64 // at least
	important            float64 // at least
	wasted               float64 // at most
	recovery             time.Duration
}

var statedBounds = []outcomeBounds{
	{"khaosan", "normal", 0.99, 1, 0.01, 500 * time.Millisecond},
	{"kalahari", "normal", 0.99, 1, 0.01, 500 * time.Millisecond},
	{"khaosan", "worst", 0.93, 0.99, 0.03, 2 * time.Second},
	{"kalahari", "worst", 0.88, 0.90, 0.03, 2 * time.Second},
	{"khaosan", "surge", 0.93, 0.99, 0.03, 2 * time.Second},
	{"kalahari", "surge", 0.85, 0.99, 0.03, 2 * time.Second},
	{"khaosan", "replace", 0.93, 0.99, 0.03, 2 * time.Second},
	{"khaosan", "restart", 0.93, 0.99, 0.03, 2 * time.Second},
	{"khaosan", "lost", 0.93, 0.99, 0.08, 2 * time.Second},
	{"kalahari", "failfast", 0.97, 0.99, 0.03, 2 * time.Second},
	{"shared", "flood", 0.88, 1, 0.03, 2 * time.Second},
}

func TestStatedOutcomes(t *testing.T) {
	for _, b := range statedBounds {
		t.Run(b.deployment+"-"+b.scenario, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := replay(t, b.deployment, b.scenario, "peardrift", 1)
			t.Logf("of best %.3f, important %.3f, useless %.3f, recovery %v, extra %d",
				r.FractionOfBest(), r.ImportantServed(), r.WastedFraction, r.Recovery, r.MaxExtraAttempts)
			is.True(r.FractionOfBest() >= b.fractionOfBest)               // goodput in the trigger phase
			is.True(r.ImportantServed() >= b.important)                   // important classes served
			is.True(r.WastedFraction <= b.wasted)                         // slot time wasted
			is.True(r.Recovered && r.Recovery <= b.recovery)              // after the trigger phase
			is.True(r.MaxExtraAttempts <= retry.DefaultConfig().Attempts) // bound for one root request
		})
	}
}

// Guards against entry nodes that forget admission levels between two responses of a
// target, and so start requests that are refused deep in the chain.
func TestEntryNodesRefuseEarlyForDeepestService(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed-%d", seed+1), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := workload.Chatty().Scaled(4)
			p := platformPolicy()
			r := Run(d, workload.Generate(d, workload.ScenarioFor("crowd", d, testPhaseDurations), seed+1), p, seed+1)
			lookup := r.Classes["lookup"]
			t.Logf("asked %.0f/s, completed %.0f/s, failed %.0f/s, useless %.3f", lookup.Demand, lookup.Completed, lookup.Failed, r.WastedFraction)
			is.True(lookup.Failed <= 0.8*lookup.Demand)  // attempts that failed after work, per user
			is.True(lookup.Completed >= 0.4*lookup.Best) // goodput at the deepest service
		})
	}
}

// Guards against a class that needs a tenth of the deepest service's slots and is refused
// because the requests of higher importance and the reserved fraction need all of them.
func TestSmallClassIsServedDuringOverload(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed-%d", seed+1), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := workload.Chatty().Scaled(4)
			r := Run(d, workload.Generate(d, workload.ScenarioFor("crowd", d, testPhaseDurations), seed+1), platformPolicy(), seed+1)
			for name, c := range r.Classes {
				t.Logf("%s: asked %.0f/s, served %.3f, at the first try %.3f", name, c.Demand, c.Served, c.ServedFirst)
			}
			is.True(r.Classes["status"].ServedFirst >= 0.9)
			is.True(r.Classes["lookup"].ServedFirst >= 0.8*dataplane.IntegratedConfig().AssuredFraction)
		})
	}
}

// Guards against capacity in proportion to demand: one tenant sends ten times its usual
// load to a shared service, and requests of the other, at normal demand, fail.
func TestTenantFloodDoesNotAffectOtherTenant(t *testing.T) {
	is := is.New(t)
	r := replay(t, "shared", "flood", "peardrift", 2)
	other := r.Classes["kalahari-read"]
	is.True(other.Served >= 0.99)
	is.True(other.ServedFirst >= 0.95)
}

// Guards against a gate that fills all declared slots when only a sixth of them work and
// demand doubles. Requests then queue inside the target and hold the upstream service's
// slots that much longer; half of the payouts failed although their service had capacity.
func TestGateDetectsOverstatedSlots(t *testing.T) {
	is := is.New(t)
	d := workload.Kalahari().Scaled(2)
	l := workload.PhaseDurations{Before: 4 * time.Second, During: 10 * time.Second, After: time.Second}
	r := Run(d, workload.Generate(d, workload.ScenarioFor("shrink", d, l), 1), fullPolicy(), 1)
	t.Logf("of best %.3f, important %.3f, first try %.3f", r.FractionOfBest(), r.ImportantServed(), r.ImportantServedFirst())
	is.True(r.FractionOfBest() >= 0.75)
	is.True(r.ImportantServed() >= 0.70)
	is.True(r.ImportantServedFirst() >= 0.20)
}

// In the worst scenario each baseline completes clearly less and amplifies retries. The
// phases are long because without control the queues take some seconds to fill.
func TestFullPolicyOutperformsBaselines(t *testing.T) {
	for _, deployment := range []string{"khaosan", "kalahari"} {
		l := workload.PhaseDurations{Before: 2 * time.Second, During: 9 * time.Second, After: 3 * time.Second}
		full := replayWithDurations(t, l, deployment, "worst", "peardrift", 1)
		for _, b := range Baselines() {
			t.Run(deployment+"-"+b.Name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				r := replayWithDurations(t, l, deployment, "worst", b.Name, 1)
				t.Logf("goodput %.0f of %.0f, extra %d", r.TriggerGoodput, full.TriggerGoodput, r.MaxExtraAttempts)
				is.True(r.TriggerGoodput < 0.95*full.TriggerGoodput)
				is.True(r.MaxExtraAttempts > full.MaxExtraAttempts)
			})
		}
	}
}

func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	a, b := replay(t, "kalahari", "lost", "peardrift", 3), replay(t, "kalahari", "lost", "peardrift", 3)
	is.Equal(a.Goodput, b.Goodput)
	is.Equal(a.Counts, b.Counts)
	is.Equal(a.WastedFraction, b.WastedFraction)
}

func TestPolicyNamesAreUnique(t *testing.T) {
	is := is.New(t)
	var names []string
	for _, p := range Policies() {
		is.True(!slices.Contains(names, p.Name))
		names = append(names, p.Name)
	}
	_, ok := PolicyFor("nothing")
	is.True(!ok)
}
