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

// picker is one caller's policy for choosing among targets 0 to n-1.
type picker interface {
	pick(now time.Duration) (int, bool)
	done(now time.Duration, i int, r *Result)
}

// tablePicker is the policy of this package.
type tablePicker struct {
	t        *Table
	position map[request.TargetID]int
	index    map[int]int // index in the table, by target
}

func newTablePicker(cfg *Config, caller int, zone string, ts []Target) picker {
	r := &tablePicker{position: map[request.TargetID]int{}, index: map[int]int{}}
	r.t = NewTable(cfg, Locality{Caller: uint64(caller), Region: "r", Zone: zone}, rand.New(rand.NewPCG(uint64(caller), 9)))
	r.t.Update(0, ts, 0)
	for i, tg := range ts {
		r.position[tg.ID] = i
	}
	return r
}

func (r *tablePicker) pick(now time.Duration) (int, bool) {
	idx, ok := r.t.Pick(now, 0, nil)
	if !ok {
		return 0, false
	}
	r.t.Started(now, idx)
	i := r.position[r.t.Target(idx).ID]
	r.index[i] = idx
	return i, true
}

func (r *tablePicker) done(now time.Duration, i int, res *Result) { r.t.Done(now, r.index[i], res) }

// leastOf picks, of n random targets, the one with the fewest calls in flight from this
// caller; with n of 1 it is random.
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

// server simulates a target with slots, a queue and faults.
type server struct {
	free        []time.Duration // when each slot becomes free
	pending     []time.Duration // when the calls in flight end
	slowness    float64
	fails       bool // fails each call immediately
	reportsIdle bool // always reports no load
	down        bool
	received    int
}

// serve returns when a call that arrives at now ends, and its result.
func (s *server) serve(now, work time.Duration) (time.Duration, Result) {
	s.received++
	switch {
	case s.down:
		return now, Result{Kind: ConnectionFailed}
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
	if s.reportsIdle {
		r.InFlight = 0
	}
	return end, r
}

type completion struct {
	at     time.Duration
	caller int
	target int
	r      Result
}

type queue []completion

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(completion)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// scenario is a service under load and a fault at half time.
type scenario struct {
	name    string
	perZone []int
	load    float64 // fraction of the targets' slots
	callers int
	fault   func(ss []*server)
}

const (
	few      = 24  // callers
	many     = 480 // 20 x few, each with a twentieth of the calls
	seeds    = 5
	duration = 20 * time.Second
	oneWay   = 1500 * time.Microsecond
)

var scenarios = []scenario{
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
	{"one-slow-says-idle", []int{4, 4, 4}, 0.6, few, func(ss []*server) { ss[0].slowness, ss[0].reportsIdle = 5, true }},
	{"one-fails-fast", []int{4, 4, 4}, 0.6, few, func(ss []*server) { ss[0].fails = true }},
	{"one-crashes", []int{4, 4, 4}, 0.6, few, func(ss []*server) { ss[0].down = true }},
}

// measured holds the measurements of the second half.
type measured struct {
	calls, failed, remote int
	latencies             []time.Duration
}

func (m *measured) quantile(q float64) time.Duration {
	slices.Sort(m.latencies)
	return m.latencies[int(q*float64(len(m.latencies)-1))]
}

func (sc scenario) run(seed uint64, newPicker func(caller int, zone string, ts []Target) picker) *measured {
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
		ps[c] = newPicker(c, zone(c), ts)
	}
	m, q := &measured{}, queue{}
	gap := float64(10*ms) / (sc.load * float64(20*len(ts)))
	for now := time.Duration(0); now < duration; now += time.Duration(rng.ExpFloat64() * gap) {
		for len(q) > 0 && q[0].at <= now {
			e := heap.Pop(&q).(completion)
			ps[e.caller].done(e.at, e.target, &e.r)
		}
		half := now >= duration/2
		if half && sc.fault != nil {
			sc.fault(ss)
			sc.fault = nil
		}
		c := rng.IntN(sc.callers)
		i, ok := ps[c].pick(now)
		if !ok {
			m.failed++
			continue
		}
		delay := time.Duration(0)
		if ts[i].Zone != zone(c) {
			delay = oneWay
		}
		at, r := ss[i].serve(now+delay, time.Duration(rng.ExpFloat64()*float64(10*ms)))
		r.Latency = at + delay - now
		heap.Push(&q, completion{now + r.Latency, c, i, r})
		if half {
			m.add(&r, delay > 0)
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
	m.latencies = append(m.latencies, r.Latency)
}

func (m *measured) merge(n *measured) {
	m.calls += n.calls
	m.failed += n.failed
	m.remote += n.remote
	m.latencies = append(m.latencies, n.latencies...)
}

func (m *measured) report(b *testing.B) {
	b.ReportMetric(1000*float64(m.failed)/float64(m.calls), "failed/1000")
	b.ReportMetric(m.quantile(0.5).Seconds()*1000, "p50-ms")
	b.ReportMetric(m.quantile(0.99).Seconds()*1000, "p99-ms")
	b.ReportMetric(float64(m.remote)/float64(m.calls), "remote/call")
}

// BenchmarkScenes reports, for 10 s and several seeds: failed calls per thousand,
// latency quantiles, and the fraction of calls to other zones.
func BenchmarkScenes(b *testing.B) {
	cfg := DefaultConfig()
	policies := []struct {
		name      string
		newPicker func(int, string, []Target) picker
	}{
		{"random", func(c int, _ string, ts []Target) picker {
			return &leastOf{1, make([]int, len(ts)), rand.New(rand.NewPCG(uint64(c), 9))}
		}},
		{"least-of-two", func(c int, _ string, ts []Target) picker {
			return &leastOf{2, make([]int, len(ts)), rand.New(rand.NewPCG(uint64(c), 9))}
		}},
		{"route", func(c int, zone string, ts []Target) picker { return newTablePicker(&cfg, c, zone, ts) }},
	}
	for _, sc := range scenarios {
		for _, w := range policies {
			b.Run(sc.name+"/"+w.name, func(b *testing.B) {
				for b.Loop() {
					all, worst := &measured{}, time.Duration(0)
					for seed := range uint64(seeds) {
						m := sc.run(seed, w.newPicker)
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
