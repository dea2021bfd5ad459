package targetspeed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/request"
	"peardrift/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const (
	ms   = time.Millisecond
	work = 90 * ms // usual time of class "read"
)

// machine is a target that becomes 2.5 times slower for 600 ms out of each 4 s.
type machine struct {
	m       *Meter
	rng     *rand.Rand
	now     time.Duration
	figure  func(factor float64) int
	changes []Change
	worst   float64 // largest ratio of the estimate to the true time, or the inverse
	judged  time.Duration
	ends    map[time.Duration][]Call
}

func newMachine(figure func(float64) int) *machine {
	return &machine{m: New(DefaultConfig()), rng: rand.New(rand.NewPCG(1, 2)), figure: figure, ends: make(map[time.Duration][]Call)}
}

func honest(f float64) int { return int(100 * f) }

func factorAt(now time.Duration) float64 {
	if now%(4*time.Second) >= 3400*ms {
		return 2.5
	}
	return 1
}

// settled reports whether a call that ended now ran at the present speed from its start.
func settled(now time.Duration) bool {
	return factorAt(now) == factorAt(max(now-400*ms, 0))
}

// run starts one call every 2 ms, whose times vary by a quarter and follow the speed at
// their start.
func (x *machine) run(until time.Duration) {
	for ; x.now < until; x.now += 2 * ms {
		f := factorAt(x.now)
		for _, c := range x.ends[x.now] {
			c.Figure = x.figure(f)
			if ch := x.m.Ended(x.now, &c); ch != NoChange {
				x.changes = append(x.changes, ch)
			}
		}
		delete(x.ends, x.now)
		took := time.Duration(f * float64(work) * (0.75 + x.rng.Float64()/2)).Round(2 * ms)
		x.ends[x.now+took] = append(x.ends[x.now+took], Call{Class: "read", Took: took, Before: x.figure(f)})
		if x.judged > 0 && x.now > x.judged && settled(x.now) {
			r := x.m.ClassTime(x.now, "read").Seconds() / (f * work.Seconds())
			x.worst = max(x.worst, r, 1/r)
		}
	}
}

// Guards against an honest figure that is not believed, and against estimates that don't
// follow it: a slowdown of 2.5 times has to be seen in callers' choices while it lasts.
func TestHonestFigureIsFollowed(t *testing.T) {
	is := is.New(t)
	x := newMachine(honest)
	x.judged = 10 * time.Second
	x.run(42 * time.Second)
	is.Equal(len(x.changes), 0)
	is.True(x.worst < disagreement)
	// The figure counts with the first answer that carries it.
	before := x.m.ClassTime(x.now, "read")
	x.m.Ended(x.now, &Call{Class: "read", Figure: 250})
	after := x.m.ClassTime(x.now, "read")
	is.True(after > 2*before)
}

// Guards against estimates that follow a false figure: one that is always 50 or 400 must
// change no estimate, and what the node measures counts once the target is slow.
func TestConstantFalseFigureChangesNothing(t *testing.T) {
	for _, figure := range []int{50, 400} {
		is := is.New(t)
		x := newMachine(func(float64) int { return figure })
		x.judged = 10 * time.Second
		x.run(40 * time.Second)
		is.True(x.worst < disagreement)
		is.True(len(x.changes) > 0)
		is.Equal(x.changes[0], Lost)
	}
}

// Guards against a figure that changes by chance and is followed: callers would swing
// between targets.
func TestRandomFigureLosesTrust(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(3, 4))
	figure, until := 100, time.Duration(0)
	var x *machine
	x = newMachine(func(float64) int {
		if x.now >= until {
			figure, until = []int{50, 100, 400}[rng.IntN(3)], x.now+600*ms
		}
		return figure
	})
	x.run(20 * time.Second)
	is.True(len(x.changes) > 0)
	is.Equal(x.changes[0], Lost)
}

// Guards against times or factors stated for targets that state no figure, for which
// callers have to behave as before.
func TestNoFigureStatesNothing(t *testing.T) {
	is := is.New(t)
	x := newMachine(func(float64) int { return 0 })
	x.run(10 * time.Second)
	is.Equal(x.m.ClassTime(x.now, "read"), time.Duration(0))
	is.Equal(x.m.Factor(x.now), 1.0)
}

// Guards against figures that outlive their validity, and against times stated from too
// few calls after a start.
func TestOldFiguresAndFewCallsStateNothing(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	end := func(now time.Duration, n int) {
		for range n {
			m.Ended(now, &Call{Class: "read", Took: work, Figure: 100})
		}
	}
	end(0, 7)
	is.Equal(m.ClassTime(0, "read"), time.Duration(0))
	end(0, 1)
	is.Equal(m.ClassTime(0, "read").Round(ms), work)
	is.Equal(m.ClassTime(0, "other"), time.Duration(0))
	is.Equal(m.ClassTime(2*time.Second, "read"), time.Duration(0))
}

// Guards against estimates or trust out of range, and against unbounded state, for any
// times, figures and order of events.
func TestAnyInputStaysInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		m := New(cfg)
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "now"))
			class := request.Class(rapid.StringMatching(`[a-z]{1,2}`).Draw(t, "class"))
			m.Ended(now, &Call{
				Class: class, Took: time.Duration(rapid.Int64Range(-1, int64(time.Hour)).Draw(t, "took")),
				Before: rapid.IntRange(0, 10000).Draw(t, "before"), Figure: rapid.IntRange(0, 10000).Draw(t, "figure"),
			})
			s := m.Stats(now)
			if s.Trust < 0 || s.Trust > 1 || !(m.Factor(now) > 0) || m.ClassTime(now, class) < 0 {
				t.Fatalf("out of range: %+v, factor %v", s, m.Factor(now))
			}
		}
		if len(m.classes) > cfg.MaxClasses {
			t.Fatalf("%d classes", len(m.classes))
		}
	})
}

// Guards against measurements that add garbage to every call.
func TestEndedDoesNotAllocate(t *testing.T) {
	x := newMachine(honest)
	x.run(time.Second)
	if n := testing.AllocsPerRun(1000, func() {
		x.now += ms
		x.m.Ended(x.now, &Call{Class: "read", Took: work, Before: 100, Figure: 100})
		x.m.ClassTime(x.now, "read")
	}); n != 0 {
		t.Fatalf("%v allocations a call, want 0", n)
	}
}

func BenchmarkEnded(b *testing.B) {
	x := newMachine(honest)
	x.run(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		x.now += ms
		x.m.Ended(x.now, &Call{Class: "read", Took: work, Before: 100, Figure: 100})
		x.m.ClassTime(x.now, "read")
	}
}
