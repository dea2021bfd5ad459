package workload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// gammaShape 4 gives service times a coefficient of variation of 0.5.
const gammaShape = 4

// Draw returns a gamma distributed service time with the given mean.
func Draw(rng *rand.Rand, mean time.Duration) time.Duration {
	sum := 0.0
	for range gammaShape {
		sum += rng.ExpFloat64()
	}
	return time.Duration(sum / gammaShape * float64(mean))
}

// Condition describes the faults of a deployment. The zero value means healthy.
type Condition struct {
	Slowdown        map[string]float64 // factor on service time, by service; default 1
	WorkingFraction map[string]float64 // fraction of slots that work, by service; default 1
	Timeout         time.Duration      // clients' timeout; 0 means none
	CountTimedOut   bool               // count the slot time of requests that time out too
}

func factorOrOne(m map[string]float64, service string) float64 {
	if f, ok := m[service]; ok {
		return f
	}
	return 1
}

// SlotTime is the mean slot time in seconds of one request, by service.
type SlotTime map[string]float64

const (
	capacitySamples = 16000
	capacitySeed    = 1
)

// EstimateSlotTime estimates by sampling the slot time per completed request of a class
// without queueing, which is the minimum. Requests that exceed cond.Timeout are left out
// or, if cond.CountTimedOut is set, add the slot time until they time out. The second
// result is the fraction of requests that end in time.
func (d *Deployment) EstimateSlotTime(c *Class, cond Condition) (SlotTime, float64) {
	rng := rand.New(rand.NewPCG(capacitySeed, uint64(c.Importance)))
	slotTime, ended := SlotTime{}, 0
	for range capacitySamples {
		one := SlotTime{}
		took := d.sampleCall(rng, &c.Root, cond, one)
		part := 1.0
		if cond.Timeout > 0 && took > cond.Timeout {
			part = 0
			if cond.CountTimedOut {
				part = cond.Timeout.Seconds() / took.Seconds() // until it times out
			}
		} else {
			ended++
		}
		for s, h := range one {
			slotTime[s] += part * h
		}
	}
	for s := range slotTime {
		slotTime[s] /= float64(max(1, ended))
	}
	return slotTime, float64(ended) / capacitySamples
}

// sampleCall simulates one call on idle targets. It adds the slot time to slotTime and
// returns the duration of the call.
func (d *Deployment) sampleCall(rng *rand.Rand, c *Call, cond Condition, slotTime SlotTime) time.Duration {
	took := time.Duration(float64(Draw(rng, c.Work)) * factorOrOne(cond.Slowdown, c.Service))
	for _, step := range c.Steps {
		longest := time.Duration(0)
		for i := range step {
			for range step[i].Count {
				if step[i].Probability < 1 && rng.Float64() >= step[i].Probability {
					continue
				}
				sub := d.sampleCall(rng, &step[i].Call, cond, slotTime) + 2*d.LocalDelay
				longest = max(longest, sub)
			}
		}
		took += longest
	}
	slotTime[c.Service] += took.Seconds()
	return took
}

// SustainableRate returns the highest rate of the request mix, in requests per second, at
// which no service needs more slots than it has.
func (d *Deployment) SustainableRate() float64 {
	need := SlotTime{}
	for i := range d.Classes {
		slotTime, _ := d.EstimateSlotTime(&d.Classes[i], Condition{})
		for s, h := range slotTime {
			need[s] += d.Classes[i].Share * h
		}
	}
	rate := 0.0
	for _, s := range d.Services {
		if need[s.Name] == 0 {
			continue
		}
		r := float64(s.Targets*s.Slots) / need[s.Name]
		if rate == 0 || r < rate {
			rate = r
		}
	}
	return rate
}

// BestGoodput returns the highest possible goodput by class, in requests per second, for a
// demand by class. It assumes a policy that serves classes in order of importance and,
// unless cond.CountTimedOut is set, knows in advance which requests end in time. Within
// one importance, tenants have equal shares and lend what they don't need; the classes
// of one tenant share in proportion to demand.
func (d *Deployment) BestGoodput(demand map[string]float64, cond Condition) map[string]float64 {
	left := map[string]float64{}
	for _, s := range d.Services {
		left[s.Name] = float64(s.Targets*s.Slots) * factorOrOne(cond.WorkingFraction, s.Name)
	}
	best := map[string]float64{}
	for _, group := range d.byImportance() {
		tenants := byTenant(group, demand)
		for i, classes := range tenants {
			share := 1 / float64(len(tenants)-i)
			d.allocate(classes, demand, cond, share, left, best)
		}
	}
	return best
}

// allocate gives classes their demand, or as much of it as fits in the given share of
// the remaining slots, and subtracts it from left.
func (d *Deployment) allocate(classes []*Class, demand map[string]float64, cond Condition, share float64, left, best map[string]float64) {
	need := SlotTime{}
	for _, c := range classes {
		slotTime, inTime := d.EstimateSlotTime(c, cond)
		best[c.Name] = demand[c.Name] * inTime
		for s, h := range slotTime {
			need[s] += h * best[c.Name]
		}
	}
	part := 1.0
	for s, n := range need {
		if n > 0 {
			part = min(part, max(0, left[s])*share/n)
		}
	}
	for s, n := range need {
		left[s] -= n * part
	}
	for _, c := range classes {
		best[c.Name] *= part
	}
}

// byTenant groups classes by tenant, lowest demand first, so that the unused part of
// its share is available to the others.
func byTenant(classes []*Class, demand map[string]float64) [][]*Class {
	var out [][]*Class
	for _, c := range classes {
		i := slices.IndexFunc(out, func(g []*Class) bool { return g[0].Tenant == c.Tenant })
		if i < 0 {
			i = len(out)
			out = append(out, nil)
		}
		out[i] = append(out[i], c)
	}
	total := func(g []*Class) (sum float64) {
		for _, c := range g {
			sum += demand[c.Name]
		}
		return sum
	}
	slices.SortStableFunc(out, func(a, b []*Class) int { return cmp.Compare(total(a), total(b)) })
	return out
}

// byImportance groups the classes by importance, the most important first.
func (d *Deployment) byImportance() [][]*Class {
	sorted := make([]*Class, 0, len(d.Classes))
	for i := range d.Classes {
		sorted = append(sorted, &d.Classes[i])
	}
	slices.SortStableFunc(sorted, func(a, b *Class) int { return int(b.Importance) - int(a.Importance) })
	var groups [][]*Class
	for i, c := range sorted {
		if i == 0 || c.Importance != sorted[i-1].Importance {
			groups = append(groups, nil)
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], c)
	}
	return groups
}
