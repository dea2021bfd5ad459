package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

const ms = time.Millisecond

func targets(perZone ...int) []Target {
	var ts []Target
	for z, n := range perZone {
		for i := range n {
			ts = append(ts, Target{
				ID:          request.TargetIDOf(fmt.Sprintf("t-%d-%d", z, i)),
				Incarnation: 1, Region: "r", Zone: fmt.Sprintf("z%d", z),
				Slots: 100, Conns: 800,
			})
		}
	}
	return ts
}

func newTable(ts []Target) *Table {
	cfg := DefaultConfig()
	t := NewTable(&cfg, Locality{Caller: 1, Region: "r", Zone: "z0"}, rand.New(rand.NewPCG(1, 2)))
	t.Update(0, ts, 0)
	return t
}

// simulate makes n calls, one per interval, with the results that end returns.
func simulate(t *Table, from time.Duration, n int, interval time.Duration, end func(now time.Duration, tg Target) Result) map[request.TargetID]int {
	got := map[request.TargetID]int{}
	for i := range n {
		now := from + time.Duration(i)*interval
		idx, ok := t.Pick(now, 0, nil)
		if !ok {
			continue
		}
		got[t.Target(idx).ID]++
		t.Started(now, idx)
		r := end(now, t.Target(idx))
		t.Done(now, idx, &r)
	}
	return got
}

func TestPrefersZone(t *testing.T) {
	is := is.New(t)
	ts := targets(3, 3, 3)
	got := simulate(newTable(ts), 0, 3000, ms, func(_ time.Duration, tg Target) Result {
		r := Result{Kind: Success, Latency: 5 * ms, InFlight: 40, Limit: 100}
		if tg.Zone != "z0" {
			r.Latency += 3 * ms
		}
		return r
	})
	for _, tg := range ts[:3] {
		is.True(got[tg.ID] > 500) // distributed over the zone
	}
	is.Equal(len(got), 3)
}

// Guards against a target that attracts calls by failing fast: one of six answers each
// call with a failure within 0.1 ms, so it is the fastest and never has calls in
// flight.
func TestFastFailuresDoNotAttractCalls(t *testing.T) {
	is := is.New(t)
	ts := targets(6)
	bad := ts[0].ID
	got := simulate(newTable(ts), 0, 5000, ms, func(_ time.Duration, tg Target) Result {
		if tg.ID == bad {
			return Result{Kind: Failure, Latency: ms / 10}
		}
		return Result{Kind: Success, Latency: 5 * ms}
	})
	is.True(got[bad] < 10) // 5 until it is ejected, then one per ejection
}

func TestOccasionalFastFailuresDoNotAttractCalls(t *testing.T) {
	is := is.New(t)
	ts := targets(6)
	bad, n := ts[0].ID, 0
	tab := newTable(ts)
	got := simulate(tab, 0, 6000, ms, func(_ time.Duration, tg Target) Result {
		if n++; tg.ID == bad && n%3 == 0 { // too rare for an ejection
			return Result{Kind: Failure, Latency: ms / 10}
		}
		return Result{Kind: Success, Latency: 5 * ms}
	})
	is.True(got[bad] < 500) // half of its even share
	is.True(tab.entries[tab.index[bad]].latency >= (5 * ms).Seconds())
}

// Guards against unbounded ejection, which overloads the remaining targets when the
// whole service fails.
func TestEjectionIsBounded(t *testing.T) {
	is := is.New(t)
	ts := targets(10)
	tab := newTable(ts)
	simulate(tab, 0, 2000, ms, func(time.Duration, Target) Result { return Result{Kind: Failure, Latency: ms} })
	is.Equal(tab.countEjected(2*time.Second-ms) <= 3, true)
}

// Guards against losing further calls on a target that crashes with calls in flight and
// returns after 2 s. Membership takes seconds to notice; connections fail immediately.
func TestTargetWithFailedConnectionIsAvoided(t *testing.T) {
	is := is.New(t)
	ts := targets(4)
	down := ts[0].ID
	tab := newTable(ts)
	end := func(now time.Duration, tg Target) Result {
		if tg.ID == down && now < 2*time.Second {
			return Result{Kind: ConnectionFailed}
		}
		return Result{Kind: Success, Latency: 5 * ms}
	}
	got := simulate(tab, 0, 2000, ms, end)
	is.True(got[down] <= 8) // the first one, then one per backoff
	got = simulate(tab, 3*time.Second, 3000, ms, end)
	is.True(got[down] > 400) // receives its share again
}

func TestProbe(t *testing.T) {
	is := is.New(t)
	tab := newTable(targets(1))
	idx, _ := tab.Pick(0, 0, nil)
	tab.Started(0, idx)
	tab.Done(0, idx, &Result{Kind: ConnectionFailed})
	_, ok := tab.Pick(ms, 0, nil)
	is.True(!ok)
	_, ok = tab.NextProbe(ms)
	is.True(!ok) // not before the backoff ends
	p, ok := tab.NextProbe(100 * ms)
	is.True(ok)
	_, ok = tab.Pick(100*ms, 0, nil)
	is.True(!ok) // no call is sent during the probe
	tab.ProbeDone(101*ms, p, true)
	_, ok = tab.Pick(101*ms, 0, nil)
	is.True(ok)
	is.Equal(tab.InFlight(p), 0)
}

