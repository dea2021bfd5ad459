package replay

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time. A nil do has been canceled.
type event struct {
	at  time.Duration
	seq uint64 // keeps events of one instant in the order in which they were set
	do  func()
}

func (e *event) cancel() {
	if e != nil {
		e.do = nil
	}
}

// eventQueue implements heap.Interface.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// loop is the virtual clock and what is still to happen.
type loop struct {
	now   time.Duration
	seq   uint64
	queue eventQueue
}

func (l *loop) at(t time.Duration, do func()) *event {
	l.seq++
	e := &event{at: max(t, l.now), seq: l.seq, do: do}
	heap.Push(&l.queue, e)
	return e
}

func (l *loop) after(d time.Duration, do func()) *event { return l.at(l.now+d, do) }

// run plays all events up to the end time.
func (l *loop) run(end time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= end {
		e := heap.Pop(&l.queue).(*event)
		l.now = e.at
		if e.do != nil {
			e.do()
		}
	}
	l.now = end
}
