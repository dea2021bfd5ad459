package claim

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Event is an input to an Attempt or a FollowUp.
type Event interface{ event() }

// Events. Unless stated otherwise each is the result of the last action.
type (
	// Begin starts an attempt, or the next try of a follow-up.
	Begin struct{}
	// Written: the write is durable.
	Written struct{}
	// ConditionFailed: the row's version did not match the write's condition.
	ConditionFailed struct{}
	// Ambiguous: the write may have taken effect or may still do so.
	Ambiguous struct{}
	// NotWritten: the platform certainly did not receive the write.
	NotWritten struct{}
	// NoRoom: the shared row does not hold the claim and has no room for it.
	NoRoom struct{}
	// RowRead: the row, of State Absent if there is none.
	RowRead struct{ Row Row }
	// RowUnreadable: the row exists but this version cannot decode it.
	RowUnreadable struct{}
	// ReadFailed: the row could not be read.
	ReadFailed struct{}
	// TargetDone: the target ran, or may have; Outcome.Kind says which.
	TargetDone struct{ Outcome Outcome }
	// TargetNotRun: the target certainly ran nothing.
	TargetNotRun struct {
		Code       status.Code
		RetryAfter time.Duration
	}
	// CallerCanceled: the caller no longer waits. It may come at any time and is not
	// the result of an action; a run that has started continues.
	CallerCanceled struct{}
)

func (Begin) event()           {}
func (Written) event()         {}
func (ConditionFailed) event() {}
func (Ambiguous) event()       {}
func (NotWritten) event()      {}
func (NoRoom) event()          {}
func (RowRead) event()         {}
func (RowUnreadable) event()   {}
func (ReadFailed) event()      {}
func (TargetDone) event()      {}
func (TargetNotRun) event()    {}
func (CallerCanceled) event()  {}

// Action is the next step for the caller of an Attempt or a FollowUp. Nil means that
// the last action is still in flight.
type Action interface{ action() }

// Actions.
type (
	// Write puts Row if the table's row is at Row.Version-1 (0: absent), with
	// timeout Wait.
	Write struct {
		Row  Row
		Wait time.Duration
	}
	// Read gets the row, with timeout Wait.
	Read struct{ Wait time.Duration }
	// Run passes the request to the target, with deadline Until.
	Run struct{ Until time.Duration }
	// Answer ends the attempt.
	Answer struct {
		Outcome      Outcome
		Origin       Origin
		NotRunByCall bool          // this call ran nothing
		RetryAfter   time.Duration // 0: no advice
		FollowUp     FollowUp      // work left at the table
	}
	// RetryLater requests Begin after a pause, because the platform does not answer.
	RetryLater struct{}
	// Finished ends a follow-up. Lost means that the table does not hold the outcome
	// to be recorded, which only an outside change to the table can cause.
	Finished struct{ Lost bool }
)

func (Write) action()      {}
func (Read) action()       {}
func (Run) action()        {}
func (Answer) action()     {}
func (RetryLater) action() {}
func (Finished) action()   {}

// Origin is the source of an answer's outcome.
type Origin uint8

const (
	// FromDecision: the attempt decided without an answer from a target.
	FromDecision Origin = iota
	// FromRun: this call ran; the run's answer follows.
	FromRun
	// FromRow: an earlier call ran; its recorded outcome follows.
	FromRow
)

// Request describes the call of an attempt.
type Request struct {
	Token       string        // unique to the attempt
	Fingerprint Digest        // Fingerprint of the request
	Deadline    time.Duration // when the caller stops waiting
	KeyTime     time.Duration // 0 for an undated key
	Retention   time.Duration // how long the outcome is kept; 0: Config.Retention
}

// refusedOrUnknown returns Refused if it is known that nothing ran, else Unknown.
func refusedOrUnknown(known bool) request.Outcome {
	if known {
		return request.Refused
	}
	return request.Unknown
}
