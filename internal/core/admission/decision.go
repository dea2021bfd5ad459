package admission

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Ticket names a request while it is in the gate; chosen by the caller and
// unique until the request's final decision or its end in the target.
type Ticket uint64

// Arrival is a request that asks for the target.
type Arrival struct {
	Ticket   Ticket
	Priority request.Priority
	Tenant   uint16        // small index, the same in SetShares
	Deadline time.Duration // instant after which nobody waits for the answer; 0: none
	Deep     bool          // called from inside a chain, which has cost work already
}

// Verdict is what happens to an arrival.
type Verdict uint8

// The verdicts. The zero value refuses, so that a forgotten assignment lets
// nothing into the target.
const (
	Refuse Verdict = iota // not handed to the target
	Admit                 // run it now
	Queue                 // wait; an Action follows
)

// String returns the verdict in the form it has in metrics.
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

// Decision is a verdict and, for Refuse, why and when to come back.
type Decision struct {
	Verdict    Verdict
	Reason     status.Code // with Refuse
	RetryAfter time.Duration
}

// Action settles a request that was queued.
type Action struct {
	Ticket Ticket
	Decision
}

// Result is how a request left the target.
type Result uint8

// The results. Only OK tells how long a request takes: a failure may be fast
// because it did nothing, a canceled request was cut short.
const (
	OK         Result = iota // a whole answer
	Overloaded               // shed by the target
	Failed                   // answered with a failure, or the connection broke
	Canceled                 // given up by the node
)
