package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// chainSim is a chain of services, each calling the next one once. It counts the
// attempts that a request makes while answers of the last service time out.
type chainSim struct {
	cfg      *Config
	rng      *rand.Rand
	depth    int
	slow     float64 // fraction of calls of the last service that time out
	lost     float64 // fraction of other calls whose answer is lost
	attempts int
	costs    []CallCount
	budgets  []ServiceBudget
	decide   *Decider
	now      time.Duration
}

func newChainSim(depth int, slow, lost float64) *chainSim {
	cfg := DefaultConfig()
	l := &chainSim{
		cfg: &cfg, rng: rand.New(rand.NewPCG(1, 2)), depth: depth, slow: slow, lost: lost,
		costs: make([]CallCount, depth), budgets: make([]ServiceBudget, depth),
	}
	l.decide = NewDecider(&cfg, l.rng)
	for i := range l.budgets {
		l.budgets[i] = NewServiceBudget(&cfg, 0)
	}
	return l
}

// perHop makes the call at a depth with up to PerCall attempts at each hop, like
// clients that retry independently of each other.
func (l *chainSim) perHop(d int) bool {
	for range l.cfg.PerCall {
		l.attempts++
		if (d+1 == l.depth || l.perHop(d+1)) && !l.fails(d) {
			return true
		}
	}
	return false
}

func (l *chainSim) fails(d int) bool {
	if d+1 == l.depth {
		return l.rng.Float64() < l.slow
	}
	return l.rng.Float64() < l.lost
}

// bounded makes the call with the request's allowance.
func (l *chainSim) bounded(d int, p *RequestAllowance) bool {
	var sub Call
	for {
		g, ok := p.Start(&sub, l.costs[d].Below())
		if !ok {
			return false
		}
		l.attempts++
		a := l.run(d, g)
		if l.fails(d) {
			a = Answer{} // the answer is lost together with the unspent grant
		}
		p.Settle(&sub, &g, a)
		if a.Outcome == request.Completed {
			l.costs[d].Observe(l.cfg, a.AttemptsMade)
		}
		r := Result{
			Outcome: a.Outcome, Code: status.CodeConnectionLost, Attempts: sub.Attempts(),
			AllowanceLeft: p.Left(), CallsBelow: l.costs[d].Below(), MayHaveRun: sub.MayHaveRun(), Idempotent: true,
		}
		l.budgets[d].Observe(l.now, r.Outcome, r.Code)
		if !l.decide.Decide(l.now, &r, &l.budgets[d]).Retry() {
			return a.Outcome == request.Completed
		}
	}
}

func (l *chainSim) run(d int, g Grant) Answer {
	if d+1 == l.depth {
		return Answer{Outcome: request.Completed, Unspent: g.Allowance}
	}
	p := NewRequestAllowance(g.Allowance, g.Repeat)
	a := Answer{Outcome: request.Failed}
	if l.bounded(d+1, &p) {
		a.Outcome = request.Completed
	}
	a.AttemptsMade, a.Unspent = p.AttemptsMade(), p.Close()
	return a
}

// request sends one request from its entry node, 10 ms after the previous one.
func (l *chainSim) request() bool {
	l.now += 10 * time.Millisecond
	p := NewRequestAllowance(l.cfg.Attempts, false)
	return l.bounded(0, &p)
}

// Guards against multiplied retries: with three attempts per hop, a service four calls
// deep that answers nothing in time would get dozens of calls per request.
func TestSlowServiceDoesNotMultiplyRetries(t *testing.T) {
	const requests = 1000
	l := newChainSim(4, 0, 0)
	for range requests { // learn the costs without failures
		l.request()
	}
	l.slow, l.attempts = 1, 0
	worst := 0
	for range requests {
		before := l.attempts
		l.request()
		worst = max(worst, l.attempts-before)
	}
	if worst > 4+l.cfg.Attempts {
		t.Fatalf("%d attempts for one request", worst)
	}
	if most := requests*4 + requests/10; l.attempts > most {
		t.Fatalf("%d attempts; the budget allows at most %d", l.attempts, most)
	}
}

// BenchmarkLookup reports the attempts per request and the fraction of completed
// requests, for 20,000 requests four calls deep.
func BenchmarkLookup(b *testing.B) {
	cases := []struct {
		name       string
		slow, lost float64
	}{
		{"all-slow", 1, 0},
		{"half-slow", 0.5, 0},
		{"tenth-slow", 0.1, 0},
		{"hundredth-lost", 0.01, 0.01},
	}
	for _, c := range cases {
		b.Run(c.name+"/per-hop", func(b *testing.B) {
			l := newChainSim(4, c.slow, c.lost)
			report(b, l, func() bool { return l.perHop(0) })
		})
		b.Run(c.name+"/allowance", func(b *testing.B) {
			l := newChainSim(4, c.slow, c.lost)
			report(b, l, l.request)
		})
	}
}

func report(b *testing.B, l *chainSim, try func() bool) {
	const requests = 20000
	done := 0
	for b.Loop() {
		l.attempts, done = 0, 0
		for range requests {
			if try() {
				done++
			}
		}
	}
	b.ReportMetric(float64(l.attempts)/requests, "attempts/request")
	b.ReportMetric(float64(done)/requests, "completed/request")
}
