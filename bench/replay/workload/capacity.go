package workload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// gammaShape gives service times a coefficient of variation of one half.
const gammaShape = 4

// Draw draws a service time with the given mean.
func Draw(rng *rand.Rand, mean time.Duration) time.Duration {
	sum := 0.0
	for range gammaShape {
		sum += rng.ExpFloat64()
	}
	return time.Duration(sum / gammaShape * float64(mean))
}

// Condition is what a fleet suffers from; the zero value is a healthy one.
type Condition struct {
	Slow   map[string]float64 // factor on a service's own work; 1 if not listed
	Part   map[string]float64 // part of a service's slots that work; 1 if not listed
	Within time.Duration      // a client waits this long for an answer; 0: for good
	Blind  bool               // nobody knows beforehand which requests end in time: the others hold slots too
}

func factor(m map[string]float64, service string) float64 {
	if f, ok := m[service]; ok {
		return f
	}
	return 1
}

// Hold is the mean slot time in seconds that one request takes at each service.
type Hold map[string]float64

const (
	capacitySamples = 16000
	capacitySeed    = 1
)

// HoldOf computes by sampling what one request of a class takes when nothing
// queues: the least slot time that completing it needs. Requests that don't end
// in time are left out, or add the time until they are given up if in is blind.
// The second result is the part of those that end in time.
func (d *Deployment) HoldOf(c *Class, in Condition) (Hold, float64) {
	rng := rand.New(rand.NewPCG(capacitySeed, uint64(c.Importance)))
	hold, ended := Hold{}, 0
	for range capacitySamples {
		one := Hold{}
		took := d.sample(rng, &c.Root, in, one)
		part := 1.0
		if in.Within > 0 && took > in.Within {
			part = 0
			if in.Blind {
				part = in.Within.Seconds() / took.Seconds() // until it is given up
			}
		} else {
			ended++
		}
		for s, h := range one {
			hold[s] += part * h
		}
	}
	for s := range hold {
		hold[s] /= float64(max(1, ended))
	}
	return hold, float64(ended) / capacitySamples
}

// sample runs one call on idle targets and returns how long it takes.
func (d *Deployment) sample(rng *rand.Rand, c *Call, in Condition, hold Hold) time.Duration {
	took := time.Duration(float64(Draw(rng, c.Work)) * factor(in.Slow, c.Service))
	for _, step := range c.Steps {
		longest := time.Duration(0)
		for i := range step {
			for range step[i].Count {
				if step[i].Chance < 1 && rng.Float64() >= step[i].Chance {
					continue
				}
				sub := d.sample(rng, &step[i].Call, in, hold) + 2*d.LocalDelay
				longest = max(longest, sub)
			}
		}
		took += longest
	}
	hold[c.Service] += took.Seconds()
	return took
}

// Sustainable is the highest rate of the whole mix, in requests a second, at
// which no service needs more slots than it has.
func (d *Deployment) Sustainable() float64 {
	need := Hold{}
	for i := range d.Classes {
		hold, _ := d.HoldOf(&d.Classes[i], Condition{})
		for s, h := range hold {
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

// Best is the highest goodput per class, in requests a second, that the slots
// allow for a demand per class when the classes are served in their order of
// importance, by a policy that knows beforehand which requests end in time. Tenants have equal shares of what one importance gets, and lend
// what they don't need; one tenant's classes of it share in proportion to demand.
func (d *Deployment) Best(demand map[string]float64, in Condition) map[string]float64 {
	left := map[string]float64{}
	for _, s := range d.Services {
		left[s.Name] = float64(s.Targets*s.Slots) * factor(in.Part, s.Name)
	}
	best := map[string]float64{}
	for _, group := range d.byImportance() {
		tenants := byTenant(group, demand)
		for i, classes := range tenants {
			share := 1 / float64(len(tenants)-i)
			d.fill(classes, demand, in, share, left, best)
		}
	}
	return best
}

// fill gives classes their demand, or as much of it as a share of what is left
// of the slots allows.
func (d *Deployment) fill(classes []*Class, demand map[string]float64, in Condition, share float64, left, best map[string]float64) {
	need := Hold{}
	for _, c := range classes {
		hold, inTime := d.HoldOf(c, in)
		best[c.Name] = demand[c.Name] * inTime
		for s, h := range hold {
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

// byTenant splits classes by tenant, the one with the least demand first, so
// that what it leaves of its share is there for the others.
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

// byImportance groups the classes, the most important first.
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
