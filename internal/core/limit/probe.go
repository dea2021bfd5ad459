package limit

import (
	"math"
	"time"
)

// phase is what Probe is measuring for.
type phase uint8

const (
	ramping phase = iota // doubling until the throughput stops following
	steady               // measuring at the present limit
	lower                // trying a lower limit
	raise                // trying a higher limit
)

// elastic is the part of a change of limit that the throughput must follow for
// the slots to count as real: 1 if every slot is, 0 if requests only queue
// inside the target.
const elastic = 0.5

// Probe is an Algorithm that changes the limit and keeps the change only if the
// throughput says that it helps. See the package comment.
type Probe struct {
	cfg   Config
	max   int
	limit int

	phase   phase
	settle  time.Duration // left until the last change shows in completions
	sum     Window        // the measurement under way
	before  int           // limit before the trial
	rate    float64       // throughput before the trial, per second
	best    time.Duration // least time in target that is still believed
	pause   time.Duration // left until the next trial
	backoff time.Duration // next pause
}

// NewProbe returns an algorithm for a target that declares slots.
func NewProbe(cfg Config, slots int) *Probe {
	p := &Probe{cfg: cfg, backoff: cfg.Backoff}
	p.max = max(1, slots)
	p.limit = min(p.max, max(cfg.MinInitial, int(float64(p.max)*cfg.InitialFraction)))
	return p
}

// Limit implements Algorithm.
func (p *Probe) Limit() int { return p.limit }

// SetMax implements Algorithm. More slots are taken into use by ramping, as at
// the start.
func (p *Probe) SetMax(slots int) {
	slots = max(1, slots)
	if slots > p.max && p.limit == p.max {
		p.phase = ramping
		p.rate = 0
	}
	p.max = slots
	p.set(p.limit)
}

// Observe implements Algorithm.
func (p *Probe) Observe(w Window) {
	p.pause = max(0, p.pause-w.Length)
	if p.shedding(w) {
		p.cut(w)
		return
	}
	if p.settle > 0 {
		p.settle -= w.Length
		return
	}
	if p.sum.Length == 0 {
		p.sum = w
	} else {
		p.sum.add(w)
	}
	if !p.measured() {
		return
	}
	m := p.sum
	p.sum = Window{}
	p.judge(m)
}

func (p *Probe) measured() bool {
	if p.sum.Length >= p.cfg.MaxMeasure {
		return true
	}
	return p.sum.Length >= p.cfg.MinMeasure && p.sum.Completed >= p.cfg.MinSamples
}

func (p *Probe) judge(m Window) {
	t := m.timeInTarget()
	if t > 0 && (p.best == 0 || t < p.best) {
		p.best = t
	}
	if !m.Saturated {
		p.idle()
		return
	}
	switch p.phase {
	case ramping:
		p.ramp(m)
	case steady:
		p.consider(m)
	case lower:
		p.afterLower(m)
	case raise:
		p.afterRaise(m)
	}
}

// idle ends a trial that demand did not fill: it proves nothing.
func (p *Probe) idle() {
	if p.phase == lower || p.phase == raise {
		p.set(max(p.limit, p.before))
		p.phase = steady
	}
}

// ramp doubles the limit for as long as the throughput follows.
func (p *Probe) ramp(m Window) {
	x := m.throughput()
	if p.rate > 0 && !followed(p.rate, x, p.before, p.limit) {
		p.set(p.before)
		p.phase = steady
		p.wait()
		return
	}
	if p.limit == p.max {
		p.phase = steady
		return
	}
	p.rate, p.before = x, p.limit
	p.set(2 * p.limit)
}

// consider starts a trial if there is a reason for one.
func (p *Probe) consider(m Window) {
	if p.pause > 0 {
		return
	}
	inflated := float64(m.timeInTarget()) > p.cfg.Inflation*float64(p.best)
	down := min(p.limit-1, int(float64(p.limit)*(1-p.cfg.Step)))
	switch {
	case inflated && down >= 1:
		p.try(lower, down, m)
	case p.limit < p.max:
		p.try(raise, max(p.limit+1, int(float64(p.limit)*(1+p.cfg.Step))), m)
	}
}

func (p *Probe) try(ph phase, limit int, m Window) {
	p.phase = ph
	p.rate, p.before = m.throughput(), p.limit
	p.set(limit)
	p.settle = min(m.timeInTarget(), p.cfg.MaxMeasure)
}

// afterLower keeps a lower limit if the throughput held.
func (p *Probe) afterLower(m Window) {
	p.phase = steady
	if !followed(p.rate, m.throughput(), p.before, p.limit) {
		p.backoff = p.cfg.Backoff
		return // the next window may go further down at once
	}
	// The target is slower, not queueing: what it takes now is its best.
	p.best = m.timeInTarget()
	p.set(p.before)
	p.wait()
}

// afterRaise keeps a higher limit if the throughput followed.
func (p *Probe) afterRaise(m Window) {
	p.phase = steady
	if followed(p.rate, m.throughput(), p.before, p.limit) {
		p.backoff = p.cfg.Backoff
		return
	}
	p.set(p.before)
	p.wait()
}

// shedding reports whether the target sheds more than a stray request.
func (p *Probe) shedding(w Window) bool {
	n := w.Completed + w.Overloaded
	return w.Overloaded > 1 && float64(w.Overloaded) > p.cfg.ShedFraction*float64(n)
}

// cut lowers the limit at once: a shed request has already cost the target and
// its caller, and the target says that it holds too many.
func (p *Probe) cut(w Window) {
	inFlight := int(w.Busy / max(1, w.Length))
	p.set(min(p.limit, max(inFlight, int(float64(p.limit)*(1-p.cfg.Step)))))
	p.phase = steady
	p.sum = Window{}
	p.wait()
}

// wait pauses the trials, longer each time.
func (p *Probe) wait() {
	p.pause = p.backoff
	p.backoff = min(2*p.backoff, p.cfg.MaxBackoff)
}

func (p *Probe) set(limit int) { p.limit = min(p.max, max(1, limit)) }

// followed reports whether throughput x1 at limit l1 differs from x0 at l0 as
// it does if slots are real.
func followed(x0, x1 float64, l0, l1 int) bool {
	if x0 <= 0 || x1 <= 0 {
		return x1 > x0 == (l1 > l0)
	}
	return math.Log(x1/x0)/math.Log(float64(l1)/float64(l0)) > elastic
}
