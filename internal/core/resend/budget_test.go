package resend

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/request"
)

func config() Config {
	cfg := DefaultConfig()
	cfg.Ratio = 0.2
	return cfg
}

// prio returns the priority of an importance at a fraction of its hash range.
func prio(imp request.Importance, part float64) request.Priority {
	return request.Priority(imp)<<16 | request.Priority(part*0xffff)
}

// countIn returns how many times lie in the window of the given length that ends at end.
func countIn(times []time.Duration, end, length time.Duration) (n int) {
	for _, t := range times {
		if t > end-length && t <= end {
			n++
		}
	}
	return n
}

// bound returns the most resends that the platform's bound allows in the window that ends
// at end.
func bound(first []time.Duration, ratio float64, end, length time.Duration) float64 {
	most := max(countIn(first, end, length), countIn(first, end-length/2, length), countIn(first, end-length, length))
	return ratio * float64(most)
}

// Guards against more resends of a target than the bound in any window, wherever it
// begins: also in windows that end after the demand, or the node before, has ended.
func TestEveryWindowKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := config()
		cfg.Ratio = rapid.Float64Range(0.05, 1).Draw(rt, "ratio")
		cfg.Window = rapid.SampledFrom([]time.Duration{time.Second, 10 * time.Second}).Draw(rt, "window")
		var first, resends []time.Duration
		now := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, "start"))
		b := NewBudget(cfg, now)
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "event") {
			case 0:
				now += time.Duration(rapid.Int64Range(0, int64(cfg.Window)).Draw(rt, "pause"))
			case 1:
				b = NewBudget(cfg, now) // the node restarts
			default:
				gap := time.Duration(rapid.Int64Range(0, int64(cfg.Window/100)).Draw(rt, "gap"))
				rejects := rapid.IntRange(0, 3).Draw(rt, "rejections")
				p := prio(request.Importance(rapid.IntRange(0, 100).Draw(rt, "importance")), rapid.Float64Range(0, 1).Draw(rt, "hash"))
				for range rapid.IntRange(1, 40).Draw(rt, "sends") {
					now += gap
					b.First(now, p, 0)
					b.Ended(rejects > 0)
					first = append(first, now)
					for n := range rejects {
						if !b.Take(now, p, n) {
							break
						}
						b.Ended(n+1 < rejects)
						resends = append(resends, now)
					}
				}
			}
		}
		for _, at := range slices.Concat(resends, first) {
			for _, after := range []time.Duration{0, 1, cfg.Window/2 - 1, cfg.Window / 2, cfg.Window - 1, cfg.Window, 2*cfg.Window - 1} {
				end := at + after
				if n := countIn(resends, end, cfg.Window); float64(n) > bound(first, cfg.Ratio, end, cfg.Window) {
					rt.Fatalf("%d resends in the window that ends at %v, bound %v", n, end, bound(first, cfg.Ratio, end, cfg.Window))
				}
			}
		}
	})
}

// Guards against targets whose resends together exceed the bound of their service: the
// demand varies, each target's part of it by a twentieth, and nodes restart.
func TestFleetKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := config()
		width := cfg.Window / windowBins
		budgets := make([]*Budget, rapid.IntRange(1, 5).Draw(rt, "targets"))
		for i := range budgets {
			budgets[i] = NewBudget(cfg, 0)
		}
		var first, resends [4 * windowBins]int // by bin, of all targets
		for bin := range first {
			now := time.Duration(bin)*width + width/2
			demand := 20 * rapid.IntRange(1, 12).Draw(rt, "demand")
			if rapid.IntRange(0, 30).Draw(rt, "restart") == 0 {
				budgets[rapid.IntRange(0, len(budgets)-1).Draw(rt, "target")] = NewBudget(cfg, now)
			}
			attempts := rapid.IntRange(0, demand).Draw(rt, "rejections")
			for _, b := range budgets {
				n := demand + rapid.IntRange(-demand/20, demand/20).Draw(rt, "deviation")
				for range n {
					b.First(now, prio(50, 1), 0)
				}
				first[bin] += n
				for range attempts {
					if b.Take(now, prio(50, 1), 0) {
						resends[bin]++
					}
				}
			}
		}
		sum := func(s []int, end int) (n int) {
			for _, x := range s[max(0, end-windowBins):max(0, end)] {
				n += x
			}
			return n
		}
		for end := 1; end <= len(first); end++ {
			most := max(sum(first[:], end), sum(first[:], end-halfBins), sum(first[:], end-windowBins))
			if got := sum(resends[:], end); float64(got) > cfg.Ratio*float64(most) {
				rt.Fatalf("%d resends in the window that ends with bin %d of %d first sends", got, end, most)
			}
		}
	})
}

