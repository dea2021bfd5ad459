package admission

import (
	"time"

	"peardrift/internal/core/request"
)

// entry is a queued or running request.
type entry struct {
	ticket      Ticket
	key         uint64 // queue position, see queueKey
	seq         uint64 // arrival order
	priority    request.Priority
	tenant      int
	deep        bool
	judgedFrom  time.Duration // see Arrival.judgedFrom
	running     bool
	deadline    time.Duration
	latestStart time.Duration  // latest start that can still meet the deadline and MaxWait
	started     time.Duration  // instant of admission
	expected    time.Duration  // expected service time, estimated on arrival
	timeFactor  float64        // of the target at admission
	heapIndex   [numOrders]int // index in each heap while queued
}

func (e *entry) importance() int { return int(e.priority.Importance()) }

// Bits of a queue key: the hashed identity, and above it how far a request has got.
const (
	hashBits  = 16
	stageBits = 2
	keySpan   = 1 << (hashBits + stageBits) // keys of one importance
)

// queueKey returns the sort key of the queue: importance, calls of requests in progress
// before other nested calls and these before new requests, hashed identity. They go first
// only within their importance; otherwise a flood of unimportant call chains would evict
// important requests.
func queueKey(a *Arrival) uint64 {
	hash := uint64(a.Priority) & (1<<hashBits - 1)
	stage := uint64(0)
	switch {
	case a.InProgress:
		stage = 2
	case a.Nested:
		stage = 1
	}
	return (uint64(a.Priority.Importance())<<stageBits|stage)<<hashBits | hash
}

// pool stores entries by index, so that a decision allocates nothing once the pool
// has grown to its working size.
type pool struct {
	entries []entry
	free    []int
	byID    map[Ticket]int
}

func (p *pool) add(t Ticket) int {
	var i int
	if n := len(p.free); n > 0 {
		i, p.free = p.free[n-1], p.free[:n-1]
	} else {
		i = len(p.entries)
		p.entries = append(p.entries, entry{})
	}
	p.entries[i] = entry{ticket: t}
	p.byID[t] = i
	return i
}

func (p *pool) remove(i int) {
	delete(p.byID, p.entries[i].ticket)
	p.free = append(p.free, i)
}
