package route

import (
	"time"

	"peardrift/internal/core/request"
)

// Target is one target of the service in a membership snapshot.
type Target struct {
	ID request.TargetID
	// Incarnation increases with each start of the target. Measurements and a leave
	// apply to one incarnation.
	Incarnation uint64
	Region      string
	Zone        string
	// Slots is the number of requests that the target runs concurrently, Conns the
	// number of connections it accepts.
	Slots int
	Conns int
	// Since is when this incarnation became ready; 0 if long ago.
	Since time.Duration
	// Suspected: the target's node may be dead; used only if other targets are hot.
	Suspected bool
	// Leaving: the target gets no new calls.
	Leaving bool
}

// Kind classifies the end of a call by what it says about the target.
type Kind uint8

const (
	// Ignored says nothing about the target: canceled by the caller, or the caller's
	// fault.
	Ignored Kind = iota
	// Success is a complete answer that isn't a failure of the target.
	Success
	// Failure is a failure answer or a timeout.
	Failure
	// Shed is a refusal for load.
	Shed
	// Draining is a refusal because this incarnation of the target is draining.
	Draining
	// ConnectionFailed is a connection that couldn't be established, broke or went silent.
	ConnectionFailed
)

// Result describes a finished call for Done.
type Result struct {
	Kind Kind
	// Latency is the time from Started to the first byte of the answer.
	Latency time.Duration
	// Level is the admission level in the answer, valid if HasLevel.
	Level    request.Level
	HasLevel bool
	// Exempt lists the priorities from which the target admits calls below Level, one for
	// each importance. It is retained and must not change.
	Exempt []request.Level
	// InFlight and Limit are the load reported by the target, valid if Limit > 0.
	InFlight int
	Limit    int
	// ReportedAt is when the answer that carried the report arrived; 0: now. A report older
	// than the last one is ignored.
	ReportedAt time.Duration
	// Class is the class of the call, and ClassTime how long its calls take in the target
	// now, valid if ClassTime > 0.
	Class     request.Class
	ClassTime time.Duration
}

// Call describes a call for PickFor.
type Call struct {
	Priority request.Priority
	// Class is the class of the call; empty if unknown.
	Class request.Class
	// Objective is the time within which its answer is worth most; 0 if none.
	Objective time.Duration
}

// MaxTried is the maximum number of targets in a Tried.
const MaxTried = 8

// Tried is the set of targets that one call was already sent to. The zero value is
// empty.
type Tried struct {
	n   uint8
	idx [MaxTried]int32
}

// Add adds a target; beyond MaxTried it replaces the oldest.
func (t *Tried) Add(idx int) {
	t.idx[t.n%MaxTried] = int32(idx)
	t.n++
	if t.n >= 2*MaxTried {
		t.n -= MaxTried
	}
}

func (t *Tried) has(idx int32) bool {
	if t == nil {
		return false
	}
	for _, i := range t.idx[:min(t.n, MaxTried)] {
		if i == idx {
			return true
		}
	}
	return false
}
