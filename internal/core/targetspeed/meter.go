package targetspeed

import (
	"time"

	"peardrift/internal/core/request"
)

const (
	// Trust in the stated figure, as in package route.
	trustDecay = 0.7
	trustGain  = 0.05
	// disagreement is the ratio of the stated and the measured factor from which they
	// contradict each other. It is the square root of 2.5, so that a slowdown of 2.5
	// times which is stated but not measured, or the reverse, is found, and variation
	// of the mean over recent calls is not.
	disagreement = 1.6
	// Trust counts as lost below lostBelow and as regained from regainedAt on.
	lostBelow  = 0.5
	regainedAt = 0.9
	// usualFigure is the figure of a target whose work takes as long as usual.
	usualFigure = 100
	// maxRatio bounds the ratio of a single time to its class's usual one in the
	// measured factor, beyond what the stated factor explains.
	maxRatio = 8
)

// Config holds the settings of a Meter.
type Config struct {
	// UsualTime is the time constant of the usual times and of the mean figure. Default
	// 10s. Longer tells temporary from lasting changes of speed better, and takes longer
	// to follow a lasting one that the figure doesn't show.
	UsualTime time.Duration
	// RecentTime is the time constant of the measured factor. Default 100ms. Longer is
	// steadier and detects a false figure later.
	RecentTime time.Duration
	// RecentSamples is the minimum number of calls over which the measured factor is
	// averaged. Default 32. Higher tolerates more variation of single times.
	RecentSamples int
	// MinSamples is the number of calls of a class from which its time is stated.
	// Default 8. Lower states times sooner after a start, from fewer calls.
	MinSamples int
	// FigureAge is how long a figure is used. Default 1s. Longer helps callers of targets
	// with few calls, and uses figures that are no longer true.
	FigureAge time.Duration
	// MaxClasses is the maximum number of classes whose times are kept. Default 64.
	// Further classes have no estimates.
	MaxClasses int
}

// DefaultConfig returns the defaults documented on the fields.
func DefaultConfig() Config {
	return Config{
		UsualTime:     10 * time.Second,
		RecentTime:    100 * time.Millisecond,
		RecentSamples: 32,
		MinSamples:    8,
		FigureAge:     time.Second,
		MaxClasses:    64,
	}
}

// Change is a change of trust in the target's figure.
type Change uint8

const (
	NoChange Change = iota
	Lost
	Regained
)

// Call is a call that has ended in the target.
type Call struct {
	Class request.Class
	// Took is the time in the target without the target's own calls; 0 if the call says
	// nothing about it.
	Took time.Duration
	// Before is the figure stated last when the call began, Figure the one in its answer;
	// 0 if none.
	Before int
	Figure int
}

// Meter measures one target.
type Meter struct {
	cfg     Config
	classes map[request.Class]*classTime

	figure   int
	figureAt time.Duration

	meanStated average // factor stated, over UsualTime
	statedLow  average // lowest factor stated during each of the recent calls
	statedHigh average // highest factor stated during each of the recent calls
	measured   average // factor of the times of the same calls
	trust      float64
	lost       bool
}

// classTime is the usual time of a class, in seconds.
type classTime struct{ usual average }

// average is a moving average with a time constant and a minimum number of samples.
type average struct {
	value float64
	n     int
	at    time.Duration
}

// add adds a sample. The first samples have equal weights.
func (a *average) add(now time.Duration, x float64, constant time.Duration, minSamples int) {
	a.n++
	dt := max(now-a.at, 0).Seconds()
	a.at = now
	w := min(dt/(dt+constant.Seconds()), 1/float64(minSamples))
	a.value += max(w, 1/float64(a.n)) * (x - a.value)
}

// New returns a Meter without measurements.
func New(cfg Config) *Meter {
	return &Meter{cfg: cfg, classes: make(map[request.Class]*classTime), trust: 1}
}

// Figure returns the figure stated last; 0 if none is valid.
func (m *Meter) Figure(now time.Duration) int {
	if m.figure == 0 || now-m.figureAt > m.cfg.FigureAge {
		return 0
	}
	return m.figure
}

