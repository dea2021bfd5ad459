package resend

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

// The simulation: the targets of one service reject 55 of 100 sends for 8.5 s, regardless
// of their load.
const (
	simTargets  = 5
	simCallers  = 85
	rejectPart  = 0.55
	rejectFrom  = 25 * time.Second
	rejectUntil = rejectFrom + 8500*time.Millisecond
	callTime    = 20 * time.Millisecond
)

// simClass is a class of requests that make calls to the service one after the other.
type simClass struct {
	importance request.Importance
	calls      int
	perSecond  float64
}

// simMethod decides with which priority the budget sees a call, and whether the budget is
// the target's or the caller's.
type simMethod struct {
	name      string
	none      bool
	priority  func(request.Priority) request.Priority
	atCallers bool
}

var simMethods = []simMethod{
	{name: "no resends", none: true},
	{name: "first come, at the target", priority: func(request.Priority) request.Priority { return request.MaxPriority - 1 }},
	{name: "importance, at the target", priority: func(p request.Priority) request.Priority { return p | 0xffff }},
	{name: "priority, at the callers", priority: samePriority, atCallers: true},
	{name: "priority, at the target", priority: samePriority},
}

func samePriority(p request.Priority) request.Priority { return p }

// simCall is a send that is due.
type simCall struct {
	at       time.Duration
	class    int
	started  time.Duration
	priority request.Priority
	caller   int
	target   int
	left     int // calls of the request, with this one
	resends  int
}

type simCalls []simCall

func (q simCalls) Len() int           { return len(q) }
func (q simCalls) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simCalls) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simCalls) Push(x any)        { *q = append(*q, x.(simCall)) }
func (q *simCalls) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

// simulate returns the share of each class's requests that complete, of those that start
// while targets reject.
func simulate(m simMethod, classes []simClass, seed uint64) []float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	budgets := make([]*Budget, simTargets)
	if m.atCallers {
		budgets = make([]*Budget, simCallers)
	}
	for i := range budgets {
		budgets[i] = NewBudget(config(), 0)
	}
	q := new(simCalls)
	for i, c := range classes {
		for at := time.Duration(0); at < rejectUntil; at += time.Duration(rng.ExpFloat64() / c.perSecond * float64(time.Second)) {
			p := prio(c.importance, rng.Float64())
			heap.Push(q, simCall{at: at, class: i, started: at, priority: p, caller: rng.IntN(simCallers), target: rng.IntN(simTargets), left: c.calls})
		}
	}
	started, completed := make([]int, len(classes)), make([]int, len(classes))
	for q.Len() > 0 {
		c := heap.Pop(q).(simCall)
		counts := c.started >= rejectFrom
		if counts && c.left == classes[c.class].calls && c.resends == 0 {
			started[c.class]++
		}
		rejected := c.at >= rejectFrom && c.at < rejectUntil && rng.Float64() < rejectPart
		again := false
		if !m.none {
			b := budgets[c.target]
			if m.atCallers {
				b = budgets[c.caller]
			}
			p := m.priority(c.priority)
			if c.resends == 0 {
				b.First(c.at, p)
			}
			b.Ended(rejected)
			again = rejected && b.Take(c.at, p, c.resends)
		}
		switch {
		case again:
			c.at += 3 * time.Millisecond
			c.resends++
			heap.Push(q, c)
		case rejected:
		case c.left > 1:
			c.at += callTime
			c.left, c.resends, c.target = c.left-1, 0, rng.IntN(simTargets)
			heap.Push(q, c)
		case counts:
			completed[c.class]++
		}
	}
	shares := make([]float64, len(classes))
	for i := range shares {
		shares[i] = float64(completed[i]) / float64(started[i])
	}
	return shares
}

// mean returns the mean of simulate over seeds.
func mean(m simMethod, classes []simClass) []float64 {
	const seeds = 5
	sum := make([]float64, len(classes))
	for seed := range uint64(seeds) {
		for i, x := range simulate(m, classes, seed) {
			sum[i] += x / seeds
		}
	}
	return sum
}

var simMixes = []struct {
	name    string
	classes []simClass
}{
	{"the budget covers the class of one call", []simClass{{90, 1, 200}, {60, 8, 125}, {30, 4, 200}}},
	{"the budget covers half of the class of eight calls", []simClass{{90, 8, 75}, {60, 4, 150}, {30, 1, 800}}},
}

// Guards against a budget that is spent on requests which don't complete: the most
// important class of one call completes when the budget covers its need, and where it
// covers half of the need of requests with eight calls, nearly half of these complete.
func TestResendsCompleteRequests(t *testing.T) {
	is := is.New(t)
	bounds := []float64{0.95, 0.3}
	for i, mix := range simMixes {
		got := mean(simMethods[len(simMethods)-1], mix.classes)
		t.Logf("%s: %.3f", mix.name, got)
		is.True(got[0] >= bounds[i])
	}
}

// BenchmarkMethods reports the share of requests that complete by method and class.
func BenchmarkMethods(b *testing.B) {
	for _, mix := range simMixes {
		for _, m := range simMethods {
			b.Run(mix.name+"/"+m.name, func(b *testing.B) {
				var got []float64
				for b.Loop() {
					got = mean(m, mix.classes)
				}
				for i, c := range mix.classes {
					b.ReportMetric(got[i], fmt.Sprintf("completed-%d-calls", c.calls))
				}
			})
		}
	}
}
