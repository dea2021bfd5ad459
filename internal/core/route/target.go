package route

import (
	"time"

	"peardrift/internal/core/request"
)

// Target is one target of the service, as a snapshot of the members has it.
type Target struct {
	ID request.TargetID
	// Incarnation rises with each start of the target. Measurements and a leave
	// belong to one incarnation.
	Incarnation uint64
	Region      string
	Zone        string
	// Slots is the requests that the target runs at once, Conns the connections
	// it accepts.
	Slots int
	Conns int
	// Since is when this incarnation became ready; 0 if long ago.
	Since time.Duration
	// Suspected says that its node may be gone: used only if others are hot.
	Suspected bool
	// Leaving: gets nothing new.
	Leaving bool
}

// Kind is how a call ended, as far as it tells something of the target.
type Kind uint8

const (
	// Ignored tells nothing: cancelled by the caller, or at the caller's fault.
	Ignored Kind = iota
	// Success is a whole answer that isn't a failure of the target.
	Success
	// Failure is an answer that is one, or a time-out.
	Failure
	// Shed is a refusal for load.
	Shed
	// Leaves is a refusal because the target is leaving, for its incarnation.
	Leaves
	// Broken is a connection that could not be made, broke or went silent.
	Broken
)

// Result is what Done takes in of an ended call.
type Result struct {
	Kind Kind
	// Latency from Started to the answer's first byte.
	Latency time.Duration
	// Level is the admission level that the answer reported, if HasLevel.
	Level    request.Level
	HasLevel bool
	// InFlight and Limit are the target's own report, if Limit > 0.
	InFlight int
	Limit    int
}

// MaxTried bounds the targets that a Tried remembers.
const MaxTried = 8

// Tried is the targets that one call was sent to before. The zero value is none.
type Tried struct {
	n   uint8
	idx [MaxTried]int32
}

// Add remembers a target; past MaxTried it forgets the oldest.
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
