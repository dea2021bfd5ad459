package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

// Demand within the limit is admitted, even if it is all at a few of many nodes.
func TestDemandWithinLimitIsAdmitted(t *testing.T) {
	for _, tc := range []struct {
		nodes, with int
		part        float64 // demand as a fraction of the limit
	}{{3, 3, 0.6}, {18, 5, 0.8}, {71, 3, 0.6}, {71, 3, 0.9}, {71, 60, 0.6}, {71, 71, 0.8}, {1000, 40, 0.7}} {
		for _, rate := range []float64{8, 40, 400} {
			w := newSimulation(t, 3, tc.nodes, Limit{Rate: rate, Burst: rate})
			for i := range tc.with {
				w.nodes[i*tc.nodes/tc.with].rate = rate * tc.part / float64(tc.with)
			}
			w.RunUntil(15 * time.Second)
			w.orgs[0].reset()
			w.RunUntil(75 * time.Second)
			got := float64(w.orgs[0].admitted) / float64(w.orgs[0].arrived)
			t.Logf("%d of %d nodes, rate %v: %.3f admitted", tc.with, tc.nodes, rate, got)
			if got < 0.95 {
				t.Errorf("%d of %d nodes, rate %v: %.3f admitted", tc.with, tc.nodes, rate, got)
			}
			w.checkBound("steady load")
		}
	}
}

// Guards against an organisation that gets no requests admitted because its limit isn't
// exactly representable in the messages, so that a token was slightly less than one.
func TestRoundedLimitsAdmit(t *testing.T) {
	for rate := 1.0; rate < 60; rate += 0.37 {
		w := newSimulation(t, 1, 3, Limit{Rate: rate + 0.1, Burst: rate})
		w.nodes[0].rate, w.nodes[1].rate = 0.2, 0.3
		w.RunUntil(5 * time.Second)
		w.orgs[0].reset()
		w.RunUntil(60 * time.Second)
		if w.orgs[0].admitted*10 < w.orgs[0].arrived*9 {
			t.Errorf("rate %v: %d of %d admitted", w.orgs[0].limit.Rate, w.orgs[0].admitted, w.orgs[0].arrived)
		}
	}
}

// An organisation with many times its limit in demand gets the limit and no more.
func TestExcessDemandGetsLimit(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 5, 71, Limit{Rate: 50, Burst: 50})
	for i := range 20 {
		w.nodes[i].rate = 20
	}
	w.RunUntil(15 * time.Second)
	w.orgs[0].reset()
	w.RunUntil(75 * time.Second)
	w.checkBound("excess demand")
	got := float64(len(w.orgs[0].taken)) / (60 * 50)
	t.Logf("%.3f of the limit ran", got)
	is.True(got > 0.85)
}

// Guards against exceeding the limit during network partitions, crashes, process
// freezes and table outages, one after another and overlapping.
func TestLimitHoldsDuringFaults(t *testing.T) {
	seeds := 20
	if testing.Short() {
		seeds = 5
	}
	for _, n := range []int{3, 18, 71} {
		for seed := range uint64(seeds) {
			rate := []float64{40, 400}[seed%2]
			w := newSimulation(t, seed, n, Limit{Rate: rate})
			w.cfg.Terms.Slack, w.cfg.Terms.Excess = 0, 0.03 // a small margin, to detect small violations
			w.lossy = seed%3 == 0
			for _, nd := range w.nodes {
				nd.rate = 3 * rate / float64(n)
			}
			w.watchHoldings(fmt.Sprintf("%d nodes, seed %d", n, seed))
			for range 12 {
				w.After(time.Duration(w.rng.Int64N(int64(50*time.Second))), w.fault)
			}
			w.RunUntil(70 * time.Second)
			w.checkBound(fmt.Sprintf("%d nodes, seed %d", n, seed))
			if len(w.orgs[0].taken) < 100 {
				t.Errorf("%d nodes, seed %d: only %d requests ran", n, seed, len(w.orgs[0].taken))
			}
		}
	}
}

// holder returns a node that holds the lease; 0 if none does.
func (w *simulation) holder() request.TargetID {
	for _, n := range w.nodes {
		if n.up && n.lease.Held(n.clock()) {
			return n.id
		}
	}
	return 0
}

// fault injects a random fault.
func (w *simulation) fault() {
	part := w.rng.Float64()
	some := func(f func(*simNode)) {
		for _, n := range w.nodes {
			if w.rng.Float64() < part {
				f(n)
			}
		}
	}
	span := time.Duration(w.rng.Int64N(int64(15 * time.Second)))
	switch w.rng.IntN(9) {
	case 0:
		for _, n := range w.nodes {
			n.kill(time.Second)
		}
	case 1:
		some(func(n *simNode) { n.kill(span / 3) })
	case 2:
		some(func(n *simNode) { n.partitioned = true; w.After(span, func() { n.partitioned = false }) })
	case 3:
		some(func(n *simNode) { n.frozenUntil = w.Now + span })
	case 4:
		w.down = true
		w.After(span, func() { w.down = false })
	case 5: // freeze the lease holder
		for _, n := range w.nodes {
			if n.up && n.lease.Held(n.clock()) {
				n.frozenUntil = w.Now + span
			}
		}
	case 7: // half of the fleet is partitioned, and the other half loses the lease holder
		for i, n := range w.nodes {
			if i%2 == 0 && !n.lease.Held(n.clock()) {
				n.partitioned = true
				w.After(8*time.Second, func() { n.partitioned = false })
			}
		}
		w.After(time.Second, func() {
			for _, n := range w.nodes {
				if n.up && n.lease.Held(n.clock()) {
					n.kill(span)
				}
			}
		})
	case 8: // the table rejects the lease holder, and the others ask another node
		for _, n := range w.nodes {
			if n.up && n.lease.Held(n.clock()) {
				n.tableDown = true
				w.After(span, func() { n.tableDown = false })
			}
		}
		for i, n := range w.nodes {
			if i%2 == 0 {
				n.avoid[w.holder()] = n.clock() + span
			}
		}
	case 6:
		for _, n := range w.nodes {
			if n.up && n.lease.Held(n.clock()) {
				n.partitioned = true
				w.After(span, func() { n.partitioned = false })
			}
		}
	}
}
