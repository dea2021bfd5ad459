package admission

import (
	"time"

	"peardrift/internal/core/request"
)

// importances is the number of values an importance takes.
const importances = int(request.MaxImportance) + 1

// Weights of a new sample. The mean is slow, for precise levels; it follows a
// change of the target because it jumps to a fast mean that leaves it behind.
const (
	slowWeight  = 1.0 / 128
	fastWeight  = 1.0 / 16
	ratioWeight = 1.0 / 64
	jump        = 1.5 // ratio of the two means, either way, that is no chance
)

// service estimates how long a request runs in the target.
//
// An estimate is a mean common to all importances times a ratio of the
// importance's own. When the target slows down or recovers, the frequent
// importances move the mean, and with it the estimates of the rare ones. With
// separate means a rare importance would keep the estimate from a bad time: its
// requests would be refused as unable to finish and never measured again.
//
// A sample counts in the mean divided by its importance's ratio, so that a
// changed mix leaves the mean where it is. Symptom otherwise: as soon as a level
// refuses the short requests, the long ones that are left raise the mean, the
// capacity counted in mean requests falls, and the level rises into them too.
type service struct {
	mean    float64 // seconds; 0 before the first sample
	fast    float64 // seconds
	n       int     // samples in mean
	ratio   [importances]float64
	samples [importances]int
	running [importances]int

	// Sums over the running requests for slowdown. The sum of start instants
	// may wrap around; the difference that is taken from it does not.
	inFlight int
	started  time.Duration
	expected time.Duration
}

func (s *service) estimate(imp int) time.Duration {
	return time.Duration(s.mean * s.factor(imp) * float64(time.Second))
}

// factor returns the importance's ratio to the mean. The first samples average
// with a ratio of 1, so that a single odd one doesn't decide.
func (s *service) factor(imp int) float64 {
	if s.samples[imp] == 0 {
		return 1
	}
	return s.ratio[imp]
}

func (s *service) start(e *entry) {
	s.running[e.importance()]++
	s.inFlight++
	s.started += e.started
	s.expected += e.expected
}

func (s *service) end(e *entry) {
	s.running[e.importance()]--
	s.inFlight--
	s.started -= e.started
	s.expected -= e.expected
}

// learn takes in a service time. One that was cut short (whole is false) counts
// only if it was already longer than expected.
func (s *service) learn(imp int, took time.Duration, whole bool) {
	x := took.Seconds()
	if !whole && x <= s.mean*s.factor(imp) || x <= 0 {
		return
	}
	if s.mean == 0 {
		s.mean, s.fast, s.n = x, x, 1
		return
	}
	f := s.factor(imp)
	s.samples[imp]++
	s.ratio[imp] = f + max(ratioWeight, 1/float64(1+s.samples[imp]))*(x/s.mean-f)
	s.n++
	pace := x / f
	s.mean += max(slowWeight, 1/float64(s.n)) * (pace - s.mean)
	s.fast += max(fastWeight, 1/float64(s.n)) * (pace - s.fast)
	if s.fast > jump*s.mean || s.fast < s.mean/jump {
		s.mean, s.n = s.fast, int(1/fastWeight)
	}
}

// scale takes in that requests will take another time, as a ratio.
func (s *service) scale(by float64) {
	s.mean *= by
	s.fast *= by
}

// slowdown returns by how much the running requests outlast expectation, at
// least 1. It notices a target that stands still, from which no service times
// come. Requests in flight are on average no older than about their expected
// service time, a little more with a long tail; twice that is a slowdown.
func (s *service) slowdown(now time.Duration) float64 {
	if s.inFlight == 0 || s.expected <= 0 {
		return 1
	}
	age := time.Duration(s.inFlight)*now - s.started
	return max(1, age.Seconds()/(2*s.expected.Seconds()))
}
