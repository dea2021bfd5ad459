package route

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

// Guards against a report that arrives late and replaces a newer one: an answer whose body
// streams for a second ends after others that have left later.
func TestOlderReportIsIgnored(t *testing.T) {
	is := is.New(t)
	tb := newTable(targets(1))
	idx, _ := tb.Pick(0, 0, nil)
	end := func(at time.Duration, inFlight int, classTime time.Duration) {
		tb.Started(at, idx)
		tb.Done(2*time.Second, idx, &Result{
			Kind: Success, Latency: 5 * ms, InFlight: inFlight, Limit: 100, ReportedAt: at, Class: "c", ClassTime: classTime,
		})
	}
	end(time.Second, 80, 10*ms)
	end(1900*ms, 20, 10*ms)
	end(900*ms, 99, 50*ms)
	is.Equal(tb.entries[idx].reportedLoad, 0.2)
	is.Equal(tb.entries[idx].pace.last, 1.0)
}

// pickBySpeed makes one call per interval to six targets, half of which take three times as
// long, and returns the fraction of the last half that went to the slow ones.
func pickBySpeed(n int, interval, objective time.Duration, stated bool) float64 {
	ts := targets(6)
	tb := newTable(ts)
	slow, last := 0, 0
	for i := range n {
		now := time.Duration(i) * interval
		idx, _ := tb.PickFor(now, &Call{Class: "c", Objective: objective}, nil)
		tb.Started(now, idx)
		took, isSlow := 100*ms, false
		for _, tg := range ts[:3] {
			isSlow = isSlow || tg.ID == tb.Target(idx).ID
		}
		if isSlow {
			took = 300 * ms
		}
		r := Result{Kind: Success, Latency: 100 * ms, InFlight: 4, Limit: 100, Class: "c"}
		if stated {
			r.ClassTime = took
		}
		tb.Done(now+took, idx, &r)
		if i >= n/2 {
			last++
			if isSlow {
				slow++
			}
		}
	}
	return float64(slow) / float64(last)
}

// Guards against calls that miss their objective at slow targets while fast ones are free,
// also of a caller with one call a second, which has only old answers of most targets.
func TestFastTargetsPreferredWithinObjective(t *testing.T) {
	is := is.New(t)
	for _, interval := range []time.Duration{10 * ms, time.Second} {
		is.True(pickBySpeed(400, interval, 400*ms, true) <= 0.05)
	}
}

// Guards against load that concentrates on fast targets although all meet the objective,
// and against any change where no class time is stated or the class has no objective.
func TestLoadSpreadsWhereObjectiveIsMet(t *testing.T) {
	is := is.New(t)
	for _, f := range []float64{
		pickBySpeed(4000, 10*ms, 2*time.Second, true), pickBySpeed(4000, 10*ms, 400*ms, false), pickBySpeed(4000, 10*ms, 0, true),
	} {
		is.True(f > 0.4 && f < 0.6)
	}
}

// Guards against a target without measurements, as after a start, that gets no calls
// because nothing is known of its speed, or all of them.
func TestUnknownSpeedGetsShare(t *testing.T) {
	is := is.New(t)
	ts := targets(4)
	tb := newTable(ts)
	got := simulate(tb, 0, 400, 10*ms, func(_ time.Duration, tg Target) Result {
		r := Result{Kind: Success, Latency: 100 * ms, InFlight: 4, Limit: 100, Class: "c", ClassTime: 100 * ms}
		if tg.ID == ts[0].ID {
			r.ClassTime = 0
		}
		return r
	})
	is.True(got[ts[0].ID] > 50 && got[ts[0].ID] < 150)
}

// Guards against classes named in answers that fill memory.
func TestClassTimesAreBounded(t *testing.T) {
	is := is.New(t)
	tb := newTable(targets(1))
	idx, _ := tb.Pick(0, 0, nil)
	for i := range 1000 {
		tb.Started(0, idx)
		tb.Done(0, idx, &Result{Kind: Success, Class: request.Class(strconv.Itoa(i)), ClassTime: time.Duration(i+1) * ms})
	}
	is.Equal(len(tb.classTimes), maxClassTimes)
}

// newFullTable returns a table of three zones whose own one is short, or has slow targets.
func newFullTable(load int) *Table {
	cfg := poolConfig(pooled)
	tb := newTable(targets(6, 5, 5))
	tb.cfg = &cfg
	for i := range tb.entries {
		tb.Started(0, i)
		tb.Done(0, i, &Result{Kind: Success, Latency: 20 * ms, InFlight: load, Limit: 100, Class: fleetClass, ClassTime: time.Duration(20+10*(i%2)) * ms})
	}
	return tb
}

// Guards against an allocation for each choice.
func TestPickForDoesNotAllocate(t *testing.T) {
	for _, load := range []int{10, 105} {
		tb := newFullTable(load)
		call, now := &Call{Class: fleetClass, Objective: 50 * ms}, time.Duration(0)
		if n := testing.AllocsPerRun(1000, func() {
			now += 10 * time.Microsecond
			tb.PickFor(now, call, nil)
		}); n != 0 {
			t.Fatalf("%v allocations a pick at load %d, want 0", n, load)
		}
	}
}

// BenchmarkPickFor measures a pick where targets have spare capacity and miss the objective,
// and where the own zone is short of capacity.
func BenchmarkPickFor(b *testing.B) {
	for name, load := range map[string]int{"spare": 10, "short": 105} {
		b.Run(name, func(b *testing.B) {
			tb := newFullTable(load)
			call, now := &Call{Class: fleetClass, Objective: 30 * ms}, time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				if now >= time.Second { // reports stay recent
					now = 0
				}
				tb.PickFor(now, call, nil)
			}
		})
	}
}

// Guards against calls that a target admits by an exemption and that go to another one,
// of which no level is known, because they are below the target's level.
func TestExemptCallsAreNotTakenForRefused(t *testing.T) {
	is := is.New(t)
	ts := targets(1, 1)
	tb := newTable(ts)
	level := request.Level(60 << 16)
	idx, _ := tb.Pick(0, 0, nil)
	tb.Started(0, idx)
	tb.Done(0, idx, &Result{Kind: Success, Latency: ms, Level: level, HasLevel: true, Exempt: []request.Level{20<<16 | 100}})
	at := func(p request.Priority) string {
		i, _ := tb.Pick(ms, p, nil)
		return tb.Target(i).Zone
	}
	is.Equal(at(20<<16|100), "z0")
	is.Equal(at(20<<16|99), "z1")  // below the exemption
	is.Equal(at(30<<16|200), "z1") // of an importance without one
	is.Equal(at(60<<16), "z0")
}
