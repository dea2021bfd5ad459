package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// lookup is a chain of calls, each node calling the next one once, whose last
// service is the archive. It counts what a request costs when the archive's
// answers don't come in time.
type lookup struct {
	cfg      *Config
	rng      *rand.Rand
	depth    int
	slow     float64 // share of archive calls that time out
	lost     float64 // share of other calls whose answer is lost
	attempts int
	costs    []Cost
	budgets  []ServiceBudget
	decide   *Decider
	now      time.Duration
}

func newLookup(depth int, slow, lost float64) *lookup {
	cfg := DefaultConfig()
	l := &lookup{
		cfg: &cfg, rng: rand.New(rand.NewPCG(1, 2)), depth: depth, slow: slow, lost: lost,
		costs: make([]Cost, depth), budgets: make([]ServiceBudget, depth),
	}
	l.decide = NewDecider(&cfg, l.rng)
	for i := range l.budgets {
		l.budgets[i] = NewServiceBudget(&cfg, 0)
	}
	return l
}

// perHop makes the call at a depth with up to PerCall tries of its own, as
// clients do that know nothing of each other.
func (l *lookup) perHop(d int) bool {
	for range l.cfg.PerCall {
		l.attempts++
		if (d+1 == l.depth || l.perHop(d+1)) && !l.fails(d) {
			return true
		}
	}
	return false
}

func (l *lookup) fails(d int) bool {
	if d+1 == l.depth {
		return l.rng.Float64() < l.slow
	}
	return l.rng.Float64() < l.lost
}

// bounded makes it with the request's allowance.
func (l *lookup) bounded(d int, p *RequestAllowance) bool {
	var sub Call
	for {
		g, ok := p.Start(&sub, l.costs[d].Below())
		if !ok {
			return false
		}
		l.attempts++
		a := l.run(d, g)
		if l.fails(d) {
			a = Answer{} // its answer, with what it brought back, is lost
		}
		p.Settle(&sub, &g, a)
		if a.Outcome == request.Completed {
			l.costs[d].Observe(l.cfg, a.Made)
		}
		r := Result{
			Outcome: a.Outcome, Code: status.CodeConnectionLost, Attempts: sub.Attempts(),
			Left: p.Left(), Below: l.costs[d].Below(), MayHaveRun: sub.MayHaveRun(), Idempotent: true,
		}
		l.budgets[d].Observe(l.now, r.Outcome, r.Code)
		if !l.decide.Decide(l.now, &r, &l.budgets[d]).Retry() {
			return a.Outcome == request.Completed
		}
	}
}

func (l *lookup) run(d int, g Grant) Answer {
	if d+1 == l.depth {
		return Answer{Outcome: request.Completed, Unspent: g.Allowance}
	}
	p := NewRequestAllowance(g.Allowance, g.Repeat)
	a := Answer{Outcome: request.Failed}
	if l.bounded(d+1, &p) {
		a.Outcome = request.Completed
	}
	a.Made, a.Unspent = p.Made(), p.Close()
	return a
}

// request is one request from its entry node, 10 ms after the one before.
func (l *lookup) request() bool {
	l.now += 10 * time.Millisecond
	p := NewRequestAllowance(l.cfg.Attempts, false)
	return l.bounded(0, &p)
}

// Symptom: a single slow archive lookup turns into dozens of calls.
// Events: the archive, four calls deep, answers nothing in time; each hop tries
// three times. Cause: tries of the hops multiply.
func TestSlowLookup(t *testing.T) {
	const requests = 1000
	l := newLookup(4, 0, 0)
	for range requests { // the costs are learned while all is well
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
		t.Fatalf("%d attempts, at most %d expected with the budget", l.attempts, most)
	}
}

// BenchmarkLookup reports attempts for each request and the share completed, of
// 20,000 requests four calls deep.
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
			l := newLookup(4, c.slow, c.lost)
			report(b, l, func() bool { return l.perHop(0) })
		})
		b.Run(c.name+"/allowance", func(b *testing.B) {
			l := newLookup(4, c.slow, c.lost)
			report(b, l, l.request)
		})
	}
}

func report(b *testing.B, l *lookup, try func() bool) {
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
