package limit

import (
	"math"
	"time"
)

// signedFor is how long requests must show signs of waiting inside the target,
// and signedSamples how many must have completed then.
const (
	signedFor     = 200 * time.Millisecond
	signedSamples = 30
)

// deepest is how far, as a ratio, one sign takes the limit down: if it is wrong,
// the limit must still carry enough to show that.
const deepest = 8

// liftAfter is the pause before a limit that was cut on a sign is tried higher.
// The pause doesn't grow: a queue that comes back shows by the sign at once, and
// a target that has all its slots again would be kept from them for long.
const liftAfter = 2 * time.Second

// sign takes in whether requests show signs of waiting inside the target, see
// Delay, and once that is sure cuts the limit to what the others need. It
// reports whether it did. A trial would take as long as several times of a
// request in the target, which its callers' slots are held for.
func (p *Probe) sign(w Window) bool {
	if w.Needed == 0 || p.phase == relief {
		p.signed = Window{}
		return false
	}
	p.signed.add(w)
	s := p.signed
	if s.Length < signedFor || s.Completed < signedSamples {
		return false
	}
	p.signed = Window{}
	useful := max(p.limit/deepest, int(math.Ceil(spare*s.Needed.Seconds()/s.Length.Seconds())))
	if p.distrust > 0 || useful >= p.limit {
		return false
	}
	p.phase = relief
	p.sum = Window{}
	p.before = reading{limit: p.limit, flight: s.inFlight(), took: s.timeInTarget()}
	p.move(useful, p.before)
	return true
}

// afterRelief keeps a limit that was cut on a sign if requests take less time
// now. Else the sign was wrong, and is not trusted for a while.
func (p *Probe) afterRelief(r reading) {
	p.phase = steady
	if queues(r, p.before) {
		p.relieved = true
		p.wait()
		return
	}
	p.distrust = p.cfg.MaxBackoff
	p.move(p.before.limit, r)
}