// serve sends calls of the given priorities in turn at 1,000 a second and returns the
// time.
func serve(b *Budget, now, length time.Duration, rejected bool, ps ...request.Priority) time.Duration {
	for i := range int(length / time.Millisecond) {
		now += time.Millisecond
		b.First(now, ps[i%len(ps)], 0)
		b.Ended(rejected && i%2 == 0)
	}
	return now
}

// Guards against resends in the first window of a node: the one before it may have spent
// the budget.
func TestNewNodeWaitsForOneWindow(t *testing.T) {
	is := is.New(t)
	cfg := config()
	b := NewBudget(cfg, 0)
	now := serve(b, 0, cfg.Window-2*time.Millisecond, false, prio(50, 1))
	is.True(!b.Take(now, prio(50, 1), 0))
	now = serve(b, now, 2*time.Millisecond, false, prio(50, 1))
	is.True(b.Take(now, prio(50, 1), 0))
}

// Guards against spending the budget on less important calls while it does not cover the
// need of more important ones.
func TestBudgetGoesToTheMostImportant(t *testing.T) {
	is := is.New(t)
	b := NewBudget(config(), 0)
	high, low := prio(90, 0.5), prio(20, 0.5)
	now := serve(b, 0, 20*time.Second, false, high, low)
	now = serve(b, now, time.Second, true, high, low) // need of each: half of the calls, more than 0.18
	is.True(!b.Take(now, low, 0))
	is.True(b.Take(now, prio(90, 0.9), 0))
	is.True(!b.Take(now, prio(90, 0.1), 0)) // covers the upper part of the importance only
}

// Guards against keeping the budget from less important calls when the important ones need
// little of it.
func TestRestOfTheBudgetGoesDown(t *testing.T) {
	is := is.New(t)
	b := NewBudget(config(), 0)
	high, low := prio(90, 0.5), prio(20, 0.5)
	mix := []request.Priority{high, low, low, low, low, low, low, low, low, low}
	now := serve(b, 0, 20*time.Second, false, mix...)
	now = serve(b, now, time.Second, true, mix...)
	is.True(b.Take(now, prio(90, 0), 0))
	is.True(b.Take(now, prio(20, 0.99), 0))
	is.True(!b.Take(now, prio(20, 0.1), 0))
}

// Guards against spending what callers' nodes may spend on retries as well: where they may
// spend half of the budget, the target has the other half, and none where they may spend
// all.
func TestCallersRetriesAreLeftToThem(t *testing.T) {
	is := is.New(t)
	cfg := config()
	cfg.Ratio, cfg.Reserve = 0.2, 0
	for _, tt := range []struct{ retries, most float64 }{{0, 0.2}, {0.1, 0.1}, {0.3, 0}} {
		b := NewBudget(cfg, 0)
		var now time.Duration
		const sends = 20000
		for range sends {
			now += time.Millisecond
			b.First(now, prio(50, 1), tt.retries)
		}
		taken := 0.0
		for b.Take(now, prio(50, 1), 0) {
			taken++
		}
		limit := tt.most * cfg.Window.Seconds() * 1000
		is.True(taken <= limit)
		is.True(taken >= 0.95*limit)
	}
}

// Guards against resending one call without end to a target that rejects everything.
func TestResendsOfOneCallAreBounded(t *testing.T) {
	is := is.New(t)
	cfg := config()
	b := NewBudget(cfg, 0)
	now := serve(b, 0, 20*time.Second, false, prio(90, 1))
	is.True(b.Take(now, prio(90, 1), cfg.MaxResends-1))
	is.True(!b.Take(now, prio(90, 1), cfg.MaxResends))
}

// Guards against decisions that add garbage to every call.
func TestDecisionsDoNotAllocate(t *testing.T) {
	b := NewBudget(config(), 0)
	now := serve(b, 0, 20*time.Second, true, prio(90, 0.9), prio(20, 0.9))
	n := testing.AllocsPerRun(10000, func() {
		now += 100 * time.Microsecond
		b.First(now, prio(90, 0.9), 0)
		b.Ended(true)
		b.Take(now, prio(90, 0.9), 0)
	})
	if n != 0 {
		t.Fatalf("%v allocations per call, want 0", n)
	}
}

func BenchmarkBudget(b *testing.B) {
	x := NewBudget(config(), 0)
	now := serve(x, 0, 20*time.Second, true, prio(90, 0.9), prio(20, 0.9))
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		x.First(now, prio(90, 0.9), 0)
		x.Ended(true)
		x.Take(now, prio(90, 0.9), 0)
	}
}
