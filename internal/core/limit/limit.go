package limit

import "time"

// Window holds the measurements of one time window.
type Window struct {
	Length     time.Duration // of the window; windows are contiguous
	Busy       time.Duration // time in the target, summed over the requests in flight
	Downstream time.Duration // time that completed requests spent waiting for the target's own calls
	Completed  int           // requests that left the target with any result but a shed
	Overloaded int           // requests that the target shed
	Saturated  time.Duration // part of Length in which there was more work than the limit admitted
	Needed     time.Duration // part of Busy that completed requests needed without queueing, from QueueDetector; 0 if none queued inside the target
}

// Algorithm adapts a concurrency limit.
type Algorithm interface {
	// Limit returns the current limit, from 1 to the declared slots.
	Limit() int
	// Observe updates the limit from one window.
	Observe(w Window)
	// SetMax changes the declared slots; values below 1 count as 1.
	SetMax(slots int)
}

// add appends the following window to w.
func (w *Window) add(next Window) {
	w.Length += next.Length
	w.Busy += next.Busy
	w.Completed += next.Completed
	w.Overloaded += next.Overloaded
	w.Saturated += next.Saturated
	w.Needed += next.Needed
	w.Downstream += next.Downstream
}

// inFlight returns the mean number of requests in flight.
func (w *Window) inFlight() float64 {
	if w.Length <= 0 {
		return 0
	}
	return w.Busy.Seconds() / w.Length.Seconds()
}

// timeInTarget returns the mean time a request spent in the target, by Little's law:
// unlike the mean over completions, it rises as soon as requests stop completing. It
// is 0 if nothing completed.
func (w *Window) timeInTarget() time.Duration {
	if w.Completed == 0 {
		return 0
	}
	return w.Busy / time.Duration(w.Completed)
}

// ownTime returns the mean time that the target itself spent on a request, excluding
// its calls. It is 0 if nothing completed.
func (w *Window) ownTime() time.Duration {
	if w.Completed == 0 {
		return 0
	}
	return max(0, w.Busy-w.Downstream) / time.Duration(w.Completed)
}
