package retry

import (
	"math/rand/v2"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Reason says why another attempt is or isn't made. Its String is a metric label value.
type Reason uint8

// The reasons, in the order in which they are evaluated.
const (
	// Allowed: make another attempt after Decision.Wait.
	Allowed Reason = iota
	// Succeeded: the attempt completed; there is nothing to retry.
	Succeeded
	// Final: any other target would give the same answer.
	Final
	// AtMostOnce: the attempt may have run and must not run twice.
	AtMostOnce
	// NotIdempotent: the attempt may have run and a second run may differ.
	NotIdempotent
	// PerCall: the call reached its maximum number of attempts.
	PerCall
	// Deadline: another attempt wouldn't end before the deadline.
	Deadline
	// Allowance: the request's allowance doesn't cover another attempt and the calls
	// expected below it.
	Allowance
	// Overload: the service as a whole is overloaded.
	Overload
	// Budget: the service's retry budget doesn't cover the attempt.
	Budget
)

var reasonNames = [...]string{
	Allowed: "again", Succeeded: "completed", Final: "final", AtMostOnce: "at-most-once",
	NotIdempotent: "not-idempotent", PerCall: "per-call", Deadline: "deadline",
	Allowance: "allowance", Overload: "overload", Budget: "budget",
}

// String returns the reason as it appears in metrics and logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Result is a finished attempt and the state of its call.
type Result struct {
	Outcome request.Outcome
	Code    status.Code // of a failure; empty if completed

	// Deadline of the request; 0 for none.
	Deadline time.Duration
	// ExpectedLatency is the callee's expected latency; 0 if unknown.
	ExpectedLatency time.Duration
	// Priority is the request's, Level the last known admission level of the callee's
	// service as a whole (earlyrefusal.Table.Level).
	Priority request.Priority
	Level    request.Level

	// Attempts of this call so far (Call.Attempts).
	Attempts int
	// AllowanceLeft is the remaining allowance (RequestAllowance.Left), CallsBelow the
	// expected number of calls below the callee (CallCount.Below).
	AllowanceLeft int
	CallsBelow    int
	// Runs is the number of attempts that weren't refused (Call.NotRefused) and MaxRuns its
	// limit; 0 means that only the allowance limits it.
	Runs, MaxRuns int
	// MayHaveRun reports that an attempt of the call wasn't refused (Call.MayHaveRun),
	// so that the next attempt is a repeat.
	MayHaveRun bool

	// AtMostOnce is declared by the class.
	AtMostOnce bool
	// Idempotent: by its method or class, running the request twice has the effect of
	// running it once.
	Idempotent bool
}

// Decision is the result of Decide. If Reason isn't Allowed, the attempt's result is
// returned upstream unchanged, including its Retry-After.
type Decision struct {
	Reason Reason
	// Wait is the delay before the next attempt; 0 after a refusal, which is retried on
	// another target at once.
	Wait time.Duration
}

// Retry reports whether to make another attempt.
func (d Decision) Retry() bool { return d.Reason == Allowed }

// Decider decides whether failed attempts are retried.
type Decider struct {
	cfg *Config
	rng *rand.Rand
}

// NewDecider returns a Decider that draws its jitter from rng.
func NewDecider(cfg *Config, rng *rand.Rand) *Decider {
	return &Decider{cfg: cfg, rng: rng}
}

// Decide reports whether to make another attempt after r and, if so, takes its cost
// from the service's budget.
func (d *Decider) Decide(now time.Duration, r *Result, b *ServiceBudget) Decision {
	if reason := d.evaluate(now, r, b); reason != Allowed {
		return Decision{Reason: reason}
	}
	wait := d.backoff(r)
	if r.Deadline != 0 && now+wait+r.ExpectedLatency >= r.Deadline {
		return Decision{Reason: Deadline}
	}
	if !d.cfg.Free(r.Outcome, r.Code) && !b.Take(now, d.attemptCost(r)) {
		return Decision{Reason: Budget}
	}
	return Decision{Reason: Allowed, Wait: wait}
}

func (d *Decider) evaluate(now time.Duration, r *Result, b *ServiceBudget) Reason {
	if reason := mayRetry(r); reason != Allowed {
		return reason
	}
	if r.Attempts >= d.cfg.PerCall || r.MaxRuns > 0 && r.Runs >= r.MaxRuns {
		return PerCall
	}
	if r.AllowanceLeft < d.attemptCost(r) && !d.cfg.Unreached(r.Outcome, r.Code) {
		return Allowance
	}
	if overloaded(now, r, b) {
		return Overload
	}
	return Allowed
}

// mayRetry decides by the attempt's result alone.
func mayRetry(r *Result) Reason {
	if r.Outcome == request.Completed {
		return Succeeded
	}
	if isFinal(r.Code) {
		return Final
	}
	if r.Outcome == request.Refused && !r.MayHaveRun {
		return Allowed
	}
	if r.AtMostOnce {
		return AtMostOnce
	}
	if !r.Idempotent {
		return NotIdempotent
	}
	return Allowed
}

// isFinal reports whether any other target would return the same code, or whether the
// request must not be sent to another target: a request suspected of crashing targets
// would crash that one too, even if it was only refused to wait for another suspect.
func isFinal(c status.Code) bool {
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

// attemptCost is the number of attempts that the next one takes from the allowance and
// the budget. A repeat also pays for each call below it; otherwise it would run out of
// allowance halfway and waste its work.
func (d *Decider) attemptCost(r *Result) int {
	if !r.MayHaveRun && r.Outcome == request.Refused {
		return 1
	}
	return 1 + max(r.CallsBelow, 0)
}

// overloaded reports whether the service as a whole accepts no retries. Sending a
// refused call to another target costs little and is the only way for an important
// request to avoid a draining target, so it is allowed while the request's priority is
// above the level. After a load refusal by one target, a request is sent to another one
// only if its importance is above the level's, because a request of the same importance
// is close to the admission threshold everywhere.
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
	return isLoadRefusal(r.Code) && (r.Level > 0 || b.Overloaded(now))
}

func (d *Decider) backoff(r *Result) time.Duration {
	if r.Outcome == request.Refused {
		return 0
	}
	mean := d.cfg.Backoff << min(max(r.Attempts-1, 0), maxDoublings)
	if mean <= 0 {
		return 0
	}
	return mean/2 + time.Duration(d.rng.Int64N(int64(mean)))
}

// maxDoublings keeps the exponential backoff from overflowing.
const maxDoublings = 10
