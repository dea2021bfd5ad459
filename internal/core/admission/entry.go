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
	running     bool
	deadline    time.Duration
	latestStart time.Duration  // latest start that can still meet the deadline and MaxWait
	started     time.Duration  // instant of admission
	expected    time.Duration  // expected service time, estimated on arrival
	timeFactor  float64        // of the target at admission
	heapIndex   [numOrders]int // index in each heap while queued
}

func (e *entry) importance() int { return int(e.priority.Importance()) }

// queueKey returns the sort key of the queue: importance, nested calls before new
// requests, hashed identity. Nested calls go first only within their importance;
// otherwise a flood of unimportant call chains would evict important requests.
func queueKey(p request.Priority, deep bool) uint64 {
	const hashBits = 16
	hash := uint64(p) & (1<<hashBits - 1)
	key := uint64(p.Importance()) << (hashBits + 1)
	if deep {
		key |= 1 << hashBits
	}
	return key | hash
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
