package limit

import (
	"math"
	"time"
)

// queueingDuration is how long QueueDetector must detect queueing inside the target, and
// queueingCompletions how many requests must have completed in that time.
const (
	queueingDuration    = 200 * time.Millisecond
	queueingCompletions = 30
)

// maxCutRatio is the largest ratio by which one cut because of QueueDetector lowers the
// limit: if the detection is wrong, the limit must still admit enough to show that.
const maxCutRatio = 8

// raisePause is the pause before a limit that was cut because of QueueDetector is raised on
// trial. It does not grow: QueueDetector detects a returning queue at once, and a growing
// pause would keep a target that has all its slots again from using them for long.
const raisePause = 2 * time.Second

// cutOnQueueing checks whether QueueDetector detects queueing inside the target, and once
// that is certain cuts the limit to what requests need without it. It reports whether it
// did. A trial would take several times as long as a request spends in the target, while
// its callers' slots stay occupied.
func (p *Probe) cutOnQueueing(w Window) bool {
	if w.Needed == 0 || p.phase == verifyingCut {
		p.queueingWindow = Window{}
		return false
	}
	p.queueingWindow.add(w)
	s := p.queueingWindow
	if s.Length < queueingDuration || s.Completed < queueingCompletions {
		return false
	}
	p.queueingWindow = Window{}
	useful := max(p.limit/maxCutRatio, int(math.Ceil(cutHeadroom*s.Needed.Seconds()/s.Length.Seconds())))
	if p.ignoreQueueingFor > 0 || useful >= p.limit {
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
		p.cutByQueueing = true
		p.backOff()
		return
	}
	p.ignoreQueueingFor = p.cfg.MaxBackoff
	p.setAndSettle(p.beforeTrial.limit, r)
}