// Ended records the end of a call and reports whether trust in the figure was lost or
// regained.
func (m *Meter) Ended(now time.Duration, c *Call) Change {
	if c.Figure > 0 {
		m.figure, m.figureAt = c.Figure, now
		m.meanStated.add(now, float64(c.Figure)/usualFigure, m.cfg.UsualTime, m.cfg.RecentSamples)
	}
	if c.Took <= 0 {
		return NoChange
	}
	t := m.class(c.Class)
	if t == nil {
		return NoChange
	}
	low, high := c.stated()
	if t.usual.n >= m.cfg.MinSamples {
		ratio := c.Took.Seconds() / t.usual.value
		m.measured.add(now, min(ratio, maxRatio*high), m.cfg.RecentTime, m.cfg.RecentSamples)
		m.statedLow.add(now, low, m.cfg.RecentTime, m.cfg.RecentSamples)
		m.statedHigh.add(now, high, m.cfg.RecentTime, m.cfg.RecentSamples)
	}
	t.usual.add(now, c.Took.Seconds()/m.trusted((low+high)/2), m.cfg.UsualTime, m.cfg.RecentSamples)
	return m.updateTrust(c.Figure > 0)
}

// trusted returns a stated factor as far as it is trusted, and the mean one for the rest.
// With 1 in place of the mean, the usual times of a target whose figures are all far from
// 100 would change with trust, and trust would never return.
func (m *Meter) trusted(stated float64) float64 {
	if m.meanStated.n == 0 {
		return 1
	}
	return m.trust*stated + (1-m.trust)*m.meanStated.value
}

// class returns the times of a class; nil if there are too many classes.
func (m *Meter) class(name request.Class) *classTime {
	t, ok := m.classes[name]
	if !ok && len(m.classes) < m.cfg.MaxClasses {
		t = new(classTime)
		m.classes[name] = t
	}
	return t
}

// stated returns the lowest and the highest factor stated while the call ran.
func (c *Call) stated() (low, high float64) {
	if c.Figure == 0 {
		return 1, 1
	}
	before := c.Before
	if before == 0 {
		before = c.Figure
	}
	return float64(min(before, c.Figure)) / usualFigure, float64(max(before, c.Figure)) / usualFigure
}

func (m *Meter) updateTrust(stated bool) Change {
	if !stated || m.measured.n < m.cfg.RecentSamples {
		return NoChange
	}
	if m.measured.value > disagreement*m.statedHigh.value || m.measured.value < m.statedLow.value/disagreement {
		m.trust *= trustDecay
	} else {
		m.trust += trustGain * (1 - m.trust)
	}
	switch {
	case !m.lost && m.trust < lostBelow:
		m.lost = true
		return Lost
	case m.lost && m.trust >= regainedAt:
		m.lost = false
		return Regained
	}
	return NoChange
}

// Stats is a snapshot for metrics and logs. A factor of 2 means twice the usual time.
type Stats struct {
	Stated   float64 // by the target; 0 if it states none
	Measured float64 // by this node, in the same unit; 0 if unknown
	Trust    float64 // in the stated factor, 0 to 1
}

// Stats returns a snapshot.
func (m *Meter) Stats(now time.Duration) Stats {
	s := Stats{Measured: m.measured.value, Trust: m.trust}
	if f := m.Figure(now); f > 0 {
		s.Stated = float64(f) / usualFigure
	}
	return s
}

// factor returns how long calls take now relative to the usual times.
func (m *Meter) factor(figure int) float64 {
	measured := m.meanStated.value
	if m.measured.n >= m.cfg.RecentSamples {
		measured = m.measured.value
	}
	return m.trust*float64(figure)/usualFigure + (1-m.trust)*measured
}

// Factor returns how long calls take now relative to their mean. It is 1 if the target
// states no figure, so that nothing that follows the factor changes for such targets.
func (m *Meter) Factor(now time.Duration) float64 {
	f := m.Figure(now)
	if f == 0 {
		return 1
	}
	return m.factor(f) / m.meanStated.value
}

// ClassTime returns how long a call of the class takes in the target now; 0 if unknown or
// if the target states no figure.
func (m *Meter) ClassTime(now time.Duration, c request.Class) time.Duration {
	t, f := m.classes[c], m.Figure(now)
	if t == nil || t.usual.n < m.cfg.MinSamples || f == 0 {
		return 0
	}
	return time.Duration(t.usual.value * m.factor(f) * float64(time.Second))
}
