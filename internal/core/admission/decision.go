package admission

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Ticket identifies a request while it is in the gate. The caller chooses it; it
// must be unique until the request is refused or leaves the target.
type Ticket uint64

// Arrival is a request for the target.
type Arrival struct {
	Ticket   Ticket
	Priority request.Priority
	Tenant   uint16        // small index, as in SetShares
	Deadline time.Duration // instant after which the caller stops waiting; 0: none
	Nested   bool          // nested call: earlier hops of its call chain have already done work
	// InProgress is set for a further call of a request that the service has served before.
	// A level that has risen since the request started does not refuse it, since the calls
	// made so far would have been in vain.
	InProgress bool
	// Age is the time since the request started at its entry, where callers apply the level; 0
	// if unknown. A change of the level shows in the arrivals only after it.
	Age time.Duration
}

// Verdict is the outcome of an arrival.
type Verdict uint8

// The zero value refuses, so that a missing assignment never sends a request to the
// target.
const (
	Refuse Verdict = iota // not handed to the target
	Admit                 // run it now
	Queue                 // queued; an Action follows
)

// String returns the verdict as used in metrics.
func (v Verdict) String() string {
	switch v {
	case Admit:
		return "admit"
	case Queue:
		return "queue"
	default:
		return "refuse"
	}
}

// Decision is a verdict and, for Refuse, the reason and the retry delay.
type Decision struct {
	Verdict    Verdict
	Reason     status.Code // with Refuse
	RetryAfter time.Duration
}

// Action is the final decision for a queued request.
type Action struct {
	Ticket Ticket
	Decision
}

// Result is how a request in the target ended.
type Result uint8

// Only OK says how long a request takes: a failure may be fast because it did
// nothing, and a canceled request was cut short.
const (
	OK         Result = iota // complete response
	Overloaded               // shed by the target
	Failed                   // error response or broken connection
	Canceled                 // abandoned by the node
)
