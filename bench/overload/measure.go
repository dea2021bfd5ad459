package overload

import (
	"strings"
	"time"

	"peardrift/bench/replay"
	"peardrift/bench/replay/workload"
	"peardrift/bench/standin/client"
)

// Measured is what a run on processes shows: the replay's figures as far as
// they can be seen from outside, and what else the processes tell.
type Measured struct {
	replay.Result
	Broken Broken
	// PerDone is how many requests the deep service's targets were sent for each
	// that the completed requests need.
	PerDone float64
	// Held is how long targets that call nobody held their slots before the
	// trigger, for each second that they were told to: above 1 by what the
	// machine adds.
	Held     float64
	Requests int
	Tries    int // of clients
	Results  map[client.Result]int
	Codes    map[string]int // of answers, by code
}

// tally collects one run.
type tally struct {
	l       *Lab
	header  workload.Header
	out     *Measured
	classes map[string]*series
	useful  time.Duration
	useless time.Duration
	held    time.Duration // before the trigger, at targets that call nobody
	told    time.Duration // the mean of that by the settings
	needed  float64       // calls of the deep service that completed requests need
	refused map[int]map[string]int
	done    map[int]map[string]bool
}

// series counts a class's requests by replay.Bin.
type series struct{ arrived, served, first, done []int }

// measure judges a played trace and works out its figures.
func (l *Lab) measure(p *played) (*Measured, error) {
	broken, err := l.judge(p)
	if err != nil {
		return nil, err
	}
	work, err := l.work(p.nodes)
	if err != nil {
		return nil, err
	}
	t := l.newTally(broken)
	for mark, as := range p.attempts {
		t.request(p.start, as)
		t.spent(as, work[mark])
		t.hold(p.start, as[0].Class, work[mark])
	}
	t.finish()
	if t.told > 0 {
		t.out.Held = t.held.Seconds() / t.told.Seconds()
	}
	if t.needed > 0 {
		t.out.PerDone = float64(p.deep) / t.needed
	}
	return t.out, nil
}

func (l *Lab) newTally(b Broken) *tally {
	h := l.Case.Trace.Header
	t := &tally{l: l, header: h, classes: make(map[string]*series),
		refused: make(map[int]map[string]int), done: make(map[int]map[string]bool),
		out: &Measured{Broken: b, Results: make(map[client.Result]int), Codes: make(map[string]int)}}
	n := bins(h.Lasts+l.Case.Dep.Patience+l.Case.Dep.Timeout) + 1
	for _, c := range l.Case.Dep.Classes {
		t.classes[c.Name] = &series{make([]int, n), make([]int, n), make([]int, n), make([]int, n)}
	}
	return t
}

func bins(d time.Duration) int { return int(d / replay.Bin) }

// request counts one request by its attempts.
func (t *tally) request(start time.Time, as []client.Attempt) {
	s, last := t.classes[as[0].Class], as[len(as)-1]
	slot := func(at time.Time) int { return min(max(0, bins(at.Sub(start))), len(s.done)-1) }
	born := slot(as[0].At)
	s.arrived[born]++
	t.out.Requests++
	t.out.Tries += len(as)
	t.out.Results[last.Result]++
	for _, a := range as {
		end := slot(a.At.Add(a.Took))
		switch a.Result {
		case client.Refused:
			note(t.refused, end, a.Class, func(n int) int { return n + 1 })
		case client.Completed:
			note(t.done, end, a.Class, func(bool) bool { return true })
		}
		if a.Result != client.Completed {
			t.out.Codes[a.Code]++
		}
	}
	if last.Result != client.Completed {
		return
	}
	s.served[born]++
	s.done[slot(last.At.Add(last.Took))]++
	if len(as) == 1 {
		s.first[born]++
	}
	t.needed += calls(&t.l.Case.Dep.Class(last.Class).Root, t.l.Case.Dep.Deep)
}

func note[V any](m map[int]map[string]V, bin int, class string, f func(V) V) {
	if m[bin] == nil {
		m[bin] = make(map[string]V)
	}
	m[bin][class] = f(m[bin][class])
}

