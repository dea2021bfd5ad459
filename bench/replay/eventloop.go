package replay

import (
	"container/heap"
	"time"
)

// event is a callback scheduled at a virtual time. A nil action means canceled.
type event struct {
	at     time.Duration
	seq    uint64 // orders events of the same time by when they were scheduled
	action func()
}

func (e *event) cancel() {
	if e != nil {
		e.action = nil
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

// eventLoop is the virtual clock with its queue of pending events.
type eventLoop struct {
	now   time.Duration
	seq   uint64
	queue eventQueue
}

func (l *eventLoop) at(t time.Duration, do func()) *event {
	l.seq++
	e := &event{at: max(t, l.now), seq: l.seq, action: do}
	heap.Push(&l.queue, e)
	return e
}

func (l *eventLoop) after(d time.Duration, do func()) *event { return l.at(l.now+d, do) }

// run executes all events up to the end time, inclusive.
func (l *eventLoop) run(end time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= end {
		e := heap.Pop(&l.queue).(*event)
		l.now = e.at
		if e.action != nil {
			e.action()
		}
	}
	l.now = end
}
