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

// Attempt is one call's way through its claim. Copies are independent.
type Attempt struct {
	cfg *Config
	req Request

	phase  phase
	begun  time.Duration
	rounds int   // claim writes so far
	reads  int   // reads so far
	base   int64 // version that the last claim write was conditional on
	doubt  bool  // an own claim write may be in the table, or get there yet
	clear  bool  // at an instant since Begin nothing had run under the key
	gone   bool  // the caller has left

	refusal *status.Error // of an attempt that only looks; nil: one that claims
}

// New returns an attempt that waits for Begin.
func New(cfg Config, req Request) Attempt {
	if req.Remember == 0 {
		req.Remember = cfg.Remember
	}
	return Attempt{cfg: &cfg, req: req}
}

// NewLook returns an attempt for a call that was refused before it came to a
// claim. It writes and runs nothing: it finds out whether the refusal may say
// "not run", or how an earlier call under the key ended.
//
// Symptom of its absence: a payout is paid twice. The first call's answer was
// lost, its repeat met an overloaded target and was told "not run", so the
// caller began anew under another key.
func NewLook(cfg Config, req Request, refusal *status.Error) Attempt {
	a := New(cfg, req)
	a.refusal = refusal
	return a
}

// Step takes the next event and returns what to do. An event that does not
// belong to the phase is ignored: a repeated one must not run anything again.
func (a *Attempt) Step(now time.Duration, e Event) Action {
	if _, ok := e.(CallerGone); ok {
		a.gone = true
		return nil
	}
	switch a.phase {
	case idle:
		if _, ok := e.(Begin); ok {
			return a.begin(now)
		}
	case writing:
		return a.wrote(now, e)
	case reading:
		return a.read(now, e)
	case running:
		return a.ran(now, e)
	}
	return nil
}

func (a *Attempt) begin(now time.Duration) Action {
	a.begun = now
	// A row may be removed when it has been kept for Remember. A repeat that
	// comes later would find it absent and run again; a dated key shows its age.
	if a.req.KeyTime > 0 && now > a.req.KeyTime+a.req.Remember-a.cfg.Skew {
		return a.end(Answer{Outcome: Outcome{Code: status.CodeOutcomeUnknown}, NotRunHere: true})
	}
	// Where a dated key lives is known for a while ahead only, see batch.Layout.
	if a.req.KeyTime > now+a.cfg.Ahead {
		return a.end(Answer{Outcome: Outcome{Code: status.CodeKeyAhead}, NotRunHere: true})
	}
	if a.refusal != nil {
		return a.lookOr(now, a.refusal.Code)
	}
	if code, hopeless := a.hopeless(now); hopeless {
		return a.giveUp(code)
	}
	return a.write(now, 0)
}

// wrote takes the answer to a claim write.
func (a *Attempt) wrote(now time.Duration, e Event) Action {
	switch e.(type) {
	case Written:
		return a.won(now, a.base+1)
	case ConditionFailed:
		return a.lookOr(now, status.CodeInProgress)
	case InDoubt:
		a.doubt = true
		return a.lookOr(now, status.CodePlatformDown)
	case NothingWritten:
		return a.giveUp(status.CodePlatformDown)
	case NoRoom:
		a.clear = true
		return a.giveUp(status.CodeNoRoom)
	}
	return nil
}

// read takes the answer to a read of the row.
func (a *Attempt) read(now time.Duration, e Event) Action {
	switch e := e.(type) {
	case RowRead:
		return a.saw(now, e.Row)
	case RowUnreadable:
		a.doubt = false // versions only rise: no write of ours is in that row
		return a.end(Answer{Outcome: Outcome{Code: status.CodeOutcomeUnknown}, NotRunHere: true})
	case ReadFailed:
		return a.lookOr(now, a.code(status.CodePlatformDown))
	}
	return nil
}

// saw decides by the row.
func (a *Attempt) saw(now time.Duration, r Row) Action {
	if r.State == Held && r.Token == a.req.Token {
		return a.won(now, r.Version)
	}
	// Every claim write of ours was conditional on base or less. A row past
	// base fails those that are still under way.
	if r.Version > a.base {
		a.doubt = false
	}
	switch {
	case r.State == Absent || r.State == Free:
		a.clear = true
		return a.again(now, r.Version)
	case r.Print != a.req.Print:
		// The row would still be this request's own, had it ever run.
		return a.end(Answer{Outcome: Outcome{Kind: request.Refused, Code: status.CodeKeyReused}, NotRunHere: true})
	case r.State == Done:
		return a.end(Answer{Outcome: r.Outcome, Origin: FromRow, NotRunHere: true})
	case now < r.Until:
		return a.end(Answer{
			Outcome: Outcome{Code: status.CodeInProgress}, NotRunHere: true,
			RetryAfter: a.spread(min(a.cfg.RetryAfter, r.Until-now)),
		})
	default:
		return a.end(Answer{Outcome: Outcome{Code: status.CodeOutcomeUnknown}, NotRunHere: true})
	}
}

