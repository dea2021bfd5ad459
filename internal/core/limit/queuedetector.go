package limit

import (
	"math"
	"time"
)

// Weights of a new sample once a kind has enough samples; before that the weight is
// 1 over their number.
const (
	recentWeight = 1.0 / 32
	baseWeight   = 1.0 / 256
	driftWeight  = 1.0 / 1024
)

// Thresholds for detecting requests that queue inside the target.
const (
	queueingInflation     = 2    // the recent mean exceeds this multiple of the baseline,
	queueingVarianceRatio = 0.35 // and the recent variance is below this fraction of the baseline
	queueingMajority      = 0.5  // in kinds that make up this fraction of the completions
	baselineInflation     = 1.5  // up to this multiple a recent mean counts as baseline
	queueingSamples       = 64   // samples that a kind needs before it counts
)

// QueueDetector detects requests that queue inside the target from the distribution of
// their times.
//
// A slow target stretches all times by the same factor, so the variance of their
// logarithm stays the same. A target that queues adds a similar wait to each, so the
// variance falls. Without this distinction, trials of a lower limit would run while
// the target is only slow. Times must exclude the target's calls to other services:
// waiting for a slow callee looks like queueing too.
type QueueDetector struct {
	kinds          []requestKind
	completedKinds []int // with completions in this window
}

// requestKind holds the statistics of one kind of request.
type requestKind struct {
	samples   int
	baseline  distribution // while no queueing is detected
	recent    distribution
	total     float64 // recent mean time in the target, including downstream calls
	lastLog   float64 // logarithm of the last sample
	completed int     // completions in this window
}

// distribution is a mean time in seconds, and half the mean square of the difference
// between the logarithms of consecutive times: their variance, without the part that
// a slowly changing wait would add.
type distribution struct{ mean, variance float64 }

func (s *distribution) add(x, half, weight float64) {
	s.mean += weight * (x - s.mean)
	s.variance += weight * (half - s.variance)
}

// halfSquaredStep returns half the square of the difference between the logarithm of
// a time and that of the previous one.
func (k *requestKind) halfSquaredStep(x float64) float64 {
	l := math.Log(x)
	d := l - k.lastLog
	k.lastLog = l
	if k.samples <= 1 {
		return 0
	}
	return d * d / 2
}

// NewQueueDetector returns a QueueDetector for n kinds of request.
func NewQueueDetector(n int) *QueueDetector { return &QueueDetector{kinds: make([]requestKind, n)} }

// CountCompletion counts a completion of a kind.
func (d *QueueDetector) CountCompletion(of int) {
	k := &d.kinds[of]
	if k.completed == 0 {
		d.completedKinds = append(d.completedKinds, of)
	}
	k.completed++
}

// RecordTime records that a request of a kind was in the target for whole, of which it
// spent own without waiting for downstream calls.
func (d *QueueDetector) RecordTime(of int, whole, own time.Duration) {
	if own <= 0 {
		return
	}
	k, x := &d.kinds[of], own.Seconds()
	k.samples++
	weight := max(recentWeight, 1/float64(k.samples))
	half := k.halfSquaredStep(x)
	k.recent.add(x, half, weight)
	k.total += weight * (whole.Seconds() - k.total)
	k.baseline.add(x, half, k.baselineWeight())
}

// baselineWeight returns the weight of a sample in the baseline.
func (k *requestKind) baselineWeight() float64 {
	switch {
	case k.samples <= queueingSamples:
		return 1 / float64(k.samples)
	case k.queueing():
		return 0
	case k.recent.mean > baselineInflation*k.baseline.mean:
		return driftWeight
	}
	return baseWeight
}

func (k *requestKind) queueing() bool {
	return k.recent.mean > queueingInflation*k.baseline.mean && k.recent.variance < queueingVarianceRatio*k.baseline.variance
}

// EndWindow closes a window. If requests queue inside the target, it returns the time
// that the completed ones would have spent in the target without queueing; otherwise
// 0.
func (d *QueueDetector) EndWindow() time.Duration {
	var all, wait, usual, narrow, needed float64
	for _, i := range d.completedKinds {
		k := &d.kinds[i]
		n := float64(k.completed)
		k.completed = 0
		if k.samples <= queueingSamples || k.baseline.variance == 0 {
			continue
		}
		all += n
		wait += n * (k.recent.mean - k.baseline.mean)
		usual += n * k.baseline.mean
		needed += n * (k.total - k.recent.mean + k.baseline.mean)
		narrow += n * k.recent.variance / k.baseline.variance
	}
	d.completedKinds = d.completedKinds[:0]
	if wait < (queueingInflation-1)*usual || narrow > queueingVarianceRatio*all || all == 0 {
		return 0
	}
	return time.Duration(needed * float64(time.Second))
}
