package limit

import (
	"math"
	"time"
)

// phase is what Probe is measuring for.
type phase uint8

const (
	ramping phase = iota // doubling until requests take longer
	steady               // measuring at the present limit
	lower                // trying a lower limit
	confirm              // back at the limit before, to rule out that the target changed
	raise                // trying a higher limit
	relief               // at the limit that a sign of waiting calls for
)

// trial is the part of the limit that a trial goes down to. Further down the
// answer is clearer and the trial dearer.
const trial = 0.6

// queueing is the most that the time in target may fall to, as a ratio, in a
// trial for requests to count as queueing inside the target: down to trial if
// they all did, 1 if every slot is real.
const queueing = 0.78

// rampSamples is how many completions a step of the ramp needs: enough to see
// that requests take much longer, not to compare throughputs.
const rampSamples = 10

// Probe is an Algorithm that changes the limit and keeps the change only if the
// throughput says that it helps. See the package comment.
type Probe struct {
	cfg   Config
	max   int
	limit int

	phase    phase
	settle   time.Duration // left until the last change shows in completions
	sum      Window        // the measurement under way
	before   reading       // before the trial
	lowered  reading       // at the lower limit of the trial
	last     reading       // the previous one, whatever the phase
	best     time.Duration // least time in target that is still believed
	cutting  bool          // the last trial led down, and the next follows at once
	suspect  time.Duration // for how long requests have taken far longer than their best
	pause    time.Duration // left until the next trial
	backoff  time.Duration // next pause
	signed   Window        // measured since requests show signs of waiting inside
	distrust time.Duration // left until such a sign is heeded again
	relieved bool          // the limit was last cut on such a sign
	sheds    sheds
}

// sheds is what is known of a run of windows in which the target sheds.
type sheds struct {
	limit  int           // when it began; 0: there is none
	part   float64       // of the requests that were shed then
	calm   time.Duration // since the last such window
	deaf   time.Duration // left until sheds are heeded again
	ignore time.Duration // next such time
}

const (
	// A limit that was cut to blindLimit of what it was, while still blindPart of
	// the part of requests are shed that were shed then, has shown that the sheds
	// don't come of load. A target that holds far fewer than it says sheds
	// visibly less by then: of a hundred slots with ten real ones, at a quarter
	// of the limit 60% in place of 90%.
	blindLimit = 0.25
	blindPart  = 0.8
	// calmAfter is how long after the last shed a run of them has ended.
	calmAfter = time.Second
)

// blind takes in a window with sheds and reports whether they don't come of load.
//
// Symptom otherwise: a target that turns half of its requests away whatever it
// holds, for seconds, gets a limit of one, and gates refuse nearly all for ten
// seconds more after it is well again. A limit can't help there: what it lets in
// is turned away just the same.
func (p *Probe) blind(w Window) bool {
	s := &p.sheds
	part := float64(w.Overloaded) / float64(w.Completed+w.Overloaded)
	s.calm = 0
	if s.limit == 0 {
		s.limit, s.part = p.limit, part
	}
	if float64(p.limit) > blindLimit*float64(s.limit) || part < blindPart*s.part {
		return false
	}
	p.set(s.limit)
	s.deaf = max(s.ignore, p.cfg.Backoff)
	s.ignore = min(2*s.deaf, p.cfg.MaxBackoff)
	s.limit = 0
	p.sum, p.settle = Window{}, 0
	return true
}

// pass lets the time of a window pass for what is known of sheds.
func (s *sheds) pass(d time.Duration) {
	s.deaf = max(0, s.deaf-d)
	s.calm += d
	if s.calm >= calmAfter {
		s.limit = 0
	}
	if s.calm >= calmAfter && s.deaf == 0 {
		s.ignore = 0
	}
}

// reading is a measurement at one limit.
type reading struct {
	limit  int
	flight float64       // mean requests in flight
	took   time.Duration // mean time in the target
	own    time.Duration // the same without its waiting for the target's calls
}

// NewProbe returns an algorithm for a target that declares slots.
func NewProbe(cfg Config, slots int) *Probe {
	p := &Probe{cfg: cfg, backoff: cfg.Backoff}
	p.max = cfg.usable(slots)
	p.set(p.initial())
	return p
}

func (p *Probe) initial() int {
	return max(p.cfg.MinInitial, int(float64(p.max)*p.cfg.InitialFraction))
}