// again claims a row that is absent or Free.
func (a *Attempt) again(now time.Duration, version int64) Action {
	if a.refusal != nil {
		return a.giveUp(a.refusal.Code)
	}
	if code, hopeless := a.hopeless(now); hopeless {
		return a.giveUp(code)
	}
	if a.rounds >= a.cfg.Rounds || a.wait(now) <= 0 {
		return a.giveUp(status.CodePlatformDown)
	}
	return a.write(now, version)
}

// won runs the request, unless nobody waits for it any more. A holder that was
// paused between its claim and its run comes by here late: it still holds the
// claim, but its caller is gone.
func (a *Attempt) won(now time.Duration, version int64) Action {
	a.doubt, a.clear = false, true
	a.base = version
	if code, hopeless := a.hopeless(now); hopeless {
		return a.end(Answer{
			Outcome: Outcome{Kind: request.Refused, Code: code}, NotRunHere: true,
			Duty: a.release(),
		})
	}
	a.phase = running
	return Run{Until: a.until()}
}

// ran takes how the run ended.
func (a *Attempt) ran(now time.Duration, e Event) Action {
	switch e := e.(type) {
	case TargetNotRun:
		return a.end(Answer{
			Outcome:    Outcome{Kind: request.Refused, Code: e.Code},
			Origin:     FromRun,
			NotRunHere: true, RetryAfter: e.RetryAfter, Duty: a.release(),
		})
	case TargetDone:
		o := e.Outcome
		if o.Kind == request.Refused {
			o.Kind = request.Unknown // "not run" has an event of its own
		}
		return a.end(Answer{Outcome: o, Origin: FromRun, Duty: a.record(now, o)})
	}
	return nil
}

// write claims the row if it is at version.
func (a *Attempt) write(now time.Duration, version int64) Action {
	a.phase = writing
	a.rounds++
	a.base = version
	return Write{Wait: a.wait(now), Row: Row{
		Version: version + 1, Token: a.req.Token, State: Held, Print: a.req.Print,
		Since: now, Until: a.until(),
	}}
}

// lookOr reads the row, or gives up with code if there is no time.
func (a *Attempt) lookOr(now time.Duration, code status.Code) Action {
	if gone, hopeless := a.hopeless(now); hopeless {
		return a.giveUp(gone)
	}
	// A platform that refuses connections fails reads in no time: the count
	// keeps the attempt from spinning until its time is up.
	if a.reads >= 2*a.cfg.Rounds || a.wait(now) <= 0 {
		return a.giveUp(code)
	}
	a.reads++
	a.phase = reading
	return Read{Wait: a.wait(now)}
}

// giveUp answers that this call ran nothing.
func (a *Attempt) giveUp(code status.Code) Action {
	ans := Answer{
		Outcome: Outcome{Kind: refusedIf(a.clear), Code: code}, NotRunHere: true,
		RetryAfter: a.spread(a.cfg.RetryAfter),
	}
	if a.refusal != nil {
		ans.RetryAfter = a.refusal.RetryAfter
	}
	if a.doubt {
		ans.Duty = fence(a.cfg, a.req.Token, a.base)
	}
	return a.end(ans)
}

func (a *Attempt) end(ans Answer) Action {
	a.phase = ended
	return ans
}

// code returns why a call that looks was refused, def for any other.
func (a *Attempt) code(def status.Code) status.Code {
	if a.refusal != nil {
		return a.refusal.Code
	}
	return def
}

// hopeless says whether nobody would take an answer, and why.
func (a *Attempt) hopeless(now time.Duration) (status.Code, bool) {
	switch {
	case a.gone:
		return status.CodeCanceled, true
	case now >= a.req.Deadline:
		return status.CodeDeadline, true
	default:
		return "", false
	}
}

// wait returns how long the next operation of the claim phase may take.
func (a *Attempt) wait(now time.Duration) time.Duration {
	end := min(a.begun+a.cfg.ClaimWait, a.req.Deadline)
	return min(a.cfg.OpWait, end-now)
}

func (a *Attempt) until() time.Duration { return a.req.Deadline + a.cfg.RunGrace }

// spread returns d to 2*d, so that refused callers do not come back together.
func (a *Attempt) spread(d time.Duration) time.Duration {
	const parts = 1 << 10
	part := time.Duration(xxhash.Sum64String(a.req.Token) % parts)
	return d + d/parts*part
}

// record returns the duty to keep an outcome.
func (a *Attempt) record(now time.Duration, o Outcome) Duty {
	return recording(a.cfg, Row{
		Version: a.base + 1, Token: a.req.Token, State: Done, Print: a.req.Print,
		Since: a.begun, Until: a.until(), Outcome: o.Trim(a.cfg.MaxKept),
		Expires: max(now, a.req.KeyTime) + a.req.Remember,
	})
}

// release returns the duty to give the claim back.
func (a *Attempt) release() Duty { return releasing(a.cfg, a.req.Token, a.base) }
