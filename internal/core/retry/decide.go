package retry

import (
	"math/rand/v2"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Reason says why there is or is not a next attempt; its String is a metric tag.
type Reason uint8

// The reasons, in the order in which they are looked at.
const (
	// Again: make the next attempt, after Decision.Wait.
	Again Reason = iota
	// Whole: the attempt completed; there is nothing to retry.
	Whole
	// Final: no other target would answer differently.
	Final
	// AtMostOnce: the attempt may have run and must not run twice.
	AtMostOnce
	// NotIdempotent: the attempt may have run and a second run may differ.
	NotIdempotent
	// PerCall: the call had its attempts.
	PerCall
	// Deadline: an attempt would not end in time.
	Deadline
	// Allowance: the request's allowance doesn't cover an attempt and the calls
	// that it usually makes below.
	Allowance
	// Overload: the service as a whole is overloaded.
	Overload
	// Budget: the service's retry budget doesn't cover the attempt.
	Budget
)

var reasonNames = [...]string{
	Again: "again", Whole: "completed", Final: "final", AtMostOnce: "at-most-once",
	NotIdempotent: "not-idempotent", PerCall: "per-call", Deadline: "deadline",
	Allowance: "allowance", Overload: "overload", Budget: "budget",
}

// String returns the reason as it stands in metrics and logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Result is an ended attempt and what is known about its call.
type Result struct {
	Outcome request.Outcome
	Code    status.Code // of a failure; empty if completed

	// Deadline of the request; 0 for none.
	Deadline time.Duration
	// Usual is the callee's usual time to answer; 0 if not known.
	Usual time.Duration
	// Priority of the request and Level last learned for the callee's service
	// as a whole (early.Table.Level).
	Priority request.Priority
	Level    request.Level

	// Attempts made of this call so far (Call.Attempts).
	Attempts int
	// Left in the allowance (RequestAllowance.Left) and usual number of calls Below the callee
	// (Cost.Below).
	Left  int
	Below int
	// Runs is how many attempts of the call got past a refusal (Call.Runs), and
	// MaxRuns how many may; 0: as the allowance covers.
	Runs, MaxRuns int
	// MayHaveRun says that some attempt of the call got past a refusal
	// (Call.MayHaveRun): the next attempt is then a repeat.
	MayHaveRun bool

	// AtMostOnce is the class's declaration.
	AtMostOnce bool
	// Idempotent: the method or the class's declaration says that running twice
	// has the effect of running once.
	Idempotent bool
}

// Decision is the answer of Decide. If Reason isn't Again the result is passed
// up at once as it is, with its Retry-After.
type Decision struct {
	Reason Reason
	// Wait before the next attempt; 0 for a refused one, which goes to another
	// target at once.
	Wait time.Duration
}

// Retry reports whether a next attempt is to be made.
func (d Decision) Retry() bool { return d.Reason == Again }

// Decider decides about next attempts.
type Decider struct {
	cfg *Config
	rng *rand.Rand
}

// NewDecider returns a decider that draws its spread from rng.
func NewDecider(cfg *Config, rng *rand.Rand) *Decider {
	return &Decider{cfg: cfg, rng: rng}
}

// Decide says whether another attempt is made after r, and draws it from the
// service's budget if so.
func (d *Decider) Decide(now time.Duration, r *Result, b *ServiceBudget) Decision {
	if reason := d.judge(now, r, b); reason != Again {
		return Decision{Reason: reason}
	}
	wait := d.wait(r)
	if r.Deadline != 0 && now+wait+r.Usual >= r.Deadline {
		return Decision{Reason: Deadline}
	}
	if !d.cfg.Free(r.Outcome, r.Code) && !b.Take(now, d.price(r)) {
		return Decision{Reason: Budget}
	}
	return Decision{Reason: Again, Wait: wait}
}

func (d *Decider) judge(now time.Duration, r *Result, b *ServiceBudget) Reason {
	if reason := mayRepeat(r); reason != Again {
		return reason
	}
	if r.Attempts >= d.cfg.PerCall || r.MaxRuns > 0 && r.Runs >= r.MaxRuns {
		return PerCall
	}
	if r.Left < d.price(r) {
		return Allowance
	}
	if overloaded(now, r, b) {
		return Overload
	}
	return Again
}

// mayRepeat judges by what the result says about the attempt alone.
func mayRepeat(r *Result) Reason {
	if r.Outcome == request.Completed {
		return Whole
	}
	if final(r.Code) {
		return Final
	}
	if r.Outcome == request.Refused && !r.MayHaveRun {
		return Again
	}
	if r.AtMostOnce {
		return AtMostOnce
	}
	if !r.Idempotent {
		return NotIdempotent
	}
	return Again
}

// final reports codes that another target would answer in the same way, or
// that must not be tried elsewhere: a suspect would crash that target too, also
// one that was only to wait for another one's end.
func final(c status.Code) bool {
	switch c {
	case status.CodeMalformed, status.CodeTooLarge, status.CodeUnknownService,
		status.CodeUnknownClass, status.CodeKeyMissing, status.CodeKeyReused,
		status.CodeKeyAhead, status.CodeNoRoom,
		status.CodeForbidden, status.CodeOverShare, status.CodeDeadline,
		status.CodeRetriesExhausted, status.CodeSuspect, status.CodeIsolationBusy, status.CodePlatformDown,
		status.CodeInProgress, status.CodeAnswerNotKept, status.CodeDeadlineExceeded,
		status.CodeCanceled:
		return true
	}
	return false
}

// price is what the next attempt needs of the allowance and the budget. A repeat pays for each
// call below it too; begun without that, it would run out of allowance halfway
// and its work would be wasted.
func (d *Decider) price(r *Result) int {
	if !r.MayHaveRun && r.Outcome == request.Refused {
		return 1
	}
	return 1 + max(r.Below, 0)
}

// overloaded reports whether the service as a whole takes no retries. Sending a
// refused call elsewhere costs a target next to nothing and is the only way for
// an important request past a target that leaves; so that stays allowed as long
// as the request's priority is above the level. Refused for load by one target,
// a request is tried elsewhere only if its importance is above the level's: one
// of the same importance is near the margin everywhere.
func overloaded(now time.Duration, r *Result, b *ServiceBudget) bool {
	if r.Outcome != request.Refused || r.MayHaveRun {
		return r.Level > 0 || b.Overloaded(now)
	}
	if r.Priority < r.Level {
		return true
	}
	if r.Level > 0 && r.Priority.Importance() > r.Level.Importance() {
		return false
	}
	return forLoad(r.Code) && (r.Level > 0 || b.Overloaded(now))
}

func (d *Decider) wait(r *Result) time.Duration {
	if r.Outcome == request.Refused {
		return 0
	}
	mean := d.cfg.Backoff << min(max(r.Attempts-1, 0), maxDoublings)
	if mean <= 0 {
		return 0
	}
	return mean/2 + time.Duration(d.rng.Int64N(int64(mean)))
}

// maxDoublings keeps the exponential wait from overflowing.
const maxDoublings = 10
