package overload

import (
	"strings"
	"time"

	"peardrift/bench/replay"
	"peardrift/bench/replay/workload"
	"peardrift/bench/standin/client"
)

// Measured holds the measurements of a run on processes: the replay's figures as far
// as they are visible from outside, and those that only processes have.
type Measured struct {
	replay.Result
	Violations Violations
	// SentPerNeeded is the ratio of the requests sent to the deep service's targets to those
	// that the completed requests need.
	SentPerNeeded float64
	// SlotTimeRatio is the ratio of measured to configured slot time, before the trigger, of
	// targets that make no calls. It exceeds 1 by the overhead of the machine.
	SlotTimeRatio float64
	Requests      int
	Attempts      int // client attempts
	Results       map[client.Result]int
	Codes         map[string]int // attempts that did not complete, by code
}

// tally accumulates the measurements of one run.
type tally struct {
	l                *Lab
	header           workload.Header
	out              *Measured
	classes          map[string]*series
	useful           time.Duration
	wasted           time.Duration
	slotTime         time.Duration // slot time before the trigger at targets that make no calls
	expectedSlotTime time.Duration // expected slot time of the same runs by their settings
	needed           float64       // calls of the DownstreamService that completed requests need
	refused          map[int]map[string]int
	completed        map[int]map[string]bool
}

// series counts a class's requests per replay.Bin.
type series struct{ arrived, servedByArrival, firstAttempt, done []int }

// measure checks the guarantees on a played trace and computes its measurements.
func (l *Lab) measure(p *playback) (*Measured, error) {
	violations, err := l.checkGuarantees(p)
	if err != nil {
		return nil, err
	}
	work, err := l.finishedRuns(p.nodes)
	if err != nil {
		return nil, err
	}
	t := l.newTally(violations)
	for mark, as := range p.attempts {
		t.addRequest(p.start, as)
		t.addSlotTime(as, work[mark])
		t.addSlotRatio(p.start, as[0].Class, work[mark])
	}
	t.finish()
	if t.expectedSlotTime > 0 {
		t.out.SlotTimeRatio = t.slotTime.Seconds() / t.expectedSlotTime.Seconds()
	}
	if t.needed > 0 {
		t.out.SentPerNeeded = float64(p.downstreamRequests) / t.needed
	}
	return t.out, nil
}

func (l *Lab) newTally(violations Violations) *tally {
	h := l.Case.Trace.Header
	t := &tally{l: l, header: h, classes: make(map[string]*series),
		refused: make(map[int]map[string]int), completed: make(map[int]map[string]bool),
		out: &Measured{Violations: violations, Results: make(map[client.Result]int), Codes: make(map[string]int)}}
	n := binOf(h.Duration+l.Case.Deployment.RetryWindow+l.Case.Deployment.Timeout) + 1
	for _, c := range l.Case.Deployment.Classes {
		t.classes[c.Name] = &series{make([]int, n), make([]int, n), make([]int, n), make([]int, n)}
	}
	return t
}

func binOf(d time.Duration) int { return int(d / replay.Bin) }

// addRequest counts one request and its attempts.
func (t *tally) addRequest(start time.Time, as []client.Attempt) {
	s, last := t.classes[as[0].Class], as[len(as)-1]
	binAt := func(at time.Time) int { return min(max(0, binOf(at.Sub(start))), len(s.done)-1) }
	arrival := binAt(as[0].At)
	s.arrived[arrival]++
	t.out.Requests++
	t.out.Attempts += len(as)
	t.out.Results[last.Result]++
	for _, a := range as {
		end := binAt(a.At.Add(a.Latency))
		switch a.Result {
		case client.Refused:
			update(t.refused, end, a.Class, func(n int) int { return n + 1 })
		case client.Completed:
			update(t.completed, end, a.Class, func(bool) bool { return true })
		}
		if a.Result != client.Completed {
			t.out.Codes[a.Code]++
		}
	}
	if last.Result != client.Completed {
		return
	}
	s.servedByArrival[arrival]++
	s.done[binAt(last.At.Add(last.Latency))]++
	if len(as) == 1 {
		s.firstAttempt[arrival]++
	}
	t.needed += meanCalls(&t.l.Case.Deployment.Class(last.Class).Root, t.l.Case.Deployment.DownstreamService)
}

func update[V any](m map[int]map[string]V, bin int, class string, f func(V) V) {
	if m[bin] == nil {
		m[bin] = make(map[string]V)
	}
	m[bin][class] = f(m[bin][class])
}

