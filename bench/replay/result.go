package replay

import (
	"time"

	"peardrift/bench/replay/workload"
)

// Result holds the measurements of a run.
type Result struct {
	Deployment       *workload.Deployment
	Header           workload.Header
	Classes          map[string]ClassResult
	Goodput          []float64 // completed root requests per second, one entry per Bin
	NormalGoodput    float64   // mean goodput before the trigger phase
	TriggerGoodput   float64   // mean goodput in the trigger phase
	BestGoodput      float64   // highest mean goodput that the slots allow in the trigger phase
	BlindBestGoodput float64   // BestGoodput without knowing in advance which requests will end in time
	Recovery         time.Duration
	Recovered        bool
	MeanLatency      time.Duration // mean response time before the trigger phase
	WastedFraction   float64       // fraction of slot time spent on requests that did not complete
	RefusedImportant int           // number of refused calls of important classes
	Inverted         int           // those refused while the service completed a less important call
	AttemptsPerCall  float64       // at the DownstreamService, per first attempt of a call
	MaxExtraAttempts int           // most attempts of one root request beyond one per call, over all services
	Counts           map[string]int
}

// Bin is the interval of each entry of Goodput.
const Bin = bin

// ClassResult holds the measurements of one class in the trigger phase.
type ClassResult struct {
	Demand, Completed, Best float64 // per second
	Failed                  float64 // attempts per second that had begun to run and did not complete
	Served                  float64 // fraction of the users that arrived in the trigger phase and were served
	ServedFirst             float64 // fraction of them that were served at the first attempt
}

// Fits reports whether the slots allow all of the class's demand.
func (c *ClassResult) Fits() bool { return c.Best >= c.Demand*fitsTolerance }

const fitsTolerance = 0.999

// warmUp is excluded from the mean goodput before the trigger phase.
const warmUp = 2 * time.Second

func (rec *recorder) result() *Result {
	d, h := rec.sim.deployment, rec.header
	r := &Result{Deployment: d, Header: h, Classes: map[string]ClassResult{}, Counts: map[string]int{}}
	for i, n := range rec.counts {
		r.Counts[decisionNames[i]] = n
	}
	from, to := int(h.From/bin), int(h.To/bin)
	demand := map[string]float64{}
	for i := range d.Classes {
		name := d.Classes[i].Name
		demand[name] = meanRate(rec.classes[name].arrived, from, to)
	}
	best := d.BestGoodput(demand, rec.condition)
	blindCondition := rec.condition
	blindCondition.CountTimedOut = true
	for _, x := range d.BestGoodput(demand, blindCondition) {
		r.BlindBestGoodput += x
	}
	before := 0
	for i := range d.Classes {
		name := d.Classes[i].Name
		s := rec.classes[name]
		r.Classes[name] = ClassResult{Demand: demand[name], Completed: meanRate(s.completed, from, to), Best: best[name], Failed: meanRate(s.failed, from, to),
			Served: rateRatio(s.served, s.arrived, from, to), ServedFirst: rateRatio(s.firstAttempt, s.arrived, from, to)}
		r.BestGoodput += best[name]
		r.MeanLatency += s.latencySum
		before += sum(s.served, 0, from)
	}
	r.MeanLatency /= time.Duration(max(1, before))
	r.Goodput = make([]float64, h.Duration/bin)
	for i := range r.Goodput {
		done := 0
		for _, s := range rec.classes {
			done += s.completed[i]
		}
		r.Goodput[i] = float64(done) / bin.Seconds()
	}
	r.NormalGoodput = meanFloat(r.Goodput[min(int(warmUp/bin), from/2):from])
	r.TriggerGoodput = meanFloat(r.Goodput[from:to])
	r.Recovery, r.Recovered = Recovery(r.Goodput, to, r.NormalGoodput)
	if all := rec.usefulTime + rec.wastedTime; all > 0 {
		r.WastedFraction = float64(rec.wastedTime) / float64(all)
	}
	r.RefusedImportant, r.Inverted = rec.inversions()
	r.MaxExtraAttempts = rec.downstreamService.maxExtra
	if needed := rec.downstreamService.attempts - rec.downstreamService.extra; needed > 0 {
		r.AttemptsPerCall = float64(rec.downstreamService.attempts) / float64(needed)
	}
	return r
}

// The fleet has recovered when mean goodput reaches recoveredFraction of normal both over
// recoveryWindow and over stableWindow from the same bin on.
const (
	recoveryWindow    = 500 * time.Millisecond
	stableWindow      = 2 * time.Second
	recoveredFraction = 0.95
)

// Recovery returns the time from bin end, where the trigger phase ends, until goodput has
// recovered to normal. It reports false, with the time observed, if it never did.
func Recovery(goodput []float64, end int, normal float64) (time.Duration, bool) {
	w, stableBins := int(recoveryWindow/bin), int(stableWindow/bin)
	for i := end; i+w+stableBins <= len(goodput); i++ {
		if meanFloat(goodput[i:i+w]) >= recoveredFraction*normal && meanFloat(goodput[i:i+stableBins]) >= recoveredFraction*normal {
			return time.Duration(i-end) * bin, true
		}
	}
	return time.Duration(len(goodput)-end) * bin, false
}

func meanRate(counts []int, from, to int) float64 {
	return float64(sum(counts, from, to)) / (float64(to-from) * bin.Seconds())
}

func sum(counts []int, from, to int) (n int) {
	for _, c := range counts[from:to] {
		n += c
	}
	return n
}

func meanFloat(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

func rateRatio(part, total []int, from, to int) float64 {
	if all := meanRate(total, from, to); all > 0 {
		return meanRate(part, from, to) / all
	}
	return 1
}

// FractionOfBest returns the goodput in the trigger phase as a fraction of
// BestGoodput.
func (r *Result) FractionOfBest() float64 {
	if r.BestGoodput == 0 {
		return 1
	}
	return r.TriggerGoodput / r.BestGoodput
}

// FractionOfBlindBest returns the goodput in the trigger phase as a fraction of
// BlindBestGoodput.
func (r *Result) FractionOfBlindBest() float64 {
	if r.BlindBestGoodput == 0 {
		return 1
	}
	return r.TriggerGoodput / r.BlindBestGoodput
}

// ImportantServed returns the lowest Served of the important classes whose demand fits the
// slots.
func (r *Result) ImportantServed() float64 {
	return r.leastImportant(func(c *ClassResult) float64 { return c.Served })
}

// ImportantServedFirst is like ImportantServed for requests served at the first attempt.
func (r *Result) ImportantServedFirst() float64 {
	return r.leastImportant(func(c *ClassResult) float64 { return c.ServedFirst })
}

func (r *Result) leastImportant(figure func(*ClassResult) float64) float64 {
	least := 1.0
	for i := range r.Deployment.Classes {
		c := &r.Deployment.Classes[i]
		if x := r.Classes[c.Name]; c.Important() && x.Fits() {
			least = min(least, figure(&x))
		}
	}
	return least
}
