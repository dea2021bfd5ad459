package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

type phase uint8

const (
	idle phase = iota
	writing
	reading
	running
	ended
)

// Attempt is the state machine that claims a key for one call. Copies are
// independent.
type Attempt struct {
	cfg *Config
	req Request

	phase        phase
	startedAt    time.Duration
	writes       int   // claim writes so far
	reads        int   // reads so far
	baseVersion  int64 // version that the last claim write was conditional on
	maybeWritten bool  // an own claim write may be in the table, or may still arrive
	knownNotRun  bool  // at some instant since Begin nothing had run under the key
	callerGone   bool  // the caller has left

	refusal *status.Error // set for a read-only attempt; nil for one that claims
}

// New returns an attempt that waits for Begin.
func New(cfg Config, req Request) Attempt {
	if req.Retention == 0 {
		req.Retention = cfg.Retention
	}
	return Attempt{cfg: &cfg, req: req}
}

// NewReadOnly returns a read-only attempt for a call that was refused before its
// claim. It determines whether the refusal may say "not run", or how an earlier
// call under the key ended.
//
// Without this read a request can run twice: the answer to the first call is
// lost, an overloaded target refuses the repeat as "not run", and the caller
// starts again under another key.
func NewReadOnly(cfg Config, req Request, refusal *status.Error) Attempt {
	a := New(cfg, req)
	a.refusal = refusal
	return a
}

// Step handles an event and returns the next action. It ignores an event that
// does not belong to the current phase, so a repeated event never causes a
// second run.
func (a *Attempt) Step(now time.Duration, e Event) Action {
	if _, ok := e.(CallerCanceled); ok {
		a.callerGone = true
		return nil
	}
	switch a.phase {
	case idle:
		if _, ok := e.(Begin); ok {
			return a.start(now)
		}
	case writing:
		return a.onWriteResult(now, e)
	case reading:
		return a.onReadResult(now, e)
	case running:
		return a.onRunResult(now, e)
	}
	return nil
}

func (a *Attempt) start(now time.Duration) Action {
	a.startedAt = now
	// The platform may remove a row after Retention. A later repeat would find it
	// absent and run again; the time in a dated key rules that out.
	if a.req.KeyTime > 0 && now > a.req.KeyTime+a.req.Retention-a.cfg.MaxClockSkew {
		return a.finish(Answer{Outcome: Outcome{Code: status.CodeOutcomeUnknown}, NotRunByCall: true})
	}
	// The row of a dated key is known only for a limited time ahead, see
	// batch.Layout.
	if a.req.KeyTime > now+a.cfg.MaxKeyAhead {
		return a.finish(Answer{Outcome: Outcome{Code: status.CodeKeyAhead}, NotRunByCall: true})
	}
	if a.refusal != nil {
		return a.readOrGiveUp(now, a.refusal.Code)
	}
	if code, abandoned := a.abandoned(now); abandoned {
		return a.giveUp(code)
	}
	return a.writeClaim(now, 0)
}

// onWriteResult handles the result of a claim write.
func (a *Attempt) onWriteResult(now time.Duration, e Event) Action {
	switch e.(type) {
	case Written:
		return a.onClaimed(now, a.baseVersion+1)
	case ConditionFailed:
		return a.readOrGiveUp(now, status.CodeInProgress)
	case Ambiguous:
		a.maybeWritten = true
		return a.readOrGiveUp(now, status.CodePlatformDown)
	case NotWritten:
		return a.giveUp(status.CodePlatformDown)
	case NoRoom:
		a.knownNotRun = true
		return a.giveUp(status.CodeNoRoom)
	}
	return nil
}

// onReadResult handles the result of a read of the row.
func (a *Attempt) onReadResult(now time.Duration, e Event) Action {
	switch e := e.(type) {
	case RowRead:
		return a.onRow(now, e.Row)
	case RowUnreadable:
		a.maybeWritten = false // versions only increase: this row holds no write of this attempt
		return a.finish(Answer{Outcome: Outcome{Code: status.CodeOutcomeUnknown}, NotRunByCall: true})
	case ReadFailed:
		return a.readOrGiveUp(now, a.refusalCode(status.CodePlatformDown))
	}
	return nil
}

// onRow decides from the row's state.
func (a *Attempt) onRow(now time.Duration, r Row) Action {
	if r.State == Held && r.Token == a.req.Token {
		return a.onClaimed(now, r.Version)
	}
	// Every claim write of this attempt was conditional on baseVersion or less. A
	// row beyond it fails those that are still in flight.
	if r.Version > a.baseVersion {
		a.maybeWritten = false
	}
	switch {
	case r.State == Absent || r.State == Free:
		a.knownNotRun = true
		return a.reclaim(now, r.Version)
	case r.Fingerprint != a.req.Fingerprint:
		// Had this request ever run, the row would hold its fingerprint.
		return a.finish(Answer{Outcome: Outcome{Kind: request.Refused, Code: status.CodeKeyReused}, NotRunByCall: true})
	case r.State == Done:
		return a.finish(Answer{Outcome: r.Outcome, Origin: FromRow, NotRunByCall: true})
	case now < r.Until:
		return a.finish(Answer{
			Outcome: Outcome{Code: status.CodeInProgress}, NotRunByCall: true,
			RetryAfter: a.jitter(min(a.cfg.RetryAfter, r.Until-now)),
		})
	default:
		return a.finish(Answer{Outcome: Outcome{Code: status.CodeOutcomeUnknown}, NotRunByCall: true})
	}
}

