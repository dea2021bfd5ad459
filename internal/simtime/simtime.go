// Package simtime provides a virtual clock with an event queue, for deterministic
// tests of code without I/O and timers.
package simtime

import (
	"container/heap"
	"time"
)

// Queue is a virtual clock with a queue of scheduled events. The zero value starts
// at time 0. It is not safe for concurrent use.
type Queue struct {
	// Now is the virtual time; set it only while the queue is empty.
	Now    time.Duration
	events events
	seq    int
}

// After schedules f to run after d. Events due at the same time run in the order
// in which they were scheduled.
func (q *Queue) After(d time.Duration, f func()) {
	q.seq++
	heap.Push(&q.events, event{at: q.Now + d, seq: q.seq, run: f})
}

// RunUntil runs all events due by end, in order, and sets the clock to end.
func (q *Queue) RunUntil(end time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= end {
		e := heap.Pop(&q.events).(event)
		q.Now = e.at
		e.run()
	}
	q.Now = end
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
