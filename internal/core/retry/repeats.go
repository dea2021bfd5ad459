package retry

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Identity is what a caller names one request by, over all its sendings; 0 if it
// names none.
type Identity uint64

// Repeats bounds the runs of one request that its caller sends again, at the
// node of the service that it calls.
//
// Symptom it prevents: a caller sends a failing request again and again, each
// time through another node. Each entry node takes it for a new request with an
// allowance of its own, and each run of it runs the whole chain below. Here its
// sendings meet again, whichever nodes they came through: the first that runs is
// free, later ones draw on a budget that fills as the ServiceBudget's does, by this
// target's successes. So of one request, over all entry nodes,
//
//	runs begun <= targets of the service + what their budgets paid
//
// within Config.RepeatWindow of one another. Attempts that a node makes of one
// sending are free here, as that sending's RequestAllowance pays for them.
type Repeats struct {
	cfg    *Config
	budget ServiceBudget
	seen   map[Identity]*sending // touched since turned
	old    map[Identity]*sending // touched in the window before
	turned time.Duration
}

// sending is the last one of a request that ran here.
type sending struct {
	id   request.ID
	open int // begun and not ended
	ran  bool
}

// NewRepeats returns a Repeats that has seen nothing, with a budget of one.
func NewRepeats(cfg *Config, now time.Duration) Repeats {
	return Repeats{cfg: cfg, budget: NewServiceBudget(cfg, now), seen: map[Identity]*sending{}, turned: now}
}

// Begin books a sending that is about to run; false if it repeats another one
// and the budget doesn't pay for it. Then it runs nowhere, and End isn't called.
func (r *Repeats) Begin(now time.Duration, who Identity, id request.ID) bool {
	r.turn(now)
	s := r.find(who)
	if s == nil {
		r.seen[who] = &sending{id: id, open: 1}
		return true
	}
	if s.id != id && !r.budget.Take(now, 1) {
		return false
	}
	s.id = id
	s.open++
	return true
}

// End books the end of a sending that was begun. One that was refused ran
// nowhere; the next is then as free as it was.
func (r *Repeats) End(now time.Duration, who Identity, o request.Outcome) {
	r.Observe(now, o)
	s := r.find(who)
	if s == nil {
		return // forgotten since
	}
	s.open--
	s.ran = s.ran || o != request.Refused
	if s.open <= 0 && !s.ran {
		delete(r.seen, who)
	}
}

// Observe takes in the end of a run whose caller named no identity.
func (r *Repeats) Observe(now time.Duration, o request.Outcome) {
	r.budget.Observe(now, o, status.Code(""))
}

// find returns what is known of a request, as touched now.
func (r *Repeats) find(who Identity) *sending {
	if s := r.seen[who]; s != nil {
		return s
	}
	s := r.old[who]
	if s != nil {
		delete(r.old, who)
		r.seen[who] = s
	}
	return s
}

// turn forgets what wasn't touched for a window, or sooner if there is too much:
// two generations cost no search for the oldest.
func (r *Repeats) turn(now time.Duration) {
	if now-r.turned < r.cfg.RepeatWindow && len(r.seen) < r.cfg.MaxRepeats {
		return
	}
	r.old, r.seen, r.turned = r.seen, map[Identity]*sending{}, now
}
