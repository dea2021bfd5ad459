package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
)

// pacedTable returns a table whose service reports a level within importance 50 from 32
// targets, the most that are recorded.
func pacedTable() (*Table, *earlyrefusal.Table) {
	cfg := earlyrefusal.DefaultConfig().WithPacing()
	levels := earlyrefusal.NewTable(&cfg, rand.New(rand.NewPCG(1, 1)))
	return New(DefaultConfig(), levels), levels
}

func learn(levels *earlyrefusal.Table, now time.Duration) {
	for i := range 32 {
		levels.Learn(now, key, earlyrefusal.Report{
			Target: request.TargetID(i + 1), Own: request.LowestPriority(50) + 1<<15, Chain: request.LowestPriority(50) + 1<<14, Slots: 100,
		})
	}
}

// Guards against decisions that add garbage to every request.
func TestDecisionsDoNotAllocate(t *testing.T) {
	tab, levels := pacedTable()
	now := time.Duration(0)
	learn(levels, now)
	n := testing.AllocsPerRun(1000, func() {
		now += ms / 10
		tab.Arrived(now, key, 50)
		tab.Start(now, key, 50)
		tab.Next(now, key, 50)
	})
	if n != 0 {
		t.Fatalf("%v allocations per request, want 0", n)
	}
}

// BenchmarkRequest measures the decisions on one request: its arrival, an attempt to start
// it, the time of the next one, and the level of its identity.
func BenchmarkRequest(b *testing.B) {
	tab, levels := pacedTable()
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			b.StopTimer()
			learn(levels, now)
			b.StartTimer()
		}
		now += ms / 10
		tab.Arrived(now, key, 50)
		tab.Start(now, key, 50)
		tab.Next(now, key, 50)
		tab.DrawLevel(key, 50)
	}
}
