package resend

import (
	"time"

	"peardrift/internal/core/earlyrefusal"
)

// Starts decides at an entry which classes not to start. See the package comment.
type Starts struct {
	cfg     StartsConfig
	classes map[earlyrefusal.Key]*class
}

// spanBins is the number of bins of StartsConfig.Span.
const spanBins = 10

// class is what is known of one class.
type class struct {
	bins    [spanBins]ended
	bin     int64 // current bin
	refused bool
	asked   int // requests since the last probe, while refused
}

// ended counts the requests that ended in one bin.
type ended struct{ all, rejected int }

// NewStarts returns a Starts that starts all classes.
func NewStarts(cfg StartsConfig) *Starts {
	return &Starts{cfg: cfg, classes: make(map[earlyrefusal.Key]*class)}
}

// Start reports whether a request may start.
func (s *Starts) Start(now time.Duration, k earlyrefusal.Key) bool {
	c, ok := s.classes[k]
	if !ok || !c.refused {
		return true
	}
	s.judge(now, c)
	if !c.refused {
		return true
	}
	c.asked++
	if c.asked < s.cfg.ProbeEvery {
		return false
	}
	c.asked = 0
	return true
}

// Ended records that a started request has ended, and whether it failed because a target
// below rejected a call.
func (s *Starts) Ended(now time.Duration, k earlyrefusal.Key, rejected bool) {
	c, ok := s.classes[k]
	if !ok {
		if !rejected || len(s.classes) >= s.cfg.MaxClasses {
			return
		}
		c = &class{bin: s.binOf(now)}
		s.classes[k] = c
	}
	c.advance(s.binOf(now))
	e := &c.bins[c.bin%spanBins]
	e.all++
	if rejected {
		e.rejected++
	}
	s.judge(now, c)
}

// judge refuses or readmits a class. While it is refused, only probes end, so that fewer
// requests suffice; without any in the span nothing is known, and the class starts.
func (s *Starts) judge(now time.Duration, c *class) {
	c.advance(s.binOf(now))
	var sum ended
	for _, e := range c.bins {
		sum.all += e.all
		sum.rejected += e.rejected
	}
	fails := float64(sum.rejected) > s.cfg.MaxRejected*float64(sum.all)
	switch {
	case c.refused && !fails:
		c.refused = false
		c.bins = [spanBins]ended{}
	case !c.refused && fails && sum.all >= s.cfg.MinEnded:
		c.refused, c.asked = true, 0
	}
}

func (s *Starts) binOf(now time.Duration) int64 {
	return int64(now / (s.cfg.Span / spanBins))
}

// advance moves to a bin and clears the bins that are over.
func (c *class) advance(bin int64) {
	for b := max(c.bin+1, bin-spanBins+1); b <= bin; b++ {
		c.bins[b%spanBins] = ended{}
	}
	c.bin = max(c.bin, bin)
}
