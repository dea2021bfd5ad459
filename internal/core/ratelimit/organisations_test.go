package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"peardrift/internal/core/request"
)

const (
	// organisationCount and sizeExponent describe the sizes of the organisations.
	organisationCount = 77
	sizeExponent      = 1.2
	// largestLimit is the limit of the largest organisation, in requests per second.
	largestLimit = 300
	// usualDemand is the usual demand as a fraction of the limit.
	usualDemand = 1 / 1.6
	// surgeFactor multiplies the usual demand of an organisation in a surge.
	surgeFactor = 7
	// minAdmitted is the least fraction of an organisation's requests within its limit
	// that is admitted.
	minAdmitted = 0.98
)

// declared is what an organisation declares.
type declared struct{ rate, burst float64 }

// fleetCase is a run of a fleet with many organisations.
type fleetCase struct {
	seed        uint64
	burst       float64 // in seconds of the rate
	surges      int     // organisations that surge
	from, until time.Duration
}

// demandFactors are the demands as fractions of the limits, by turns.
var demandFactors = [...]float64{0.6, 0.9, 1.1, 1.5}

// fleet is a simulation of many organisations.
type fleet struct {
	*simulation
	declared []declared
	factor   []float64 // demand as a fraction of the rate
	demand   []float64 // requests per second
	surged   map[int]bool
}

func newFleet(t testing.TB, c fleetCase) *fleet {
	w := newSimulation(t, c.seed, 70, Limit{})
	w.orgs, w.repeats = nil, true
	f := &fleet{simulation: w, surged: make(map[int]bool)}
	for i := range organisationCount {
		d := declared{rate: largestLimit * math.Pow(float64(i+1), -sizeExponent)}
		d.burst = c.burst * d.rate
		o := &simOrg{id: request.Organisation(fmt.Sprintf("org%02d", i)), limit: w.cfg.Terms.Limit(d.rate, d.burst)}
		o.reset()
		factor := demandFactors[w.rng.IntN(len(demandFactors))]
		w.orgs, f.declared, f.factor, f.demand = append(w.orgs, o), append(f.declared, d), append(f.factor, factor), append(f.demand, factor*d.rate)
		f.arriveAnywhere(i)
	}
	for range c.surges {
		i := w.rng.IntN(organisationCount)
		w.After(c.from+time.Duration(w.rng.Int64N(int64((c.until-c.from)/2))), func() { f.surge(i) })
	}
	return f
}

// surge multiplies the usual demand of an organisation for 5 to 7 s.
func (f *fleet) surge(i int) {
	before := f.demand[i]
	f.surged[i] = true
	f.demand[i] = surgeFactor * usualDemand * f.declared[i].rate
	f.After(5*time.Second+time.Duration(f.rng.Int64N(int64(2*time.Second))), func() { f.demand[i] = before })
}

// arriveAnywhere sends requests of an organisation to random nodes.
func (f *fleet) arriveAnywhere(i int) {
	gap := time.Duration(f.rng.ExpFloat64() / f.demand[i] * float64(time.Second))
	f.After(gap, func() {
		f.send(f.orgs[i], false)
		f.arriveAnywhere(i)
	})
}

// send sends a request to a random node that is up.
func (w *simulation) send(o *simOrg, repeated bool) {
	var up []*simNode
	for _, n := range w.nodes {
		if n.up && w.Now >= n.frozenUntil {
			up = append(up, n)
		}
	}
	if len(up) > 0 {
		up[w.rng.IntN(len(up))].receive(o, repeated)
	}
}

// owed returns how many of the arrivals one token bucket of the declared rate and burst
// would admit, full at first.
func (d declared) owed(arrivals []time.Duration) (n int) {
	size := max(d.burst, 1)
	tokens, last := size, time.Duration(0)
	for i, t := range arrivals {
		if i > 0 {
			tokens = min(size, tokens+(t-last).Seconds()*d.rate)
		}
		if last = t; tokens >= 1 {
			tokens--
			n++
		}
	}
	return n
}

// owedInWindows returns how many of the arrivals fit into the declared windows.
func (d declared) owedInWindows(arrivals []time.Duration, window time.Duration) int {
	var run []time.Duration
	from := 0
	for _, t := range arrivals {
		for from < len(run) && run[from] < t-window {
			from++
		}
		if float64(len(run)-from+1) <= d.rate*window.Seconds()+d.burst {
			run = append(run, t)
		}
	}
	return len(run)
}

// reset forgets what was counted so far.
func (f *fleet) reset() {
	for _, o := range f.orgs {
		o.reset()
	}
	f.asks, f.bytes = 0, 0
}

