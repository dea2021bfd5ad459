package claims

import (
	"time"

	"peardrift/internal/core/claim"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Request is one call of an at-most-once class.
type Request struct {
	Scope  claim.Scope
	Key    string // the caller's, or claim.DeriveKey's
	Method string
	Path   string // with its query
	// Body is the digest of the complete body. A streamed body must be read to its
	// end first: with the digest of a prefix, a different request would get this
	// one's answer.
	Body      claim.Digest
	Deadline  time.Time     // when the caller stops waiting
	Retention time.Duration // how long the outcome is kept; 0: claim.Config.Retention
}

// Result is the result of a call. If Err is nil, the call has a complete answer:
// of its own run, or the recorded one of an earlier call.
type Result struct {
	Outcome claim.Outcome
	Err     *status.Error
	Origin  claim.Origin
	// NotRunByCall means that this call ran nothing. It is weaker than an
	// Outcome.Kind of request.Refused, which covers all calls under the key.
	NotRunByCall bool
}

// Answered returns the Result of a run with a complete answer. body is copied.
func Answered(httpStatus int, contentType string, body []byte) Result {
	return Result{Outcome: claim.Outcome{
		Kind: request.Completed, Status: httpStatus, ContentType: contentType,
		Body: string(body), Size: int64(len(body)), Sum: claim.Sum(body), BodyStored: true,
	}}
}

// Streamed returns the Result of a run whose complete answer was streamed to the
// caller without being stored.
func Streamed(httpStatus int, contentType string, size int64, sum claim.Digest) Result {
	return Result{Outcome: claim.Outcome{
		Kind: request.Completed, Status: httpStatus, ContentType: contentType, Size: size, Sum: sum,
	}}
}

// Failure returns the Result of a run without an answer. If err.Outcome is
// request.Refused the claim is released, otherwise the failure is recorded.
func Failure(err *status.Error) Result {
	return Result{Err: err, Outcome: claim.Outcome{Kind: err.Outcome, Code: err.Code}}
}

// event returns the event that reports a run to the attempt.
func (r Result) event() claim.Event {
	if r.Err != nil && r.Err.Outcome == request.Refused {
		return claim.TargetNotRun{Code: r.Err.Code, RetryAfter: r.Err.RetryAfter}
	}
	return claim.TargetDone{Outcome: r.Outcome}
}

// resultOf converts an answer that does not come from this call's run into a
// Result.
func resultOf(a claim.Answer) Result {
	res := Result{Outcome: a.Outcome, Origin: a.Origin, NotRunByCall: a.NotRunByCall}
	code := a.Outcome.Code
	if code == "" && a.Outcome.Kind == request.Completed && !a.Outcome.BodyStored {
		code = status.CodeAnswerNotKept
	}
	if code == "" {
		return res
	}
	res.Err = status.New(code, "%s", detail(code, a))
	res.Err.Outcome = a.Outcome.Kind
	res.Err.RetryAfter = a.RetryAfter
	return res
}

// detail returns the error text: what is certain, and what the caller should do.
func detail(code status.Code, a claim.Answer) string {
	if a.Origin == claim.FromRow {
		if code == status.CodeAnswerNotKept {
			return "an earlier call with this key completed; its answer was too large to keep (sha256 " + a.Outcome.Sum.String() + ")"
		}
		return "this is how an earlier call with this key ended"
	}
	if a.Outcome.Kind == request.Refused {
		if code == status.CodeKeyReused {
			return "the key was used for another request, and this one has not run"
		}
		if code == status.CodeNoRoom {
			return "too many keys are dated alike; nothing has run under this one, so send the request with a new key"
		}
		return "nothing has run under this key"
	}
	switch code {
	case status.CodeInProgress:
		return "an earlier call with this key may still be running; come back for its outcome with the same key"
	case status.CodeOutcomeUnknown:
		return "an earlier call with this key may have run, and how it ended is not known; this call ran nothing"
	case status.CodeKeyAhead:
		return "the key is dated too far ahead, so the caller's clock is wrong; this call ran nothing"
	default:
		return "this call ran nothing; whether an earlier call with this key ran could not be read, so repeat with the same key"
	}
}
