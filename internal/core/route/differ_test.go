package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// poolConfig is the configuration where bytes between zones are expensive.
func poolConfig(width float64) Config {
	cfg := DefaultConfig()
	cfg.MinHotLoad, cfg.ZoneGap, cfg.PoolWidth = 1, 0.5, width
	return cfg
}

func shortService(load, width float64) *deployment {
	return &deployment{
		cfg: poolConfig(width), seed: 1, callers: 70, zones: 3, slots: 230, speeds: []float64{0.5, 1, 1.5}, load: load,
		work: 90 * ms, oneWay: 900 * time.Microsecond, objective: 500 * ms, timeout: 1200 * ms, duration: 10 * time.Second,
	}
}

func smallShortService(load, width float64) *deployment {
	return &deployment{
		cfg: poolConfig(width), seed: 1, callers: 85, zones: 4, slots: 42, speeds: []float64{0.5, 0.75, 1, 1.25, 1.5}, load: load,
		work: 20 * ms, oneWay: 900 * time.Microsecond, objective: 200 * ms, timeout: 800 * ms, duration: 10 * time.Second,
	}
}

// ampleService is used to 4% and has targets of each speed in each zone.
func ampleService() *deployment {
	f := &deployment{
		cfg: poolConfig(pooled), seed: 1, callers: 85, zones: 4, slots: 77, load: 0.04, work: 140 * ms, tail: 0.03,
		oneWay: 900 * time.Microsecond, objective: 500 * ms, timeout: 3 * time.Second, duration: 30 * time.Second, slows: 0.15,
	}
	for i := range 30 {
		f.speeds = append(f.speeds, []float64{0.6, 1, 1.4}[i/f.zones%3])
	}
	return f
}

const (
	pooled    = 0.25 // default of Config.PoolWidth
	notPooled = 0
	greedy    = 1e-9
	// reportTime is within which a caller has a new report of each target that it uses: it is
	// the longest window in which gates set levels.
	reportTime = 250 * ms
)

// Guards against a service that is not one pool over zones: one zone's callers fail while
// another zone's targets have free slots.
func TestShortServiceIsOnePool(t *testing.T) {
	for name, f := range map[string]*deployment{
		"A 0.7": shortService(0.7, pooled), "A 0.9": shortService(0.9, pooled),
		"B 0.7": smallShortService(0.7, pooled), "B 0.9": smallShortService(0.9, pooled),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := f.run()
			t.Log(r)
			_, worst := r.zoneSpread()
			is.True(worst <= 0.01)
			is.True(r.lateShare() <= 0.01)
			is.True(r.longest <= reportTime)
		})
	}
}

// Guards against zones that fail unlike parts of their calls when the service as a whole is
// over its capacity, and against calls that leave their zone although all zones are full.
func TestOverloadIsSharedOverZones(t *testing.T) {
	for name, make := range map[string]func(load, width float64) *deployment{"A": shortService, "B": smallShortService} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, before := make(1.1, pooled).run(), make(1.1, notPooled).run()
			t.Log(r)
			low, high := r.zoneSpread()
			is.True(high-low <= 0.05)
			is.True(r.longest <= reportTime)
			is.True(r.failed() <= before.failed()+0.01)
			is.True(r.leftShare() <= before.leftShare()+0.1)
		})
	}
}

// Guards against traffic between zones where the service has spare capacity: it is
// expensive, and gains nothing.
func TestSpareCapacityStaysInZone(t *testing.T) {
	is := is.New(t)
	f := shortService(0.4, pooled)
	f.speeds = []float64{1, 1, 1}
	is.True(f.run().leftShare() <= 0.001)
	is.Equal(ampleService().run().left, 0)
}

// Guards against late answers of a service with ample capacity, whose slow targets get as
// many calls as the others.
func TestFastTargetsMeetObjective(t *testing.T) {
	is := is.New(t)
	r := ampleService().run()
	t.Log(r)
	is.True(r.lateShare() <= 0.05)
	is.Equal(r.failed(), 0.0)
}

// Guards against figures that are not true and decide: a target that states that it is
// always fast must not be filled, and one that is always slow must not be avoided.
func TestFalseFiguresAreHarmless(t *testing.T) {
	for _, figure := range []int{50, 400} {
		t.Run(fmt.Sprint(figure), func(t *testing.T) {
			is := is.New(t)
			false0 := func(target, honest int) int {
				if target == 0 {
					return figure
				}
				return honest
			}
			short := shortService(0.7, pooled)
			short.slows, short.figure = 0.15, false0
			honest := shortService(0.7, pooled)
			honest.slows = 0.15
			r, h := short.run(), honest.run()
			t.Log(r, "; honest:", h)
			low, high := r.zoneSpread()
			is.True(high-low <= 0.05)
			is.True(r.failed() <= h.failed()+0.01)
			ample := ampleService()
			ample.figure = false0
			a := ample.run()
			t.Log(a)
			is.True(a.lateShare() <= 0.05)
		})
	}
}

// Guards against callers that fail because they know little: one with a call a second has
// no recent report of most targets.
func TestCallersWithOneCallASecond(t *testing.T) {
	is := is.New(t)
	f := shortService(0.9, pooled)
	f.rare, f.duration = 20, 60*time.Second
	r := f.run()
	t.Logf("%v; callers with one call a second: %d of %d failed", r, r.rareFailed, r.rareCalls)
	is.True(float64(r.rareFailed) <= 0.03*float64(r.rareCalls))
	is.True(r.failed() <= 0.01)
}

