package waiting

import (
	"time"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Ticket identifies a waiting request. The caller chooses it; it must be unique among
// the waiting requests.
type Ticket uint64

// Request is a request that arrives at the entry.
type Request struct {
	Ticket     Ticket
	Key        earlyrefusal.Key // called service, class, tenant
	Importance request.Importance
	Arrived    time.Duration
	Objective  time.Duration // counted from the first send; 0: does not wait
	Deadline   time.Duration // instant
	Stated     time.Duration // time that the caller states to wait; 0: none
	Bytes      int           // memory that the request holds while it waits

	elapsed time.Duration // since the first send, before it arrived
	late    bool          // a return that can't meet its objective
}

// due returns the instant by which the answer is wanted: the objective, counted from the
// first send, or the deadline if that is earlier or the objective can't be met.
func (r *Request) due() time.Duration {
	if r.late {
		return r.Deadline
	}
	return min(r.Arrived-r.elapsed+r.Objective, r.Deadline)
}

// Pacer decides when requests may start.
type Pacer interface {
	// Start reports whether a request of the importance may start now and, if so, counts
	// it.
	Start(now time.Duration, k earlyrefusal.Key, imp request.Importance) bool
	// Next returns the earliest time at which Start may succeed.
	Next(now time.Duration, k earlyrefusal.Key, imp request.Importance) time.Duration
}

// Verdict is what happens to a request.
type Verdict uint8

// The zero value refuses, so that a missing assignment never starts a request.
const (
	Refuse Verdict = iota // not run
	Start                 // start it now
	Wait                  // an Action follows
	Bypass                // no longer subject to this package: its objective was removed
)

// String returns the verdict as it appears in logs, spans and metrics.
func (v Verdict) String() string {
	switch v {
	case Start:
		return "started"
	case Wait:
		return "waiting"
	case Bypass:
		return "bypassed"
	default:
		return "refused"
	}
}

// Decision is a verdict with its details.
type Decision struct {
	Verdict    Verdict
	Reason     status.Code   // with Refuse
	RetryAfter time.Duration // with Refuse; 0: no advice
	StartBy    time.Duration // with the Start of a waiting request: latest instant to start it
}

// Action is the final decision for a waiting request.
type Action struct {
	Ticket Ticket
	Decision
}

// Stats is a snapshot of the queue.
type Stats struct {
	Waiting int   // requests
	Bytes   int64 // sum of their Request.Bytes
}
