package limit

import (
	"math"
	"time"
)

// phase is the purpose of Probe's current measurement.
type phase uint8

const (
	ramping      phase = iota // doubling the limit until requests take longer
	steady                    // measuring at the current limit
	tryingLower               // trying a lower limit
	confirming                // back at the previous limit, to rule out a change of the target
	tryingHigher              // trying a higher limit
	verifyingCut              // checking a limit that was cut because QueueDetector detected queueing
)

// trialRatio is the fraction of the limit that a trial goes down to. Lower values
// give a clearer result but cost more throughput.
const trialRatio = 0.6

// queueingRatio is the ratio of the time in the target during a trial to that before
// it below which requests count as queueing inside the target. The ratio is
// trialRatio if all of them queue and 1 if every slot is real.
const queueingRatio = 0.78

// rampSamples is the number of completions that a step of the ramp needs: enough to
// detect a much longer time, not to compare throughputs.
const rampSamples = 10

// Probe is an Algorithm that changes the limit and keeps the change only if the
// throughput shows a benefit. See the package comment.
type Probe struct {
	cfg   Config
	max   int
	limit int

	phase             phase
	settling          time.Duration // remaining time until the last change shows in completions
	measurement       Window        // measurement in progress
	beforeTrial       reading       // reading before the trial
	atLower           reading       // reading at the lower limit of the trial
	lastReading       reading       // previous reading, in any phase
	bestTime          time.Duration // shortest time in the target, rising slowly
	repeatCut         bool          // the last trial cut the limit; the next follows at once
	inflatedFor       time.Duration // how long the time in the target has been inflated
	trialPause        time.Duration // remaining time until the next trial
	nextBackoff       time.Duration // next trialPause
	queueingWindow    Window        // measured since QueueDetector detected queueing inside the target
	ignoreQueueingFor time.Duration // remaining time during which QueueDetector is ignored
	cutByQueueing     bool          // the limit was last cut because of QueueDetector
	sheds             shedRun
}

// shedRun is the state of a series of windows in which the target sheds.
type shedRun struct {
	limit      int           // limit at its start; 0: no run
	cut        bool          // the limit has been cut in this run
	fraction   float64       // fraction of requests shed at its start
	sinceShed  time.Duration // time since the last such window
	ignoreFor  time.Duration // remaining time during which sheds are ignored
	nextIgnore time.Duration // next ignoreFor
}

const (
	// Once the limit is cut to futileLimitRatio of its value while the fraction of
	// shed requests is still at least futileShedRatio of what it was, shedding does
	// not depend on load. A target with far fewer slots than declared sheds clearly
	// less by then: with ten real slots of a hundred, 60% instead of 90% at a
	// quarter of the limit.
	futileLimitRatio = 0.25
	futileShedRatio  = 0.8
	// shedRunTimeout is how long after the last shed a run ends.
	shedRunTimeout = time.Second
)

// cutIsFutile evaluates a window with sheds and reports whether shedding is
// independent of load.
//
// Otherwise a target that rejects half of its requests at any concurrency for a few
// seconds would get a limit of one, and gates would refuse nearly everything for ten
// seconds after it has recovered. A limit does not help there: what it admits is
// rejected just the same.
func (p *Probe) cutIsFutile(w Window) bool {
	s := &p.sheds
	fraction := float64(w.Overloaded) / float64(w.Completed+w.Overloaded)
	s.sinceShed = 0
	if s.limit == 0 {
		s.limit, s.fraction = p.limit, fraction
	}
	if float64(p.limit) > futileLimitRatio*float64(s.limit) || fraction < futileShedRatio*s.fraction {
		return false
	}
	p.set(s.limit)
	s.ignoreFor = max(s.nextIgnore, p.cfg.Backoff)
	s.nextIgnore = min(2*s.ignoreFor, p.cfg.MaxBackoff)
	s.limit = 0
	p.measurement, p.settling = Window{}, 0
	p.trialPause, p.nextBackoff = 0, p.cfg.Backoff
	return true
}

// advance updates the timers by the length of a window.
func (s *shedRun) advance(d time.Duration) {
	s.ignoreFor = max(0, s.ignoreFor-d)
	s.sinceShed += d
	if s.sinceShed >= shedRunTimeout {
		s.limit, s.cut = 0, false
	}
	if s.sinceShed >= shedRunTimeout && s.ignoreFor == 0 {
		s.nextIgnore = 0
	}
}

// reading is a measurement at one limit.
type reading struct {
	limit        int
	inFlight     float64       // mean requests in flight
	timeInTarget time.Duration // mean time in the target
	ownTime      time.Duration // the same, excluding the target's calls
}

// NewProbe returns a Probe for a target that declares slots.
func NewProbe(cfg Config, slots int) *Probe {
	p := &Probe{cfg: cfg, nextBackoff: cfg.Backoff}
	p.max = cfg.Usable(slots)
	p.set(p.initial())
	return p
}

func (p *Probe) initial() int {
	return max(p.cfg.MinInitial, int(float64(p.max)*p.cfg.InitialFraction))
}

// Limit implements Algorithm.
func (p *Probe) Limit() int { return p.limit }

