package admission

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

// Every case runs normal load, the trigger, then normal load again.
const (
	triggerStart = 3 * time.Second
	triggerEnd   = 8 * time.Second
	simEnd       = 11 * time.Second
	simSeeds     = 4
)

// topImportance is the importance of the highest class of drawClass, 3% of the
// requests.
const topImportance = 90

func drawClass(r *rand.Rand) (request.Importance, uint16) {
	switch x := r.Float64(); {
	case x < 0.70:
		return 10, 0
	case x < 0.90:
		return 40, 0
	case x < 0.97:
		return 70, 0
	default:
		return topImportance, 0
	}
}

// trigger returns a load of 0.7 of the capacity that, between triggerStart and
// triggerEnd, changes to surge times the capacity and the service time slow.
func trigger(slots int, service time.Duration, surge float64, slow time.Duration) func(time.Duration) load {
	capacity := float64(slots) / service.Seconds()
	return func(now time.Duration) load {
		l := load{rate: 0.7 * capacity, service: service, slots: slots, deadline: time.Second, class: drawClass}
		if now >= triggerStart && now < triggerEnd {
			l.rate, l.service = surge*capacity, slow
		}
		return l
	}
}

// result summarizes one run of a case.
type result struct {
	surge        float64       // goodput from 1 s into the trigger, as a fraction of capacity
	topCompleted float64       // fraction of topImportance that completed, whole trigger
	useless      float64       // fraction of executed requests that missed the deadline
	refusedLate  float64       // fraction of requests refused by the gate, not by callers
	waited       time.Duration // mean wait before refusal by the gate
	recovery     time.Duration // from the trigger's end to 95% of normal goodput for 500 ms
	level        time.Duration // from the trigger's end to level 0
}

func newSim(slots int, seed uint64, callersKnow bool, retries int, f func(time.Duration) load) *sim {
	cfg := DefaultConfig()
	cfg.Slots = slots
	return &sim{
		gate:             New(cfg, rand.New(rand.NewPCG(seed, 9))),
		rng:              rand.New(rand.NewPCG(seed, 7)),
		load:             f,
		callersKnowLevel: callersKnow,
		retries:          retries,
	}
}

func (s *sim) sum(from, to time.Duration) interval {
	var sum interval
	for _, v := range s.intervals[from/intervalLength : to/intervalLength] {
		sum.done += v.done
		sum.inTime += v.inTime
		sum.reached += v.reached
		sum.refused += v.refused
		sum.waited += v.waited
		for i := range v.completedBy {
			sum.completedBy[i] += v.completedBy[i]
			sum.refusedBy[i] += v.refusedBy[i]
		}
		for i := range v.tenants {
			sum.tenants[i] += v.tenants[i]
		}
	}
	return sum
}

func (s *sim) result() result {
	l := s.load(triggerStart)
	whole := s.sum(triggerStart, triggerEnd)
	late := s.sum(triggerStart+time.Second, triggerEnd)
	slots := float64(l.slots) / l.service.Seconds() * (triggerEnd - triggerStart - time.Second).Seconds()
	r := result{
		surge:        float64(late.inTime) / slots,
		topCompleted: float64(whole.completedBy[topImportance]) / float64(whole.completedBy[topImportance]+whole.refusedBy[topImportance]),
		useless:      1 - float64(whole.inTime)/float64(whole.done),
		refusedLate:  float64(whole.refused) / float64(whole.reached),
		waited:       whole.waited / time.Duration(max(1, whole.refused)),
	}
	const hold = 500 * time.Millisecond
	normal := s.load(0).rate * hold.Seconds()
	r.recovery = s.after(func(at time.Duration) bool { return float64(s.sum(at, at+hold).inTime) >= 0.95*normal })
	r.level = s.after(func(at time.Duration) bool { return s.intervals[at/intervalLength].level == 0 })
	return r
}

// after returns the time from the trigger's end until f first holds.
func (s *sim) after(f func(time.Duration) bool) time.Duration {
	at := triggerEnd
	for at < simEnd-time.Second && !f(at) {
		at += intervalLength
	}
	return at - triggerEnd
}