// admittedPart returns the admitted fraction of the requests of organisations whose
// demand is within their rate.
func (f *fleet) admittedPart() float64 {
	arrived, admitted := 0, 0
	for i, o := range f.orgs {
		if f.factor[i] < 1 && !f.surged[i] {
			arrived, admitted = arrived+o.arrived, admitted+o.admitted
		}
	}
	return float64(admitted) / float64(max(arrived, 1))
}

// checkOrganisations fails if an organisation got less than it may send. Of those whose
// demand is within their rate, whole windows count.
func (f *fleet) checkOrganisations(what string) {
	f.t.Helper()
	for i, o := range f.orgs {
		owed := f.declared[i].owed(o.arrivals)
		if f.factor[i] < 1 && !f.surged[i] {
			owed = f.declared[i].owedInWindows(o.arrivals, f.cfg.Terms.Window)
		}
		if o.admitted < int(minAdmitted*float64(owed)) {
			f.t.Errorf("%s: %s with a rate of %.1f and a demand of %v of it: %d of %d within its limit admitted, refused %v",
				what, o.id, f.declared[i].rate, f.factor[i], o.admitted, owed, o.refused)
		}
	}
}

// Guards against refusing organisations that are within their limit, because their
// tokens are held by nodes that don't need them or no longer have them.
func TestOrganisationsWithinLimitAreAdmitted(t *testing.T) {
	const maxBytes = 3000 // per second and node
	for seed := uint64(1); seed <= 9; seed++ {
		c := fleetCase{seed: seed, burst: 0.5 + 0.5*float64(seed%2), surges: int(seed-1)%3 + 1, from: 20 * time.Second, until: 60 * time.Second}
		what := fmt.Sprintf("seed %d, burst of %v s, %d surges", seed, c.burst, c.surges)
		f := newFleet(t, c)
		f.watchHoldings(what)
		f.RunUntil(c.from)
		f.reset()
		f.RunUntil(c.until)
		span := (c.until - c.from).Seconds()
		bytes := float64(f.bytes) / span / float64(len(f.nodes))
		t.Logf("%s: %.3f admitted, %.0f requests for grants per second, %.0f bytes per second and node", what, f.admittedPart(), float64(f.asks)/span, bytes)
		f.checkOrganisations(what)
		f.checkBound(what)
		if bytes > maxBytes {
			t.Errorf("%s: %.0f bytes per second and node", what, bytes)
		}
	}
}

// Guards against a failure that exceeds a limit, or after which organisations within
// their limit go on being refused.
func TestOrganisationsAfterFailures(t *testing.T) {
	const (
		at       = 20 * time.Second
		answered = 4 * time.Second // after the failure: most are admitted
		restored = 15 * time.Second
		most     = 0.9
	)
	for _, tc := range []struct {
		name  string
		lasts time.Duration
		fail  func(w *simulation)
	}{
		{"lease holder dies", 0, func(w *simulation) { w.node(w.holder()).kill(0) }},
		{"lease holder restarts", 0, func(w *simulation) { w.node(w.holder()).kill(time.Second) }},
		{"node dies with grants", 0, func(w *simulation) {
			for _, n := range w.nodes[:3] {
				if n.id != w.holder() {
					n.kill(0)
				}
			}
		}},
		{"store is down", 20 * time.Second, func(w *simulation) {
			w.down = true
			w.After(20*time.Second, func() { w.down = false })
		}},
		{"power loss", 2 * time.Second, func(w *simulation) {
			for _, n := range w.nodes {
				n.kill(time.Second + time.Duration(w.rng.Int64N(int64(time.Second))))
			}
		}},
	} {
		f := newFleet(t, fleetCase{seed: 1, burst: 0.5})
		f.watchHoldings(tc.name)
		f.RunUntil(at)
		tc.fail(f.simulation)
		f.checkBound(tc.name)
		end := at + tc.lasts
		seconds := ""
		for s := time.Duration(1); s <= answered/time.Second; s++ {
			f.reset()
			f.RunUntil(end + s*time.Second)
			seconds += fmt.Sprintf(" %.2f", f.admittedPart())
		}
		f.RunUntil(end + restored)
		part := f.admittedPart()
		t.Logf("%s: admitted in the seconds after%s, then %.3f", tc.name, seconds, part)
		f.checkBound(tc.name)
		if part < most {
			t.Errorf("%s: %.3f admitted from %v to %v after it", tc.name, part, answered, restored)
		}
		f.reset()
		f.RunUntil(end + restored + 25*time.Second)
		f.checkOrganisations(tc.name)
		f.checkBound(tc.name)
	}
}