// reclaim claims a row that is absent or Free.
func (a *Attempt) reclaim(now time.Duration, version int64) Action {
	if a.refusal != nil {
		return a.giveUp(a.refusal.Code)
	}
	if code, abandoned := a.abandoned(now); abandoned {
		return a.giveUp(code)
	}
	if a.writes >= a.cfg.MaxWrites || a.opTimeout(now) <= 0 {
		return a.giveUp(status.CodePlatformDown)
	}
	return a.writeClaim(now, version)
}

// onClaimed runs the request unless its caller no longer waits. A node that was
// paused between claim and run still holds the claim here, but its caller may be
// gone.
func (a *Attempt) onClaimed(now time.Duration, version int64) Action {
	a.maybeWritten, a.knownNotRun = false, true
	a.baseVersion = version
	if code, abandoned := a.abandoned(now); abandoned {
		return a.finish(Answer{
			Outcome: Outcome{Kind: request.Refused, Code: code}, NotRunByCall: true,
			FollowUp: a.releaseFollowUp(),
		})
	}
	a.phase = running
	return Run{Until: a.runDeadline()}
}

// onRunResult handles the result of the run.
func (a *Attempt) onRunResult(now time.Duration, e Event) Action {
	switch e := e.(type) {
	case TargetNotRun:
		return a.finish(Answer{
			Outcome:      Outcome{Kind: request.Refused, Code: e.Code},
			Origin:       FromRun,
			NotRunByCall: true, RetryAfter: e.RetryAfter, FollowUp: a.releaseFollowUp(),
		})
	case TargetDone:
		o := e.Outcome
		if o.Kind == request.Refused {
			o.Kind = request.Unknown // TargetNotRun is the event for "not run"
		}
		return a.finish(Answer{Outcome: o, Origin: FromRun, FollowUp: a.recordFollowUp(now, o)})
	}
	return nil
}

// writeClaim claims the row if it is at version.
func (a *Attempt) writeClaim(now time.Duration, version int64) Action {
	a.phase = writing
	a.writes++
	a.baseVersion = version
	return Write{Wait: a.opTimeout(now), Row: Row{
		Version: version + 1, Token: a.req.Token, State: Held, Fingerprint: a.req.Fingerprint,
		Since: now, Until: a.runDeadline(),
	}}
}

// readOrGiveUp reads the row, or gives up with code if no time is left.
func (a *Attempt) readOrGiveUp(now time.Duration, code status.Code) Action {
	if cause, abandoned := a.abandoned(now); abandoned {
		return a.giveUp(cause)
	}
	// A platform that refuses connections fails reads immediately; the limit
	// keeps the attempt from spinning until its deadline.
	if a.reads >= 2*a.cfg.MaxWrites || a.opTimeout(now) <= 0 {
		return a.giveUp(code)
	}
	a.reads++
	a.phase = reading
	return Read{Wait: a.opTimeout(now)}
}

// giveUp ends the attempt with an answer that this call ran nothing.
func (a *Attempt) giveUp(code status.Code) Action {
	ans := Answer{
		Outcome: Outcome{Kind: refusedOrUnknown(a.knownNotRun), Code: code}, NotRunByCall: true,
		RetryAfter: a.jitter(a.cfg.RetryAfter),
	}
	if a.refusal != nil {
		ans.RetryAfter = a.refusal.RetryAfter
	}
	if a.maybeWritten {
		ans.FollowUp = newFenceFollowUp(a.cfg, a.req.Token, a.baseVersion)
	}
	return a.finish(ans)
}

func (a *Attempt) finish(ans Answer) Action {
	a.phase = ended
	return ans
}

// refusalCode returns the code of the refusal, or def for an attempt that claims.
func (a *Attempt) refusalCode(def status.Code) status.Code {
	if a.refusal != nil {
		return a.refusal.Code
	}
	return def
}

// abandoned reports whether the caller no longer waits for an answer, and why.
func (a *Attempt) abandoned(now time.Duration) (status.Code, bool) {
	switch {
	case a.callerGone:
		return status.CodeCanceled, true
	case now >= a.req.Deadline:
		return status.CodeDeadline, true
	default:
		return "", false
	}
}

// opTimeout returns the timeout of the next operation in the claim phase.
func (a *Attempt) opTimeout(now time.Duration) time.Duration {
	end := min(a.startedAt+a.cfg.ClaimTimeout, a.req.Deadline)
	return min(a.cfg.OpTimeout, end-now)
}

func (a *Attempt) runDeadline() time.Duration { return a.req.Deadline + a.cfg.RunGrace }

// jitter returns d to 2*d, so that refused callers do not retry in lockstep.
func (a *Attempt) jitter(d time.Duration) time.Duration {
	const parts = 1 << 10
	part := time.Duration(xxhash.Sum64String(a.req.Token) % parts)
	return d + d/parts*part
}

// recordFollowUp returns the follow-up that records an outcome.
func (a *Attempt) recordFollowUp(now time.Duration, o Outcome) FollowUp {
	return newRecordFollowUp(a.cfg, Row{
		Version: a.baseVersion + 1, Token: a.req.Token, State: Done, Fingerprint: a.req.Fingerprint,
		Since: a.startedAt, Until: a.runDeadline(), Outcome: o.Trim(a.cfg.MaxStoredBody),
		Expires: max(now, a.req.KeyTime) + a.req.Retention,
	})
}

// releaseFollowUp returns the follow-up that releases the claim.
func (a *Attempt) releaseFollowUp() FollowUp {
	return newReleaseFollowUp(a.cfg, a.req.Token, a.baseVersion)
}