// Limit implements Algorithm.
func (p *Probe) Limit() int { return p.limit }

// SetMax implements Algorithm. More slots are taken into use by ramping, as at
// the start.
func (p *Probe) SetMax(slots int) {
	slots = p.cfg.usable(slots)
	if slots > p.max && p.limit == p.max {
		p.phase = ramping
	}
	p.max = slots
	p.set(p.limit)
	if p.best == 0 {
		p.set(max(p.limit, p.initial())) // nothing was measured that speaks for less
	}
}

// Observe implements Algorithm.
func (p *Probe) Observe(w Window) {
	p.pause = max(0, p.pause-w.Length)
	p.distrust = max(0, p.distrust-w.Length)
	p.sheds.pass(w.Length)
	if p.sheds.deaf == 0 && p.shedding(w) {
		if !p.blind(w) {
			p.cut(w)
		}
		return
	}
	if p.sign(w) {
		return
	}
	if p.settle > 0 {
		p.settle -= w.Length
		return
	}
	p.sum.add(w)
	if !p.measured() {
		return
	}
	m := p.sum
	p.sum = Window{}
	p.judge(m)
}

func (p *Probe) measured() bool {
	samples := p.cfg.MinSamples
	switch p.phase {
	case ramping:
		samples = rampSamples
	case relief:
		samples = signedSamples
	}
	if p.sum.Length >= p.cfg.MaxMeasure {
		return p.sum.Completed > 0
	}
	return p.sum.Length >= p.cfg.MinMeasure && p.sum.Completed >= samples
}

func (p *Probe) judge(m Window) {
	r := reading{limit: p.limit, flight: m.inFlight(), took: m.timeInTarget(), own: m.ownTime()}
	p.remember(r, m.Length)
	if m.Saturated < m.Length/2 {
		p.idle(r)
		return
	}
	last := p.last
	p.last = r
	switch p.phase {
	case ramping:
		p.ramp(r)
	case steady:
		p.consider(r, settled(last, r))
	case lower:
		p.afterLower(r)
	case confirm:
		p.afterConfirm(r)
	case raise:
		p.afterRaise(r)
	case relief:
		p.afterRelief(r)
	}
}

// bestWeight lets the best time in target grow slowly: the least of many rough
// readings is too low to compare with.
const bestWeight = 0.02

func (p *Probe) remember(r reading, length time.Duration) {
	if p.best == 0 || r.took < p.best {
		p.best = r.took
	}
	if p.inflated(r, p.cfg.Inflation) {
		p.suspect += length
		return
	}
	p.best += time.Duration(bestWeight * float64(r.took-p.best))
	p.suspect = 0
	p.cutting = p.cutting && p.inflated(r, cutInflation)
}

// idle ends a trial that demand did not fill: it proves nothing. A ramp goes on:
// it spares a cold target by its time, and if it waited for demand, the limit
// would still be low when a slowdown of the target makes all of its slots
// needed, and would then take that slowdown for queueing.
func (p *Probe) idle(r reading) {
	p.before, p.last = reading{}, reading{}
	if p.phase == ramping {
		p.ramp(r)
		return
	}
	if p.phase != relief {
		p.set(max(p.limit, p.before.limit))
	}
	p.phase = steady
}

// rampInflation ends the ramp. It is far above Inflation: with few samples a
// reading is rough, and a ramp that stops by mistake costs more than one that
// goes too far and is taken back by a trial.
const rampInflation = 3

// ramp doubles the limit until requests take much longer or all slots are in
// use.
func (p *Probe) ramp(r reading) {
	if p.inflated(r, rampInflation) || p.limit == p.max {
		p.phase = steady
		return
	}
	p.move(2*p.limit, r)
}

// inflated reports whether requests take that much longer than at their best by
// the target's own doing. A target whose calls take longer has no queue inside:
// each service above a slow one would try fewer slots, refuse with the rest what
// it could serve, and do so for seconds after the slow one is well again.
func (p *Probe) inflated(r reading, by float64) bool {
	return float64(r.own) > by*float64(p.best)
}

// cutInflation is how much longer than at their best requests may take for a
// row of cuts to end. It is below Inflation, which only starts one.
const cutInflation = 1.3