// SetMax implements Algorithm. Additional slots are used by ramping up, as at the
// start.
func (p *Probe) SetMax(slots int) {
	slots = p.cfg.Usable(slots)
	if slots > p.max && p.limit == p.max {
		p.phase = ramping
	}
	p.max = slots
	p.set(p.limit)
	if p.bestTime == 0 {
		p.set(max(p.limit, p.initial())) // no measurement calls for less
	}
}

// Observe implements Algorithm.
func (p *Probe) Observe(w Window) {
	p.trialPause = max(0, p.trialPause-w.Length)
	p.ignoreQueueingFor = max(0, p.ignoreQueueingFor-w.Length)
	p.sheds.advance(w.Length)
	if p.sheds.ignoreFor == 0 && p.shedding(w) {
		if !p.cutIsFutile(w) {
			p.cutOnSheds(w)
		}
		return
	}
	if p.cutOnQueueing(w) {
		return
	}
	if p.settling > 0 {
		p.settling -= w.Length
		return
	}
	p.measurement.add(w)
	if !p.measurementComplete() {
		return
	}
	m := p.measurement
	p.measurement = Window{}
	p.evaluate(m)
}

func (p *Probe) measurementComplete() bool {
	samples := p.cfg.MinSamples
	switch p.phase {
	case ramping:
		samples = rampSamples
	case verifyingCut:
		samples = queueingCompletions
	}
	if p.measurement.Length >= p.cfg.MaxMeasure {
		return p.measurement.Completed > 0
	}
	return p.measurement.Length >= p.cfg.MinMeasure && p.measurement.Completed >= samples
}

func (p *Probe) evaluate(m Window) {
	r := reading{limit: p.limit, inFlight: m.inFlight(), timeInTarget: m.timeInTarget(), ownTime: m.ownTime()}
	p.updateBest(r, m.Length)
	if m.Saturated < m.Length/2 {
		p.endUnfilledTrial(r)
		return
	}
	last := p.lastReading
	p.lastReading = r
	switch p.phase {
	case ramping:
		p.ramp(r)
	case steady:
		p.startTrial(r, settled(last, r))
	case tryingLower:
		p.afterLower(r)
	case confirming:
		p.afterConfirm(r)
	case tryingHigher:
		p.afterRaise(r)
	case verifyingCut:
		p.afterVerifyingCut(r)
	}
}

// bestWeight makes the best time rise slowly: the minimum of many noisy readings is
// too low to compare with.
const bestWeight = 0.02

func (p *Probe) updateBest(r reading, length time.Duration) {
	if p.bestTime == 0 || r.timeInTarget < p.bestTime {
		p.bestTime = r.timeInTarget
	}
	if p.inflated(r, p.cfg.Inflation) {
		p.inflatedFor += length
		return
	}
	p.bestTime += time.Duration(bestWeight * float64(r.timeInTarget-p.bestTime))
	p.inflatedFor = 0
	p.repeatCut = p.repeatCut && p.inflated(r, cutInflation)
}

// endUnfilledTrial ends a trial that demand did not fill, which is inconclusive. A
// ramp continues: it spares a cold target by its duration. If it waited for demand,
// the limit would still be low when a slowdown makes all slots necessary, and the
// slowdown would be mistaken for queueing.
func (p *Probe) endUnfilledTrial(r reading) {
	p.beforeTrial, p.lastReading = reading{}, reading{}
	if p.phase == ramping {
		p.ramp(r)
		return
	}
	if p.phase != verifyingCut {
		p.set(max(p.limit, p.beforeTrial.limit))
	}
	p.phase = steady
}

// rampInflation is the inflation that ends the ramp. It is far above Inflation: with
// few samples a reading is noisy, and a ramp that stops by mistake costs more than
// one that goes too far and is corrected by a trial.
const rampInflation = 3

// ramp doubles the limit until requests take much longer or all slots are in use.
func (p *Probe) ramp(r reading) {
	if p.inflated(r, rampInflation) || p.limit == p.max {
		p.phase = steady
		return
	}
	p.setAndSettle(2*p.limit, r)
}

// inflated reports whether the target's own time per request exceeds the best time
// by the given factor. Waiting for callees does not count: otherwise each service
// above a slow one would try fewer slots, refuse requests that it could serve, and
// continue to do so for seconds after the slow one has recovered.
func (p *Probe) inflated(r reading, by float64) bool {
	return float64(r.ownTime) > by*float64(p.bestTime)
}

// cutInflation is the inflation below which a series of cuts ends. It is lower than
// Inflation, which only starts one.
const cutInflation = 1.3

// startTrial starts a trial if there is a reason for one and the target is stable: a
// trial would mistake a change of the target for its own effect.
func (p *Probe) startTrial(r reading, settled bool) {
	if !settled {
		return
	}
	switch {
	case p.limit > 1 && (p.inflatedFor >= p.cfg.InflationPeriod || p.repeatCut && p.inflated(r, cutInflation)):
		p.beginTrial(tryingLower, int(trialRatio*float64(p.limit)), r)
	case p.limit < p.max && p.trialPause == 0:
		p.beginTrial(tryingHigher, max(p.limit+1, int(float64(p.limit)/trialRatio)), r)
	}
}

