package admission

import (
	"time"

	"peardrift/internal/core/request"
)

// entry is a request in the gate, queued or running.
type entry struct {
	ticket   Ticket
	key      uint64 // place in the queue, see keyOf
	seq      uint64 // order of arrival
	priority request.Priority
	tenant   int
	deep     bool
	running  bool
	deadline time.Duration
	latest   time.Duration // last instant at which starting it still makes sense
	started  time.Duration // when it was admitted
	expected time.Duration // service time expected when queued or started
	place    [orders]int   // position in each order while queued
}

func (e *entry) importance() int { return int(e.priority.Importance()) }

// keyOf orders the queue: importance, deep work before new, hashed identity.
// Deep work goes first within its importance only; otherwise a flood of
// unimportant chains would push out important entries.
func keyOf(p request.Priority, deep bool) uint64 {
	const hashBits = 16
	hash := uint64(p) & (1<<hashBits - 1)
	key := uint64(p.Importance()) << (hashBits + 1)
	if deep {
		key |= 1 << hashBits
	}
	return key | hash
}

// pool keeps entries by index, so that a decision allocates nothing once the
// pool has grown to the size in use.
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
