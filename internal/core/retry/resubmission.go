package retry

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// CallerKey is the caller's name for one request, the same each time it sends the
// request; 0 if it gives none.
type CallerKey uint64

// ResubmissionLimiter bounds how often a request that its caller resends is run, at the
// node of the called service.
//
// A caller may resend a failing request through a different entry node each time. Each
// entry node takes it for a new request with a new allowance, and each run repeats the
// whole chain below. All submissions meet at the called service: the first one that
// runs is free, later ones are charged to a budget that this target's successes fill
// like a ServiceBudget. Over all entry nodes, one request therefore has
//
//	runs started <= targets of the service + runs paid for by their budgets
//
// within Config.RepeatWindow of one another. Attempts of the same submission are free
// here, since its RequestAllowance pays for them.
type ResubmissionLimiter struct {
	cfg       *Config
	budget    ServiceBudget
	current   map[CallerKey]*submission // touched since rotatedAt
	previous  map[CallerKey]*submission // touched in the previous window
	rotatedAt time.Duration
}

// submission is the last submission of a request that ran here.
type submission struct {
	id       request.ID
	inFlight int // attempts in flight
	ran      bool
}

// NewResubmissionLimiter returns an empty ResubmissionLimiter with a budget of one.
func NewResubmissionLimiter(cfg *Config, now time.Duration) ResubmissionLimiter {
	return ResubmissionLimiter{cfg: cfg, budget: NewServiceBudget(cfg, now), current: map[CallerKey]*submission{}, rotatedAt: now}
}

// Begin records a submission that is about to run. It returns false if the submission
// repeats another one and the budget doesn't cover it; it must not run then, and End
// isn't called.
func (r *ResubmissionLimiter) Begin(now time.Duration, who CallerKey, id request.ID) bool {
	r.rotate(now)
	s := r.find(who)
	if s == nil {
		r.current[who] = &submission{id: id, inFlight: 1}
		return true
	}
	if s.id != id && !r.budget.Take(now, 1) {
		return false
	}
	s.id = id
	s.inFlight++
	return true
}

// End records the end of a submission. A refused one didn't run, so the next one is as
// free as it was.
func (r *ResubmissionLimiter) End(now time.Duration, who CallerKey, o request.Outcome) {
	r.Observe(now, o)
	s := r.find(who)
	if s == nil {
		return // evicted meanwhile
	}
	s.inFlight--
	s.ran = s.ran || o != request.Refused
	if s.inFlight <= 0 && !s.ran {
		delete(r.current, who)
	}
}

// Observe records the result of a run whose caller gave no identity.
func (r *ResubmissionLimiter) Observe(now time.Duration, o request.Outcome) {
	r.budget.Observe(now, o, status.Code(""))
}

// find returns the entry of a request and marks it as touched.
func (r *ResubmissionLimiter) find(who CallerKey) *submission {
	if s := r.current[who]; s != nil {
		return s
	}
	s := r.previous[who]
	if s != nil {
		delete(r.previous, who)
		r.current[who] = s
	}
	return s
}

// rotate drops entries that weren't touched for a window, or earlier if there are too
// many. Two generations make it unnecessary to search for the oldest entry.
func (r *ResubmissionLimiter) rotate(now time.Duration) {
	if now-r.rotatedAt < r.cfg.RepeatWindow && len(r.current) < r.cfg.MaxRepeats {
		return
	}
	r.previous, r.current, r.rotatedAt = r.current, map[CallerKey]*submission{}, now
}