func (p *Probe) beginTrial(ph phase, limit int, r reading) {
	p.phase = ph
	p.beforeTrial = r
	p.setAndSettle(limit, r)
}

// afterLower restores the limit. If the time in the target fell, it does so only to
// confirm the result.
func (p *Probe) afterLower(r reading) {
	if !queuesInside(r, p.beforeTrial) {
		p.endWithoutQueueing(r)
		return
	}
	p.atLower = r
	p.phase = confirming
	p.setAndSettle(p.beforeTrial.limit, r)
}

// afterConfirm applies a lower limit if restoring the limit brought queueing back. A
// wrong cut costs throughput, a late cut only time in the target, so a cut needs
// both observations.
func (p *Probe) afterConfirm(r reading) {
	if !queuesInside(p.atLower, r) {
		p.endWithoutQueueing(r)
		return
	}
	p.phase, p.repeatCut, p.cutByQueueing = steady, true, false
	p.nextBackoff = p.cfg.Backoff
	limit := int(math.Ceil(cutHeadroom * usefulInFlight(p.atLower, r)))
	p.beforeTrial, p.lastReading = reading{}, reading{}
	p.setAndSettle(limit, r)
	p.backOff()
}

// endWithoutQueueing ends a trial that found real slots: the target is slower, but
// requests do not queue in it. Its current time becomes the best time.
func (p *Probe) endWithoutQueueing(r reading) {
	p.bestTime, p.inflatedFor = r.timeInTarget, 0
	p.phase, p.repeatCut = steady, false
	p.setAndSettle(p.beforeTrial.limit, r)
}

// setAndSettle sets the limit and waits until completions reflect it.
func (p *Probe) setAndSettle(limit int, r reading) {
	p.set(limit)
	p.settling = min(r.timeInTarget, p.cfg.MaxMeasure)
}

// minGain is the ratio by which a raised limit must increase the useful requests in
// flight for part of it to be kept. Smaller gains are noise and would make the limit
// creep up.
const minGain = 1.15

// afterRaise keeps a higher limit if requests take no longer with it, and otherwise
// the useful part of it.
func (p *Probe) afterRaise(r reading) {
	p.phase = steady
	if !queuesInside(p.beforeTrial, r) {
		p.nextBackoff = p.cfg.Backoff
		if p.cutByQueueing {
			p.phase = ramping
		}
		return
	}
	limit := p.beforeTrial.limit
	if u := usefulInFlight(p.beforeTrial, r); u > minGain*p.beforeTrial.inFlight {
		limit = int(u)
	}
	p.setAndSettle(limit, r)
	p.backOff()
}

// shedding reports whether the target sheds more than a single request and more than
// ShedFraction.
func (p *Probe) shedding(w Window) bool {
	n := w.Completed + w.Overloaded
	return w.Overloaded > 1 && float64(w.Overloaded) > p.cfg.ShedFraction*float64(n)
}

// shedCut is the maximum fraction of the limit that one window with sheds removes.
const shedCut = 0.3

// cutOnSheds lowers the limit at once: a shed request has already cost the target
// and its caller, and shedding means that the target has too many requests.
func (p *Probe) cutOnSheds(w Window) {
	p.set(min(p.limit-1, max(int(w.inFlight()), int(float64(p.limit)*(1-shedCut)))))
	p.phase = steady
	p.measurement = Window{}
	p.settling = min(w.timeInTarget(), p.cfg.MaxMeasure)
	if !p.sheds.cut {
		p.backOff() // further cuts of the same run don't lengthen the pause
	}
	p.sheds.cut = true
}

// backOff pauses the trials: exponentially longer each time, or for raisePause after
// a cut because of QueueDetector.
func (p *Probe) backOff() {
	if p.cutByQueueing {
		p.trialPause = raisePause
		return
	}
	p.trialPause = p.nextBackoff
	p.nextBackoff = min(2*p.nextBackoff, p.cfg.MaxBackoff)
}

func (p *Probe) set(limit int) { p.limit = min(p.max, max(1, limit)) }

// settledTolerance is the maximum difference, as a logarithm, between two readings
// of the time in the target for it to count as stable.
const settledTolerance = 0.25

func settled(a, b reading) bool {
	return a.timeInTarget > 0 && math.Abs(math.Log(float64(b.timeInTarget)/float64(a.timeInTarget))) < settledTolerance
}

// queuesInside reports whether requests queue inside the target at the higher limit,
// judged by their time in it. By Little's law this is equivalent to comparing
// throughputs, and stays correct when demand drops briefly.
func queuesInside(low, high reading) bool {
	return float64(low.timeInTarget) < queueingRatio*float64(high.timeInTarget)
}

// cutHeadroom is the ratio of a limit after a cut to the useful requests in flight.
const cutHeadroom = 1.1

// usefulInFlight returns the number of requests in flight that sustains the
// throughput of the higher reading if each takes as long as in the lower one.
func usefulInFlight(low, high reading) float64 {
	return high.inFlight * float64(low.timeInTarget) / float64(high.timeInTarget)
}
