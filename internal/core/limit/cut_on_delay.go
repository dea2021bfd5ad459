package limit

import (
	"math"
	"time"
)

// delayDuration is how long QueueDetector must detect queueing inside the target, and
// delayCompletions how many requests must have completed in that time.
const (
	delayDuration    = 200 * time.Millisecond
	delayCompletions = 30
)

// maxCutRatio is the largest ratio by which one cut because of QueueDetector lowers the
// limit: if the detection is wrong, the limit must still admit enough to show that.
const maxCutRatio = 8

// raisePause is the pause before a limit that was cut because of QueueDetector is raised on
// trial. It does not grow: QueueDetector detects a returning queue at once, and a growing
// pause would keep a target that has all its slots again from using them for long.
const raisePause = 2 * time.Second

// cutOnDelay checks whether QueueDetector detects queueing inside the target, and once that
// is certain cuts the limit to what requests need without it. It reports whether it
// did. A trial would take several times as long as a request spends in the target,
// while its callers' slots stay occupied.
func (p *Probe) cutOnDelay(w Window) bool {
	if w.Needed == 0 || p.phase == verifyingCut {
		p.delayWindow = Window{}
		return false
	}
	p.delayWindow.add(w)
	s := p.delayWindow
	if s.Length < delayDuration || s.Completed < delayCompletions {
		return false
	}
	p.delayWindow = Window{}
	useful := max(p.limit/maxCutRatio, int(math.Ceil(cutHeadroom*s.Needed.Seconds()/s.Length.Seconds())))
	if p.ignoreDelayFor > 0 || useful >= p.limit {
		return false
	}
	p.phase = verifyingCut
	p.measurement = Window{}
	p.beforeTrial = reading{limit: p.limit, inFlight: s.inFlight(), timeInTarget: s.timeInTarget()}
	p.setAndSettle(useful, p.beforeTrial)
	return true
}

// afterVerifyingCut keeps a limit that was cut because of QueueDetector if requests now
// take less time. Otherwise the detection was wrong, and QueueDetector is ignored for a
// while.
func (p *Probe) afterVerifyingCut(r reading) {
	p.phase = steady
	if queuesInside(r, p.beforeTrial) {
		p.cutByDelay = true
		p.backOff()
		return
	}
	p.ignoreDelayFor = p.cfg.MaxBackoff
	p.setAndSettle(p.beforeTrial.limit, r)
}
