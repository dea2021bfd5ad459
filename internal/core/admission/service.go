package admission

import (
	"time"

	"peardrift/internal/core/request"
)

// importances is the number of importance values.
const importances = int(request.MaxImportance) + 1

// Weights of a new sample. The mean moves slowly, for precise levels; to follow a
// change of the target, it jumps to the fast mean once the two diverge.
const (
	slowWeight  = 1.0 / 128
	fastWeight  = 1.0 / 16
	ratioWeight = 1.0 / 64
	jumpRatio   = 1.5 // ratio of the two means, in either direction, beyond random variation
)

// serviceTimes estimates how long a request runs in the target.
//
// An estimate is the mean over all importances times a ratio for the request's
// importance. When the target slows down or recovers, frequent importances move the
// mean and thereby the estimates of rare ones. With separate means, a rare
// importance would keep an estimate from a slowdown: its requests would be refused
// as unable to finish and never be measured again.
//
// A sample is divided by its importance's ratio before it enters the mean, so that a
// changed mix leaves the mean unchanged. Otherwise, once a level refuses the short
// requests, the remaining long ones would raise the mean, lower the capacity counted
// in mean requests, and so raise the level into the long ones too.
//
// Times are kept as if the target had its usual speed, and estimates are multiplied by
// its time factor now. A change of speed that the target states thereby changes all
// estimates at once, and samples from before the change don't change them back.
type serviceTimes struct {
	mean        float64 // seconds at the usual speed; 0 before the first sample
	fastMean    float64 // seconds at the usual speed
	timeFactor  float64 // time that a request takes now, relative to the usual
	meanSamples int     // in mean
	ratio       [importances]float64
	samples     [importances]int
	running     [importances]int

	// Sums over the running requests, for slowdown. The sum of start instants may
	// overflow; the difference computed from it does not.
	inFlight    int
	startSum    time.Duration
	expectedSum time.Duration
}

func (s *serviceTimes) estimate(imp int) time.Duration {
	return time.Duration(s.current() * s.factor(imp) * float64(time.Second))
}

// current returns the mean at the target's present speed, in seconds.
func (s *serviceTimes) current() float64 { return s.mean * s.timeFactor }

// factor returns the ratio of an importance to the mean. The first samples are
// averaged with a ratio of 1, so that a single outlier does not dominate.
func (s *serviceTimes) factor(imp int) float64 {
	if s.samples[imp] == 0 {
		return 1
	}
	return s.ratio[imp]
}

func (s *serviceTimes) start(e *entry) {
	s.running[e.importance()]++
	s.inFlight++
	s.startSum += e.started
	s.expectedSum += e.expected
}

func (s *serviceTimes) end(e *entry) {
	s.running[e.importance()]--
	s.inFlight--
	s.startSum -= e.started
	s.expectedSum -= e.expected
}

// observe records a service time, with the time factor during the request. A time cut
// short (whole is false) counts only if it already exceeds the expected time.
func (s *serviceTimes) observe(imp int, took time.Duration, timeFactor float64, whole bool) {
	x := took.Seconds() / timeFactor
	if !whole && x <= s.mean*s.factor(imp) || x <= 0 {
		return
	}
	if s.mean == 0 {
		s.mean, s.fastMean, s.meanSamples = x, x, 1
		return
	}
	f := s.factor(imp)
	s.samples[imp]++
	s.ratio[imp] = f + max(ratioWeight, 1/float64(1+s.samples[imp]))*(x/s.mean-f)
	s.meanSamples++
	pace := x / f
	s.mean += max(slowWeight, 1/float64(s.meanSamples)) * (pace - s.mean)
	s.fastMean += max(fastWeight, 1/float64(s.meanSamples)) * (pace - s.fastMean)
	if s.fastMean > jumpRatio*s.mean || s.fastMean < s.mean/jumpRatio {
		s.mean, s.meanSamples = s.fastMean, int(1/fastWeight)
	}
}

// scale multiplies the expected service times by a ratio.
func (s *serviceTimes) scale(by float64) {
	s.mean *= by
	s.fastMean *= by
}

// slowdown returns the ratio by which running requests exceed their expected time,
// at least 1. It detects a stalled target, which yields no service times. The mean
// age of requests in flight is at most about their expected service time, slightly
// more with a long tail; twice that is a slowdown.
func (s *serviceTimes) slowdown(now time.Duration) float64 {
	if s.inFlight == 0 || s.expectedSum <= 0 {
		return 1
	}
	age := time.Duration(s.inFlight)*now - s.startSum
	return max(1, age.Seconds()/(2*s.expectedSum.Seconds()))
}
