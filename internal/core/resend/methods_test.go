package resend

import (
	"container/heap"
	"fmt"
	"math"
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

	// The wave of the demand, whose peak lies in the middle of the rejections.
	waveHeight = 0.55
	wavePeriod = 15 * time.Second
	wavePeak   = (rejectFrom + rejectUntil) / 2
)

// demandAt returns the demand at a time as a fraction of its peak.
func demandAt(at time.Duration, wave bool) float64 {
	if !wave {
		return 1
	}
	phase := 2 * math.Pi * float64(at-wavePeak) / float64(wavePeriod)
	return (1 + waveHeight*math.Cos(phase)) / (1 + waveHeight)
}

// simClass is a class of requests that make calls to the service one after the other.
type simClass struct {
	importance request.Importance
	calls      int
	perSecond  float64 // at the peak
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
func simulate(m simMethod, mix *simMix, seed uint64) []float64 {
	classes := mix.classes
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
			if rng.Float64() > demandAt(at, mix.wave) {
				continue
			}
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
				b.First(c.at, p, 0)
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
func mean(m simMethod, mix *simMix) []float64 {
	const seeds = 5
	sum := make([]float64, len(mix.classes))
	for seed := range uint64(seeds) {
		for i, x := range simulate(m, mix, seed) {
			sum[i] += x / seeds
		}
	}
	return sum
}

type simMix struct {
	name    string
	wave    bool
	classes []simClass
}

var simMixes = []simMix{
	{"covers one call", false, []simClass{{90, 1, 200}, {60, 8, 125}, {30, 4, 200}}},
	{"covers half of eight calls", false, []simClass{{90, 8, 75}, {60, 4, 150}, {30, 1, 800}}},
	{"peak of a wave", true, []simClass{{90, 8, 75}, {60, 4, 150}, {30, 1, 800}}},
}

// Guards against a budget that is spent on requests which don't complete: nearly all of the
// most important class complete where the budget covers its need, and at least twice as
// many as with first come, first served where it covers half of it or less.
func TestResendsCompleteRequests(t *testing.T) {
	is := is.New(t)
	firstCome, byPriority := simMethods[1], simMethods[len(simMethods)-1]
	is.True(mean(byPriority, &simMixes[0])[0] >= 0.95)
	for i := range simMixes[1:] {
		mix := &simMixes[1+i]
		is.True(mean(byPriority, mix)[0] >= 2*mean(firstCome, mix)[0])
	}
}

// BenchmarkMethods reports the share of requests that complete by method and class.
func BenchmarkMethods(b *testing.B) {
	for i := range simMixes {
		mix := &simMixes[i]
		for _, m := range simMethods {
			b.Run(mix.name+"/"+m.name, func(b *testing.B) {
				var got []float64
				for b.Loop() {
					got = mean(m, mix)
				}
				for i, c := range mix.classes {
					b.ReportMetric(got[i], fmt.Sprintf("completed-%d-calls", c.calls))
				}
			})
		}
	}
}
