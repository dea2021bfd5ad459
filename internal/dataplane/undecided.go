package dataplane

import (
	"math"
	"time"
)

// undecided holds the channels on which requests wait for the decision of a core, and the
// timer of the core's next deadline. Its owner's mutex guards it.
type undecided[T comparable, D any] struct {
	waiting map[T]chan D
	timer   *time.Timer
	firesAt time.Duration // when the timer fires next
	closed  bool
}

// newUndecided returns one without requests; tick is called when the core is due.
func newUndecided[T comparable, D any](tick func()) undecided[T, D] {
	return undecided[T, D]{
		waiting: make(map[T]chan D),
		timer:   time.AfterFunc(math.MaxInt64, tick),
		firesAt: math.MaxInt64,
	}
}

// add returns the channel on which the decision on a request arrives.
func (u *undecided[T, D]) add(t T) chan D {
	wait := make(chan D, 1)
	u.waiting[t] = wait
	return wait
}

// decide sends the decision to a request that waits; it has no effect on others.
func (u *undecided[T, D]) decide(t T, d D) {
	if wait, ok := u.waiting[t]; ok {
		delete(u.waiting, t)
		wait <- d
	}
}

// fired records that the timer has fired; it returns false after close.
func (u *undecided[T, D]) fired() bool {
	u.firesAt = math.MaxInt64
	return !u.closed
}

// arm sets the timer if the core's next deadline is earlier than the timer's. A timer
// that fires too early is harmless, so it is never postponed, which would cost time on
// each call.
func (u *undecided[T, D]) arm(next time.Duration, now func() time.Duration) {
	if u.closed || next >= u.firesAt {
		return
	}
	u.firesAt = next
	u.timer.Reset(max(next-now(), time.Millisecond))
}

func (u *undecided[T, D]) close() {
	u.closed = true
	u.timer.Stop()
}
