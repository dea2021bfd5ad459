package claim

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Event is what happened to an attempt or a duty.
type Event interface{ event() }

// Events. Unless said otherwise each answers the last action.
type (
	// Begin starts an attempt, or a duty's next try.
	Begin struct{}
	// Written: the write is durable.
	Written struct{}
	// ConditionFailed: the row was not at the write's condition.
	ConditionFailed struct{}
	// InDoubt: the write may have taken effect, now or later.
	InDoubt struct{}
	// NothingWritten: the platform is known not to have had the write.
	NothingWritten struct{}
	// NoRoom: the row that the claim shares with others has no room for it, and
	// did not hold it.
	NoRoom struct{}
	// RowRead: the row, of State Absent if there is none.
	RowRead struct{ Row Row }
	// RowUnreadable: there is a row that this version can't decode.
	RowUnreadable struct{}
	// ReadFailed: the row could not be read.
	ReadFailed struct{}
	// TargetDone: the target ran, or may have; Outcome.Kind says which.
	TargetDone struct{ Outcome Outcome }
	// TargetNotRun: the target is known to have run nothing.
	TargetNotRun struct {
		Code       status.Code
		RetryAfter time.Duration
	}
	// CallerGone: nobody waits any more. It may come at any time and answers no
	// action; a run that has begun goes on.
	CallerGone struct{}
)

func (Begin) event()           {}
func (Written) event()         {}
func (ConditionFailed) event() {}
func (InDoubt) event()         {}
func (NothingWritten) event()  {}
func (NoRoom) event()          {}
func (RowRead) event()         {}
func (RowUnreadable) event()   {}
func (ReadFailed) event()      {}
func (TargetDone) event()      {}
func (TargetNotRun) event()    {}
func (CallerGone) event()      {}

// Action is what an attempt or a duty wants done next. Nil: nothing, the last
// action is still under way.
type Action interface{ action() }

// Actions.
type (
	// Write puts Row if the table's row is at Row.Version-1 (0: absent), and
	// waits for it no longer than Wait.
	Write struct {
		Row  Row
		Wait time.Duration
	}
	// Read gets the row, and waits for it no longer than Wait.
	Read struct{ Wait time.Duration }
	// Run hands the request to the target, which has until Until.
	Run struct{ Until time.Duration }
	// Answer ends the attempt.
	Answer struct {
		Outcome    Outcome
		Origin     Origin
		NotRunHere bool          // this call ran nothing
		RetryAfter time.Duration // 0: no advice
		Duty       Duty          // what is still to be done
	}
	// Later asks for Begin after a pause: the platform does not answer.
	Later struct{}
	// Finished ends a duty. Lost: the table does not hold what was to be
	// recorded, which only a hand from outside can cause.
	Finished struct{ Lost bool }
)

func (Write) action()    {}
func (Read) action()     {}
func (Run) action()      {}
func (Answer) action()   {}
func (Later) action()    {}
func (Finished) action() {}

// Origin says where an answer's outcome comes from.
type Origin uint8

const (
	// FromRules: the attempt's own decision; there is no answer of a target.
	FromRules Origin = iota
	// FromRun: this call ran; the run's answer follows.
	FromRun
	// FromRow: an earlier call ran; its recorded outcome follows.
	FromRow
)

// Request is what an attempt has to know about its call.
type Request struct {
	Token    string        // no other attempt has it
	Print    Digest        // Fingerprint of the request
	Deadline time.Duration // when the caller stops waiting
	KeyTime  time.Duration // 0 for an undated key
	Remember time.Duration // how long the outcome is kept; 0: Config.Remember
}

// refusedIf returns Refused where it is known that nothing ran, Unknown else.
func refusedIf(known bool) request.Outcome {
	if known {
		return request.Refused
	}
	return request.Unknown
}