// calls is the mean number of calls of a service that one call makes.
func calls(c *workload.Call, service string) float64 {
	n := 0.0
	if c.Service == service {
		n = 1
	}
	for _, step := range c.Steps {
		for i := range step {
			n += float64(step[i].Count) * step[i].Chance * calls(&step[i].Call, service)
		}
	}
	return n
}

// spent divides the slot time of a request's runs: useful is that of the
// attempt that completed.
func (t *tally) spent(as []client.Attempt, runs []run) {
	for _, r := range runs {
		k := 0
		for k+1 < len(as) && !as[k+1].At.After(r.began) {
			k++
		}
		if as[k].Result == client.Completed {
			t.useful += r.held
		} else {
			t.useless += r.held
		}
	}
}

// hold compares the slot time of runs that call nobody with what their targets
// were told.
func (t *tally) hold(start time.Time, class string, runs []run) {
	for _, r := range runs {
		service, _, _ := strings.Cut(r.service, ".")
		call := at(t.l.Case.Dep.Class(class), service)
		if call == nil || len(call.Steps) > 0 || r.began.Sub(start) >= t.header.From {
			continue
		}
		t.held += r.held
		t.told += call.Work
	}
}

// finish works out the figures of the whole run.
func (t *tally) finish() {
	d, h, r := t.l.Case.Dep, t.header, &t.out.Result
	r.Deployment, r.Header, r.Classes = d, h, make(map[string]replay.ClassResult)
	from, to := bins(h.From), bins(h.To)
	demand := make(map[string]float64)
	for _, c := range d.Classes {
		demand[c.Name] = perSecond(t.classes[c.Name].arrived, from, to)
	}
	best := d.Best(demand, t.condition())
	r.Goodput = make([]float64, bins(h.Lasts))
	for _, c := range d.Classes {
		s := t.classes[c.Name]
		one := replay.ClassResult{Demand: demand[c.Name], Best: best[c.Name], Done: perSecond(s.done, from, to), Served: 1, First: 1}
		if one.Demand > 0 {
			one.Served, one.First = perSecond(s.served, from, to)/one.Demand, perSecond(s.first, from, to)/one.Demand
		}
		r.Classes[c.Name] = one
		r.Best += best[c.Name]
		r.Surge += one.Done
		r.Normal += perSecond(s.done, min(bins(warmUp), from/2), from)
		for i := range r.Goodput {
			r.Goodput[i] += float64(s.done[i]) / replay.Bin.Seconds()
		}
	}
	r.Recovery, r.Recovered = replay.Recovery(r.Goodput, to, r.Normal)
	if all := t.useful + t.useless; all > 0 {
		r.Useless = float64(t.useless) / float64(all)
	}
	t.inversions()
}

// warmUp is left out of the mean before the trigger, as in the replay.
const warmUp = 2 * time.Second

// condition is what the trigger does to the deployment.
func (t *tally) condition() workload.Condition {
	d := t.l.Case.Dep
	in := workload.Condition{Slow: make(map[string]float64), Within: d.Timeout - 2*d.ClientDelay}
	for _, e := range t.l.Case.Trace.Events {
		if e.Fault == workload.Slow && e.Factor > 1 {
			in.Slow[e.Service] = e.Factor
		}
	}
	return in
}

func perSecond(counts []int, from, to int) float64 {
	n := 0
	for _, c := range counts[from:to] {
		n += c
	}
	return float64(n) / (float64(to-from) * replay.Bin.Seconds())
}

// inversions counts refusals of important classes, and those of them within the
// same replay.Bin as a completed request that is less important and used the
// service that refused: the entry's.
func (t *tally) inversions() {
	d := t.l.Case.Dep
	for bin, classes := range t.refused {
		for name, n := range classes {
			class := d.Class(name)
			if !class.Important() {
				continue
			}
			t.out.Refused += n
			for other := range t.done[bin] {
				if o := d.Class(other); o.Importance < class.Importance && at(o, class.Root.Service) != nil {
					t.out.Inverted += n
					break
				}
			}
		}
	}
}