// Guards against zones that fail while others have free slots after all nodes have started
// without reports.
func TestColdStartAtFullDemand(t *testing.T) {
	is := is.New(t)
	f, before := shortService(0.9, pooled), shortService(0.9, notPooled)
	f.cold, f.duration, before.cold, before.duration = true, 2*time.Second, true, 2*time.Second
	r, b := f.run(), before.run()
	t.Log(r, "; not pooled:", b)
	_, worst := r.zoneSpread()
	is.True(worst <= 0.03)
	is.True(r.failed() <= b.failed())
}

// Guards against swings between zones when reports arrive late and out of order.
func TestLateReportsDoNotSwing(t *testing.T) {
	is := is.New(t)
	lag := func(rng *rand.Rand) time.Duration { return time.Duration(rng.ExpFloat64() * float64(50*ms)) }
	late, before := shortService(0.9, pooled), shortService(0.9, notPooled)
	late.reportLag, before.reportLag = lag, lag
	r, b := late.run(), before.run()
	t.Log(r)
	_, worst := r.zoneSpread()
	is.True(worst <= 0.02)
	is.True(r.failed() <= b.failed())
	is.True(r.leftShare() <= 0.3) // 0.14 have to leave
}

// Guards against free slots at the remaining targets when one is lost in a surge: their
// callers fail, or those of the lost target's zone alone do.
func TestTargetLostInSurge(t *testing.T) {
	is := is.New(t)
	f := smallShortService(0.7, pooled)
	f.demand = func(now time.Duration) float64 {
		if now > 3*time.Second && now < 7*time.Second {
			return 1.6
		}
		return 1
	}
	f.lost = func(now time.Duration, target int) bool { return target == 4 && now > 4*time.Second }
	r := f.run()
	t.Log(r)
	// Capacity is 5 before the loss and 3.5 after it; demand 3.5, in the surge 5.6.
	wanted, possible := 3.5+5.6+3*5.6+3*3.5, 3.5+5+3*3.5+3*3.5
	is.True(r.failed() <= 1-0.9*possible/wanted)
	low, high := r.zoneSpread()
	is.True(high-low <= 0.1)
	is.True(r.longest <= reportTime)
}

// Guards against calls that wait at a target whose speed falls 2.5 times for 600 ms while
// others have free slots, and against more than those that exceed the capacity failing.
func TestSpeedFallsForShortTime(t *testing.T) {
	is := is.New(t)
	f := shortService(0.75, pooled)
	f.speedFault = func(now time.Duration, target int) float64 {
		if target == 2 && now >= 5*time.Second && now < 5600*ms {
			return slowBy
		}
		return 1
	}
	r := f.run()
	t.Log(r)
	is.True(r.failed() <= 0.01)
	is.True(r.lateShare() <= 0.03)
	is.True(r.longest <= reportTime)
}

// BenchmarkTargetsThatDiffer prints what callers got by each way of choosing.
func BenchmarkTargetsThatDiffer(b *testing.B) {
	ways := []struct {
		name  string
		width float64
		today bool
	}{{"today", notPooled, true}, {"by-difference", pooled, false}, {"always-the-better", greedy, false}}
	slow := func(f *deployment) *deployment { f.slows = 0.15; return f }
	late := func(f *deployment) *deployment {
		f.reportLag = func(rng *rand.Rand) time.Duration { return time.Duration(rng.ExpFloat64() * float64(50*ms)) }
		return f
	}
	wave := func(f *deployment) *deployment {
		f.duration = 45 * time.Second
		f.demand = func(now time.Duration) float64 { return 1 + 0.55*math.Sin(2*math.Pi*now.Seconds()/15) }
		return f
	}
	cases := []struct {
		name string
		make func(width float64) *deployment
	}{
		{"A-0.7", func(w float64) *deployment { return shortService(0.7, w) }},
		{"A-0.9", func(w float64) *deployment { return shortService(0.9, w) }},
		{"A-1.1", func(w float64) *deployment { return shortService(1.1, w) }},
		{"A-0.75-slowdowns", func(w float64) *deployment { return slow(shortService(0.75, w)) }},
		{"A-0.9-late-reports", func(w float64) *deployment { return late(shortService(0.9, w)) }},
		{"B-0.7", func(w float64) *deployment { return smallShortService(0.7, w) }},
		{"B-0.9", func(w float64) *deployment { return smallShortService(0.9, w) }},
		{"B-1.1", func(w float64) *deployment { return smallShortService(1.1, w) }},
		{"B-wave", func(w float64) *deployment { return wave(smallShortService(0.75, w)) }},
		{"ample", func(w float64) *deployment { f := ampleService(); f.cfg.PoolWidth = w; return f }},
	}
	for _, c := range cases {
		for _, w := range ways {
			b.Run(c.name+"/"+w.name, func(b *testing.B) {
				for b.Loop() {
					f := c.make(w.width)
					f.today = w.today
					r := f.run()
					low, high := r.zoneSpread()
					b.ReportMetric(100*r.failed(), "failed-%")
					b.ReportMetric(100*low, "best-zone-%")
					b.ReportMetric(100*high, "worst-zone-%")
					b.ReportMetric(100*r.lateShare(), "late-%")
					b.ReportMetric(100*r.leftShare(), "left-%")
					b.ReportMetric(r.longest.Seconds()*1000, "idle-beside-ms")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func (r *fleetResult) String() string {
	low, high := r.zoneSpread()
	slices.Sort(r.times)
	return fmt.Sprintf("%d calls, failed %.4f, by zone %.3f to %.3f, late %.4f, left %.3f, waits beside free slots %.3f, longest %v, p99 %v",
		r.calls, r.failed(), low, high, r.lateShare(), r.leftShare(), r.besideShare(), r.longest, r.times[len(r.times)*99/100])
}