// meanCalls returns the mean number of calls of a service in the call tree of c.
func meanCalls(c *workload.Call, service string) float64 {
	n := 0.0
	if c.Service == service {
		n = 1
	}
	for _, step := range c.Steps {
		for i := range step {
			n += float64(step[i].Count) * step[i].Probability * meanCalls(&step[i].Call, service)
		}
	}
	return n
}

// addSlotTime splits the slot time of a request's runs into useful, which belongs to the
// attempt that completed, and wasted.
func (t *tally) addSlotTime(as []client.Attempt, runs []run) {
	for _, r := range runs {
		k := 0
		for k+1 < len(as) && !as[k+1].At.After(r.began) {
			k++
		}
		if as[k].Result == client.Completed {
			t.useful += r.slotTime
		} else {
			t.wasted += r.slotTime
		}
	}
}

// addSlotRatio adds up the measured and the configured slot time of runs that make no
// calls, before the trigger.
func (t *tally) addSlotRatio(start time.Time, class string, runs []run) {
	for _, r := range runs {
		service, _, _ := strings.Cut(r.service, ".")
		call := callAt(t.l.Case.Deployment.Class(class), service)
		if call == nil || len(call.Steps) > 0 || r.began.Sub(start) >= t.header.From {
			continue
		}
		t.slotTime += r.slotTime
		t.expectedSlotTime += call.Work
	}
}

// finish computes the results of the whole run.
func (t *tally) finish() {
	d, h, r := t.l.Case.Deployment, t.header, &t.out.Result
	r.Deployment, r.Header, r.Classes = d, h, make(map[string]replay.ClassResult)
	from, to := binOf(h.From), binOf(h.To)
	demand := make(map[string]float64)
	for _, c := range d.Classes {
		demand[c.Name] = perSecond(t.classes[c.Name].arrived, from, to)
	}
	best := d.BestGoodput(demand, t.condition())
	r.Goodput = make([]float64, binOf(h.Duration))
	for _, c := range d.Classes {
		s := t.classes[c.Name]
		result := replay.ClassResult{Demand: demand[c.Name], Best: best[c.Name], Completed: perSecond(s.done, from, to), Served: 1, ServedFirst: 1}
		if result.Demand > 0 {
			result.Served, result.ServedFirst = perSecond(s.servedByArrival, from, to)/result.Demand, perSecond(s.firstAttempt, from, to)/result.Demand
		}
		r.Classes[c.Name] = result
		r.BestGoodput += best[c.Name]
		r.TriggerGoodput += result.Completed
		r.NormalGoodput += perSecond(s.done, min(binOf(warmUp), from/2), from)
		for i := range r.Goodput {
			r.Goodput[i] += float64(s.done[i]) / replay.Bin.Seconds()
		}
	}
	r.Recovery, r.Recovered = replay.Recovery(r.Goodput, to, r.NormalGoodput)
	if total := t.useful + t.wasted; total > 0 {
		r.WastedFraction = float64(t.wasted) / float64(total)
	}
	t.inversions()
}

// warmUp is excluded from the mean before the trigger, as in the replay.
const warmUp = 2 * time.Second

// condition returns the effect of the trigger on the deployment.
func (t *tally) condition() workload.Condition {
	d := t.l.Case.Deployment
	cond := workload.Condition{Slowdown: make(map[string]float64), Timeout: d.Timeout - 2*d.ClientDelay}
	for _, e := range t.l.Case.Trace.Events {
		if e.Fault == workload.Slow && e.Factor > 1 {
			cond.Slowdown[e.Service] = e.Factor
		}
	}
	return cond
}

func perSecond(counts []int, from, to int) float64 {
	n := 0
	for _, c := range counts[from:to] {
		n += c
	}
	return float64(n) / (float64(to-from) * replay.Bin.Seconds())
}

// inversions counts refusals of important classes, and among them the priority
// inversions: those in the same replay.Bin as a completed request that is less
// important and used the refusing service, which is the entry service.
func (t *tally) inversions() {
	d := t.l.Case.Deployment
	for bin, classes := range t.refused {
		for name, n := range classes {
			class := d.Class(name)
			if !class.Important() {
				continue
			}
			t.out.RefusedImportant += n
			for other := range t.completed[bin] {
				if o := d.Class(other); o.Importance < class.Importance && callAt(o, class.Root.Service) != nil {
					t.out.Inverted += n
					break
				}
			}
		}
	}
}