// TestOverload checks a single gate and target against the requirements for whole
// call chains. Figures are means over seeds.
func TestOverload(t *testing.T) {
	for _, c := range []struct {
		name    string
		slots   int
		retries int
		load    func(time.Duration) load
		surge   float64
	}{
		{"feed, twice the demand", 25, 3, trigger(25, 50*ms, 2, 50*ms), 0.94},
		{"claimtrack, a little over", 65, 0, trigger(65, 20*ms, 1.2, 20*ms), 0.95},
		{"archive, twice the demand", 130, 3, trigger(130, 20*ms, 2, 20*ms), 0.95},
		{"archive, surge and ten times slower", 130, 3, trigger(130, 20*ms, 1.5, 200*ms), 0.95},
		{"media, twice the demand", 190, 3, trigger(190, 100*ms, 2, 100*ms), 0.95},
		{"evidencebox, ten times slower", 300, 3, trigger(300, 20*ms, 0.7, 200*ms), 0.95},
	} {
		for _, callersKnow := range []bool{false, true} {
			is := is.New(t)
			var runs [simSeeds]result
			var wg sync.WaitGroup
			for i := range runs {
				wg.Go(func() {
					s := newSim(c.slots, uint64(i+1), callersKnow, c.retries, c.load)
					s.run(simEnd)
					runs[i] = s.result()
				})
			}
			wg.Wait()
			low, m := runs[0].surge, result{}
			for _, r := range runs {
				low = min(low, r.surge)
				m.surge += r.surge / simSeeds
				m.topCompleted += r.topCompleted / simSeeds
				m.useless += r.useless / simSeeds
				m.refusedLate += r.refusedLate / simSeeds
				m.waited += r.waited / simSeeds
				m.recovery = max(m.recovery, r.recovery)
				m.level = max(m.level, r.level)
			}
			t.Logf("%-36s callers know %-5v goodput %.3f (least %.3f) most important %.3f useless %.3f late refusals %.3f held %v recovery <= %v level 0 <= %v",
				c.name, callersKnow, m.surge, low, m.topCompleted, m.useless, m.refusedLate, m.waited.Round(ms/10), m.recovery, m.level)
			is.True(m.surge >= c.surge)
			is.True(m.topCompleted >= 0.99)
			is.True(m.useless <= 0.03)
			is.True(m.recovery <= 2*time.Second)
			is.True(m.level <= 2*time.Second)
		}
	}
}

// Guards against ordering requests by importance across tenants. Tenant 0 floods
// with three times the capacity, all declared most important; tenant 1 asks for
// three tenths of the capacity, all least important, and must not be refused.
func TestFloodingTenantDoesNotStarveOthers(t *testing.T) {
	is := is.New(t)
	const slots, service = 130, 20 * ms
	capacity := slots / service.Seconds()
	flood := func(now time.Duration) load {
		l := load{rate: 0.3 * capacity, service: service, slots: slots, deadline: time.Second}
		l.class = func(*rand.Rand) (request.Importance, uint16) { return 10, 1 }
		if now < triggerStart || now >= triggerEnd {
			return l
		}
		l.rate = 3.3 * capacity
		l.class = func(r *rand.Rand) (request.Importance, uint16) {
			if r.Float64() < 0.3/3.3 {
				return 10, 1
			}
			return topImportance, 0
		}
		return l
	}
	for seed := range uint64(simSeeds) {
		s := newSim(slots, seed, false, 0, flood)
		s.run(simEnd)
		during := s.sum(triggerStart, triggerEnd)
		seconds := (triggerEnd - triggerStart).Seconds()
		small := float64(during.tenants[1]) / (0.3 * capacity * seconds)
		total := float64(during.inTime) / (capacity * seconds)
		t.Logf("seed %d: small tenant %.3f of its demand, both %.3f of the capacity, %d refused", seed, small, total, during.refusedBy[10])
		is.True(small > 0.97) // the flood does not reduce the other tenant's share
		is.True(total > 0.93) // the flood gets the rest
	}
}

// Guards against estimates from a stall that no request can correct. Requests take
// 5 s for 5 s and are canceled at their 1 s deadline; once the target is fast again,
// the gate must recover.
func TestRecoveryAfterStall(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(simSeeds) {
		for _, callersKnow := range []bool{false, true} {
			s := newSim(130, seed, callersKnow, 3, trigger(130, 20*ms, 0.7, 5*time.Second))
			s.run(simEnd)
			r := s.result()
			t.Logf("seed %d, callers know %v: recovery %v, level 0 after %v", seed, callersKnow, r.recovery, r.level)
			is.True(r.recovery <= 1500*ms)
			is.True(r.level <= 1500*ms)
		}
	}
}

// Guards against a level that swings between none and nearly all requests where a change of
// it shows in the arrivals only after the calls before the gate have run: the newly admitted
// requests had not arrived yet, and counted as no demand.
func TestLevelIsSteadyWhenCallersReactLate(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond} {
		for seed := range uint64(simSeeds) {
			t.Run(fmt.Sprintf("%v/seed-%d", delay, seed+1), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				// The highest three of four importances need 0.6 of the capacity.
				s := newSim(60, seed+1, true, 0, trigger(60, 63*time.Millisecond, 2, 63*time.Millisecond))
				s.callDelay = delay
				s.run(simEnd)
				low, high := request.MaxPriority, request.Level(0)
				for _, v := range s.intervals[(triggerStart+2*time.Second)/intervalLength : triggerEnd/intervalLength] {
					low, high = min(low, v.level), max(high, v.level)
				}
				t.Logf("level %.2f to %.2f", low.AsImportance(), high.AsImportance())
				is.True(low > 0)                 // demand is twice the capacity throughout
				is.True(high.Importance() <= 10) // the higher importances fit
			})
		}
	}
}