// Guards against new calls to a draining target: an answer reports that it leaves, then
// a snapshot with an older announcement of the same incarnation arrives.
func TestLeaveHoldsForIncarnation(t *testing.T) {
	is := is.New(t)
	ts := targets(1)
	tab := newTable(ts)
	idx, _ := tab.Pick(0, 0, nil)
	tab.Started(0, idx)
	tab.Done(0, idx, &Result{Kind: Draining})
	tab.Update(ms, ts, 0)
	_, ok := tab.Pick(ms, 0, nil)
	is.True(!ok)
	ts[0].Incarnation = 2
	tab.Update(2*ms, ts, 0)
	_, ok = tab.Pick(2*ms, 0, nil)
	is.True(ok)
}

// Guards against attributing the end of a call to another target that took over the
// index of the call's target while the call was in flight.
func TestIndexValidAcrossUpdate(t *testing.T) {
	is := is.New(t)
	tab := newTable(targets(1))
	old, _ := tab.Pick(0, 0, nil)
	tab.Started(0, old)
	next := targets(0, 1)
	tab.Update(ms, next, 0)
	idx, ok := tab.Pick(ms, 0, nil)
	is.True(ok && idx != old)
	tab.Done(2*ms, old, &Result{Kind: ConnectionFailed})
	_, ok = tab.Pick(2*ms, 0, nil)
	is.True(ok)
	is.Equal(len(tab.free), 1) // the index is free after the call
	tab.Started(2*ms, idx)
	tab.Update(3*ms, targets(0, 0, 1), 0)
	tab.Update(4*ms, targets(0, 0, 0, 1), 0) // reuses the index of the previous target
	tab.Done(5*ms, idx, &Result{Kind: ConnectionFailed})
	now, ok := tab.Pick(5*ms, 0, nil)
	is.True(ok && tab.InFlight(now) == 0)
}

// Guards against trusting a false report: one of four targets always reports full load,
// but is as fast as the others and refuses nothing.
func TestFalseReportsLoseTrust(t *testing.T) {
	is := is.New(t)
	ts := targets(4)
	liar := ts[0].ID
	got := simulate(newTable(ts), 0, 4000, ms, func(_ time.Duration, tg Target) Result {
		r := Result{Kind: Success, Latency: 5 * ms, InFlight: 60, Limit: 100}
		if tg.ID == liar {
			r.InFlight = 100
		}
		return r
	})
	is.True(got[liar] > 500) // half of its even share
}

// Guards against sending calls again and again to a target that reports that it is idle
// but refuses each call immediately.
func TestRefusalsOutweighIdleReport(t *testing.T) {
	is := is.New(t)
	ts := targets(4)
	liar := ts[0].ID
	got := simulate(newTable(ts), 0, 4000, ms, func(_ time.Duration, tg Target) Result {
		if tg.ID == liar {
			return Result{Kind: Shed, InFlight: 0, Limit: 100}
		}
		return Result{Kind: Success, Latency: 5 * ms, InFlight: 60, Limit: 100}
	})
	is.True(got[liar] < 400)
}

func TestSlowStart(t *testing.T) {
	is := is.New(t)
	ts := targets(4)
	ts[0].Since = time.Nanosecond
	end := func(time.Duration, Target) Result { return Result{Kind: Success, Latency: 5 * ms} }
	tab := newTable(ts)
	early := simulate(tab, 0, 1000, ms, end)[ts[0].ID]
	late := simulate(tab, 10*time.Second, 1000, ms, end)[ts[0].ID]
	is.True(early > 0 && early < 120)
	is.True(late > 150)
}

func TestConnectionCap(t *testing.T) {
	is := is.New(t)
	ts := targets(1)
	tab := newTable(ts)
	tab.Update(0, ts, 400) // 400 callers of 800 connections
	n := 0
	for {
		idx, ok := tab.Pick(0, 0, nil)
		if !ok {
			break
		}
		tab.Started(0, idx)
		n++
	}
	is.Equal(n, 8) // PeakFactor times the even share of 2
}

func TestLevelRoutesLowPriorities(t *testing.T) {
	is := is.New(t)
	ts := targets(2)
	tab := newTable(ts)
	strict := ts[0].ID
	level := request.Priority(50) << 16
	simulate(tab, 0, 100, ms, func(_ time.Duration, tg Target) Result {
		r := Result{Kind: Success, Latency: 5 * ms, HasLevel: true}
		if tg.ID == strict {
			r.Level = level
		}
		return r
	})
	for range 50 {
		idx, _ := tab.Pick(100*ms, level-1, nil)
		is.True(tab.Target(idx).ID != strict)
	}
}

func TestTried(t *testing.T) {
	is := is.New(t)
	tab := newTable(targets(3))
	var tried Tried
	for range 3 {
		idx, ok := tab.Pick(0, 0, &tried)
		is.True(ok)
		is.True(!tried.has(int32(idx)))
		tried.Add(idx)
	}
	_, ok := tab.Pick(0, 0, &tried)
	is.True(!ok)
}

func TestPickAllocs(t *testing.T) {
	tab := newTable(targets(6, 6, 6))
	now := time.Duration(0)
	n := testing.AllocsPerRun(1000, func() { now = call(tab, now) })
	if n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func call(tab *Table, now time.Duration) time.Duration {
	now += ms
	idx, _ := tab.Pick(now, 0, nil)
	tab.Started(now, idx)
	tab.Done(now, idx, &Result{Kind: Success, Latency: 5 * ms, HasLevel: true, InFlight: 50, Limit: 100})
	return now
}

func BenchmarkCall(b *testing.B) {
	tab := newTable(targets(6, 6, 6))
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now = call(tab, now)
	}
}

// BenchmarkRareCall refreshes the whole subset at each call.
func BenchmarkRareCall(b *testing.B) {
	tab := newTable(targets(6, 6, 6))
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now = call(tab, now+time.Second)
	}
}
