package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"peardrift/internal/core/request"
)

// picker is one caller's way to choose among targets 0 to n-1.
type picker interface {
	pick(now time.Duration) (int, bool)
	done(now time.Duration, i int, r *Result)
}

// routed is the way of this package.
type routed struct {
	t     *Table
	place map[request.TargetID]int
	index map[int]int // of the table, by target
}

func newRouted(cfg *Config, caller int, zone string, ts []Target) picker {
	r := &routed{place: map[request.TargetID]int{}, index: map[int]int{}}
	r.t = NewTable(cfg, Place{Caller: uint64(caller), Region: "r", Zone: zone}, rand.New(rand.NewPCG(uint64(caller), 9)))
	r.t.Update(0, ts, 0)
	for i, tg := range ts {
		r.place[tg.ID] = i
	}
	return r
}

func (r *routed) pick(now time.Duration) (int, bool) {
	idx, ok := r.t.Pick(now, 0, nil)
	if !ok {
		return 0, false
	}
	r.t.Started(now, idx)
	i := r.place[r.t.Target(idx).ID]
	r.index[i] = idx
	return i, true
}

func (r *routed) done(now time.Duration, i int, res *Result) { r.t.Done(now, r.index[i], res) }

// leastOf picks the one with the fewest calls in flight from here of n random
// ones; with one it is random.
type leastOf struct {
	n        int
	inFlight []int
	rng      *rand.Rand
}

func (l *leastOf) pick(time.Duration) (int, bool) {
	best := l.rng.IntN(len(l.inFlight))
	for range l.n - 1 {
		if i := l.rng.IntN(len(l.inFlight)); l.inFlight[i] < l.inFlight[best] {
			best = i
		}
	}
	l.inFlight[best]++
	return best, true
}

func (l *leastOf) done(_ time.Duration, i int, _ *Result) { l.inFlight[i]-- }

// server is a target with its slots, a queue and what is wrong with it.
type server struct {
	free     []time.Duration // when each slot is free
	pending  []time.Duration // ends of the calls in hand
	slowness float64
	fails    bool // each call, at once
	idle     bool // says that it is
	down     bool
	got      int
}

// serve returns how a call that arrives at now ends, and when.
func (s *server) serve(now, work time.Duration) (time.Duration, Result) {
	s.got++
	switch {
	case s.down:
		return now, Result{Kind: Broken}
	case s.fails:
		return now + ms/10, Result{Kind: Failure}
	}
	i := 0
	for j := range s.free {
		if s.free[j] < s.free[i] {
			i = j
		}
	}
	end := max(now, s.free[i]) + time.Duration(float64(work)*s.slowness)
	s.free[i] = end
	s.pending = append(s.pending, end)
	s.pending = slices.DeleteFunc(s.pending, func(e time.Duration) bool { return e <= now })
	r := Result{Kind: Success, InFlight: len(s.pending), Limit: len(s.free)}
	if s.idle {
		r.InFlight = 0
	}
	return end, r
}

type end struct {
	at     time.Duration
	caller int
	target int
	r      Result
}

type queue []end

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(end)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// scene is a service under load and what happens to it at half time.
type scene struct {
	name    string
	perZone []int
	load    float64 // of the targets' slots
	callers int
	happens func(ss []*server)
}

const (
	few    = 24  // callers
	many   = 480 // each with a twentieth of the calls
	seeds  = 5
	play0  = 20 * time.Second
	oneWay = 1500 * time.Microsecond
)

var scenes = []scene{
	{"even", []int{4, 4, 4}, 0.6, few, nil},
	{"even-busy", []int{4, 4, 4}, 0.85, few, nil},
	{"small-zone", []int{1, 4, 4}, 0.6, few, nil},
	{"small-zone-busy", []int{1, 4, 4}, 0.85, few, nil},
	{"many-callers", []int{4, 4, 4}, 0.6, many, nil},
	{"many-callers-busy", []int{4, 4, 4}, 0.85, many, nil},
	{"many-callers-small-zone-busy", []int{1, 4, 4}, 0.85, many, nil},
	{"many-callers-one-slow", []int{4, 4, 4}, 0.6, many, func(ss []*server) { ss[0].slowness = 5 }},
	{"many-callers-one-fails-fast", []int{4, 4, 4}, 0.6, many, func(ss []*server) { ss[0].fails = true }},
	{"many-callers-one-crashes", []int{4, 4, 4}, 0.6, many, func(ss []*server) { ss[0].down = true }},
	{"one-slow", []int{4, 4, 4}, 0.6, few, func(ss []*server) { ss[0].slowness = 5 }},
	{"one-slow-says-idle", []int{4, 4, 4}, 0.6, few, func(ss []*server) { ss[0].slowness, ss[0].idle = 5, true }},
	{"one-fails-fast", []int{4, 4, 4}, 0.6, few, func(ss []*server) { ss[0].fails = true }},
	{"one-crashes", []int{4, 4, 4}, 0.6, few, func(ss []*server) { ss[0].down = true }},
}

