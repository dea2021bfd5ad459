package dataplane

import (
	"math"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/core/request"
	"peardrift/internal/core/targetspeed"
)

// targetSpeed makes the measurement of the own target usable from traffic goroutines.
type targetSpeed struct {
	now func() time.Duration

	mu     sync.Mutex
	meter  *targetspeed.Meter
	factor float64 // last one that the gate was told
}

// factorStep is the relative change of the time factor from which the gate is told.
const factorStep = 0.02

func newTargetSpeed(now func() time.Duration) *targetSpeed {
	return &targetSpeed{now: now, meter: targetspeed.New(targetspeed.DefaultConfig()), factor: 1}
}

// figure returns the figure that the target stated last; 0 if none is valid.
func (s *targetSpeed) figure() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meter.Figure(s.now())
}

// classTime returns how long a call of the class takes in the target now; 0 if unknown.
func (s *targetSpeed) classTime(class request.Class) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meter.ClassTime(s.now(), class)
}

// ended records a call, calls set with the time factor if it has changed, and returns how
// trust in the figure changed.
func (s *targetSpeed) ended(c *targetspeed.Call, set func(float64)) (targetspeed.Change, targetspeed.Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	change := s.meter.Ended(now, c)
	s.applyFactorLocked(now, set)
	if change == targetspeed.NoChange {
		return change, targetspeed.Stats{}
	}
	return change, s.meter.Stats(now)
}

// applyFactorLocked calls set with the time factor if it has changed. set runs under the
// mutex, so that an older factor can't be set after a newer one.
func (s *targetSpeed) applyFactorLocked(now time.Duration, set func(float64)) {
	f := s.meter.Factor(now)
	if math.Abs(f-s.factor) < factorStep*s.factor {
		return
	}
	s.factor = f
	set(f)
}

// reset forgets what was measured of an earlier instance of the target.
func (s *targetSpeed) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter = targetspeed.New(targetspeed.DefaultConfig())
}

// stats returns a snapshot, and calls set with the time factor if it has changed.
func (s *targetSpeed) stats(set func(float64)) targetspeed.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.applyFactorLocked(now, set)
	return s.meter.Stats(now)
}

// OnFigureTrust sets the function that is called when trust in the own target's stated time
// factor is lost or regained. Call it before traffic begins; f must not block.
func (e *Engine) OnFigureTrust(f func(targetspeed.Change, targetspeed.Stats)) { e.onFigureTrust = f }

// TargetSpeed returns a snapshot of the own target's speed. It also ends the gate's use of a
// figure that has become too old, if no answers do.
func (e *Engine) TargetSpeed() targetspeed.Stats { return e.speed.stats(e.gate.setTimeFactor) }

// targetRun is one run of a request on the own target.
type targetRun struct {
	began   time.Duration
	blocked time.Duration // blocked time of the request before the run, of earlier sends
	before  int           // figure stated when it began
}

func (e *Engine) beginRun(s *inboundCall) targetRun {
	if e.cfg.Dialect.Load == "" {
		return targetRun{}
	}
	return targetRun{began: e.now(), blocked: s.running.blockedTime(), before: e.speed.figure()}
}

// endRun reads the load that the target's answer states and records the time that the
// request took in the target. A failed request says nothing about that, and neither does one
// whose body was streamed, since that takes as long as its caller sends.
func (e *Engine) endRun(s *inboundCall, run targetRun, resp *protocol.Response, r *result) {
	if e.cfg.Dialect.Load == "" {
		return
	}
	c := targetspeed.Call{Class: s.class.Name, Before: run.before}
	if l, ok := e.cfg.Dialect.GetLoad(&resp.Header); ok {
		c.Figure = l.Figure
	}
	if c.Figure == 0 && c.Before == 0 {
		return // times of targets that state no figure are not used
	}
	if r.code == "" && r.outcome == request.Completed && s.body.stream == nil {
		c.Took = r.headAt - run.began - (s.running.blockedTime() - run.blocked)
	}
	change, st := e.speed.ended(&c, e.gate.setTimeFactor)
	if change != targetspeed.NoChange {
		e.onFigureTrust(change, st)
	}
}
