// Package status defines the typed failures of peardrift: a stable Code that callers,
// operators and metrics may rely on, the Outcome that is known, and how long to wait
// before a retry.
//
// Each failure that can reach a caller or an operator is an *Error. Codes are part of
// the public interface: new ones are added, existing ones are never renamed.
//
// An Error is immutable and may be read from any goroutine.
package status

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs/v2"

	"peardrift/internal/core/request"
)

// Code identifies a kind of failure; it is the last part of the problem type URI.
type Code string

// The codes, grouped by what the receiver can do about them.
const (
	// The fault is in the request; sending it again unchanged won't help.
	CodeMalformed      Code = "malformed-request"
	CodeTooLarge       Code = "request-too-large"
	CodeUnknownService Code = "unknown-service"
	CodeUnknownClass   Code = "unknown-class"
	CodeKeyMissing     Code = "idempotency-key-missing"
	CodeKeyReused      Code = "idempotency-key-reused"
	CodeKeyAhead       Code = "idempotency-key-ahead"
	CodeForbidden      Code = "tenant-not-allowed"
	CodeKeyUnknown     Code = "key-unknown"
	CodeSuspect        Code = "suspected-of-crashing-targets"

	// Refused for now and not run; retry after RetryAfter.
	CodeOverloaded       Code = "overloaded"
	CodeOverShare        Code = "over-share"
	CodeOverLimit        Code = "over-rate-limit"
	CodeLimitUnchecked   Code = "rate-limit-unchecked" // no node that divides the rate was reachable
	CodeKeyUnchecked     Code = "key-unchecked"        // the node's API keys may be outdated
	CodeDeadline         Code = "deadline-too-short"
	CodeNoTarget         Code = "no-target"
	CodeDraining         Code = "draining"
	CodeNotReady         Code = "not-ready"
	CodeMisdirected      Code = "misdirected" // a node of another service has the address
	CodeConnectFailed    Code = "connect-failed"
	CodeRetriesExhausted Code = "retries-exhausted"
	CodeIsolationBusy    Code = "isolation-busy"
	CodePlatformDown     Code = "platform-unavailable"
	CodeInProgress       Code = "in-progress"
	CodeTargetShed       Code = "target-shed" // the target itself refused it
	CodeNoRoom           Code = "no-room-for-key"

	// The request ran or may have run.
	CodeDeadlineExceeded Code = "deadline-exceeded"
	CodeCanceled         Code = "canceled"
	CodeConnectionLost   Code = "connection-lost"
	CodeOutcomeUnknown   Code = "outcome-unknown"
	CodeTargetFailed     Code = "target-failed"
	CodeAnswerNotKept    Code = "completed-answer-not-kept"

	// Operators and settings.
	CodeInvalidSet      Code = "invalid-set"
	CodeConflict        Code = "version-conflict"
	CodeInvalidSettings Code = "invalid-settings"
	CodeListen          Code = "cannot-listen"
	CodeProtocol        Code = "protocol"
	CodeRowNotServed    Code = "row-not-served" // not a row that nodes read or write for each other
	CodeInternal        Code = "internal"
)

// moduleTag marks errors of this module in wrapped chains.
const moduleTag = errs.Tag("peardrift")

// TakesNoCalls reports whether a call failed because its target, or the node beside it, can
// take no calls at present, whatever their priority.
func (c Code) TakesNoCalls() bool {
	switch c {
	case CodeNotReady, CodeNoTarget, CodeDraining, CodeMisdirected, CodeConnectFailed:
		return true
	}
	return false
}

// Error is a typed failure. The zero Outcome is Unknown, so that a failure reports
// "not run" only where the code sets it explicitly.
type Error struct {
	Code       Code
	Outcome    request.Outcome
	Detail     string
	RetryAfter time.Duration // 0: none advised
	Cause      error         // may be nil
}

// New returns a failure of the given kind whose outcome is unknown.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Refuse returns a failure that reports that nothing ran, with the advised delay
// before a retry. Call it only if no attempt reached the point at which a target could
// have begun.
func Refuse(code Code, retryAfter time.Duration, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Outcome = request.Refused
	e.RetryAfter = retryAfter
	return e
}

// Wrap returns a failure of the given kind with a cause.
func Wrap(code Code, cause error, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Cause = moduleTag.Wrap(cause)
	return e
}

// Error implements error. It omits the tag of the cause, which all causes have and
// which would be repeated between the parts of a longer chain.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Detail)
	cause := e.Cause
	if tags := errs.Tags(cause); len(tags) > 0 && tags[0] == moduleTag {
		cause = errors.Unwrap(cause)
	}
	if cause == nil {
		return text
	}
	return fmt.Sprintf("%s: %v", text, cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is makes errors.Is compare codes only.
func (e *Error) Is(target error) bool {
	var t *Error
	return errors.As(target, &t) && t.Code == e.Code
}

// From returns err as an *Error, wrapping a foreign error as internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(CodeInternal, err, "unexpected failure")
}

// CodeOf returns the code of err, CodeInternal for a foreign error.
func CodeOf(err error) Code { return From(err).Code }