// measured is taken over the second half.
type measured struct {
	calls, failed, remote int
	took                  []time.Duration
}

func (m *measured) quantile(q float64) time.Duration {
	slices.Sort(m.took)
	return m.took[int(q*float64(len(m.took)-1))]
}

func (sc scene) run(seed uint64, way func(caller int, zone string, ts []Target) picker) *measured {
	rng := rand.New(rand.NewPCG(seed, 4))
	ts := targets(sc.perZone...)
	ss := make([]*server, len(ts))
	for i := range ss {
		ts[i].Slots = 20
		ss[i] = &server{free: make([]time.Duration, 20), slowness: 1}
	}
	zone := func(caller int) string { return fmt.Sprintf("z%d", caller%len(sc.perZone)) }
	ps := make([]picker, sc.callers)
	for c := range ps {
		ps[c] = way(c, zone(c), ts)
	}
	m, q := &measured{}, queue{}
	gap := float64(10*ms) / (sc.load * float64(20*len(ts)))
	for now := time.Duration(0); now < play0; now += time.Duration(rng.ExpFloat64() * gap) {
		for len(q) > 0 && q[0].at <= now {
			e := heap.Pop(&q).(end)
			ps[e.caller].done(e.at, e.target, &e.r)
		}
		half := now >= play0/2
		if half && sc.happens != nil {
			sc.happens(ss)
			sc.happens = nil
		}
		c := rng.IntN(sc.callers)
		i, ok := ps[c].pick(now)
		if !ok {
			m.failed++
			continue
		}
		way := time.Duration(0)
		if ts[i].Zone != zone(c) {
			way = oneWay
		}
		at, r := ss[i].serve(now+way, time.Duration(rng.ExpFloat64()*float64(10*ms)))
		r.Latency = at + way - now
		heap.Push(&q, end{now + r.Latency, c, i, r})
		if half {
			m.add(&r, way > 0)
		}
	}
	return m
}

func (m *measured) add(r *Result, remote bool) {
	m.calls++
	if remote {
		m.remote++
	}
	if r.Kind != Success {
		m.failed++
		return
	}
	m.took = append(m.took, r.Latency)
}

func (m *measured) merge(n *measured) {
	m.calls += n.calls
	m.failed += n.failed
	m.remote += n.remote
	m.took = append(m.took, n.took...)
}

func (m *measured) report(b *testing.B) {
	b.ReportMetric(1000*float64(m.failed)/float64(m.calls), "failed/1000")
	b.ReportMetric(m.quantile(0.5).Seconds()*1000, "p50-ms")
	b.ReportMetric(m.quantile(0.99).Seconds()*1000, "p99-ms")
	b.ReportMetric(float64(m.remote)/float64(m.calls), "remote/call")
}

// BenchmarkScenes reports of 10 s for each of several seeds: calls failed, in a
// thousand; quantiles of the time to answer; the share that went to other zones.
func BenchmarkScenes(b *testing.B) {
	cfg := DefaultConfig()
	ways := []struct {
		name string
		way  func(int, string, []Target) picker
	}{
		{"random", func(c int, _ string, ts []Target) picker {
			return &leastOf{1, make([]int, len(ts)), rand.New(rand.NewPCG(uint64(c), 9))}
		}},
		{"least-of-two", func(c int, _ string, ts []Target) picker {
			return &leastOf{2, make([]int, len(ts)), rand.New(rand.NewPCG(uint64(c), 9))}
		}},
		{"route", func(c int, zone string, ts []Target) picker { return newRouted(&cfg, c, zone, ts) }},
	}
	for _, sc := range scenes {
		for _, w := range ways {
			b.Run(sc.name+"/"+w.name, func(b *testing.B) {
				for b.Loop() {
					all, worst := &measured{}, time.Duration(0)
					for seed := range uint64(seeds) {
						m := sc.run(seed, w.way)
						worst = max(worst, m.quantile(0.99))
						all.merge(m)
					}
					b.ReportMetric(worst.Seconds()*1000, "p99-ms-worst-seed")
					all.report(b)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