// consider starts a trial if there is a reason for one and the target is not
// just changing: a trial would take the change for its own effect.
func (p *Probe) consider(r reading, settled bool) {
	if !settled {
		return
	}
	switch {
	case p.limit > 1 && (p.suspect >= p.cfg.Patience || p.cutting && p.inflated(r, cutInflation)):
		p.try(lower, int(trial*float64(p.limit)), r)
	case p.limit < p.max && p.pause == 0:
		p.try(raise, max(p.limit+1, int(float64(p.limit)/trial)), r)
	}
}

func (p *Probe) try(ph phase, limit int, r reading) {
	p.phase = ph
	p.before = r
	p.move(limit, r)
}

// afterLower goes back up; if the time in target fell, only to make sure.
func (p *Probe) afterLower(r reading) {
	if !queues(r, p.before) {
		p.slower(r)
		return
	}
	p.lowered = r
	p.phase = confirm
	p.move(p.before.limit, r)
}

// afterConfirm takes a lower limit if going back up brought queueing again. A
// cut by mistake costs throughput, a cut that comes late only time in the
// target; so a cut needs both.
func (p *Probe) afterConfirm(r reading) {
	if !queues(p.lowered, r) {
		p.slower(r)
		return
	}
	p.phase, p.cutting, p.relieved = steady, true, false
	p.backoff = p.cfg.Backoff
	limit := int(math.Ceil(spare * useful(p.lowered, r)))
	p.before, p.last = reading{}, reading{}
	p.move(limit, r)
	p.wait()
}

// slower ends a trial that found real slots: the target takes longer, but
// requests don't queue in it. What it takes now counts as its best.
func (p *Probe) slower(r reading) {
	p.best, p.suspect = r.took, 0
	p.phase, p.cutting = steady, false
	p.move(p.before.limit, r)
}

// move sets the limit and waits until completions show it.
func (p *Probe) move(limit int, r reading) {
	p.set(limit)
	p.settle = min(r.took, p.cfg.MaxMeasure)
}

// gain is by how much, as a ratio, a raised limit must have carried more for a
// part of it to be kept. Below that it is chance, and limits would creep up.
const gain = 1.15

// afterRaise keeps a higher limit if requests take no longer with it, and else
// what of it was of use.
func (p *Probe) afterRaise(r reading) {
	p.phase = steady
	if !queues(p.before, r) {
		p.backoff = p.cfg.Backoff
		if p.relieved {
			p.phase = ramping
		}
		return
	}
	limit := p.before.limit
	if u := useful(p.before, r); u > gain*p.before.flight {
		limit = int(u)
	}
	p.move(limit, r)
	p.wait()
}

// shedding reports whether the target sheds more than a stray request.
func (p *Probe) shedding(w Window) bool {
	n := w.Completed + w.Overloaded
	return w.Overloaded > 1 && float64(w.Overloaded) > p.cfg.ShedFraction*float64(n)
}

// shedCut is the most that one window with sheds takes off the limit.
const shedCut = 0.3

// cut lowers the limit at once: a shed request has already cost the target and
// its caller, and the target says that it holds too many.
func (p *Probe) cut(w Window) {
	p.set(min(p.limit-1, max(int(w.inFlight()), int(float64(p.limit)*(1-shedCut)))))
	p.phase = steady
	p.sum = Window{}
	p.settle = min(w.timeInTarget(), p.cfg.MaxMeasure)
	p.wait()
}

// wait pauses the trials, longer each time.
func (p *Probe) wait() {
	if p.relieved {
		p.pause = liftAfter
		return
	}
	p.pause = p.backoff
	p.backoff = min(2*p.backoff, p.cfg.MaxBackoff)
}

func (p *Probe) set(limit int) { p.limit = min(p.max, max(1, limit)) }

// unchanged is by how much, as a logarithm, two readings of the time in target
// may differ for the target to count as settled.
const unchanged = 0.25

func settled(a, b reading) bool {
	return a.took > 0 && math.Abs(math.Log(float64(b.took)/float64(a.took))) < unchanged
}

// queues reports whether requests queue inside the target at the higher limit,
// by their time in it. By Little's law that says what the throughputs say, and
// stays right when demand falls short for a moment.
func queues(low, high reading) bool {
	return float64(low.took) < queueing*float64(high.took)
}

// spare is how much a limit that was cut exceeds what was found to be of use.
const spare = 1.1

// useful returns the requests in flight that carry the throughput of the higher
// reading if each takes as long as in the lower one.
func useful(low, high reading) float64 {
	return high.flight * float64(low.took) / float64(high.took)
}
