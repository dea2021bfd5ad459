package limit

import "time"

// Window is what was measured over one stretch of time.
type Window struct {
	Length     time.Duration // of the window; windows follow each other without gaps
	Busy       time.Duration // time in the target, summed over the requests in flight
	Below      time.Duration // time that the completed ones spent waiting for the target's own calls
	Completed  int           // requests that left the target with an answer of any kind but a shed
	Overloaded int           // requests that the target shed
	Saturated  time.Duration // part of Length in which there was more work than the limit let in
	Needed     time.Duration // part of Busy that the completed ones needed, if some waited inside the target, by Delay; else 0
}

// Algorithm adapts a concurrency limit.
type Algorithm interface {
	// Limit returns the present limit, from 1 to the declared slots.
	Limit() int
	// Observe takes in one window.
	Observe(w Window)
	// SetMax changes the declared slots; at least 1 is assumed.
	SetMax(slots int)
}

// add joins a following window to w.
func (w *Window) add(next Window) {
	w.Length += next.Length
	w.Busy += next.Busy
	w.Completed += next.Completed
	w.Overloaded += next.Overloaded
	w.Saturated += next.Saturated
	w.Needed += next.Needed
	w.Below += next.Below
}

// inFlight returns the mean number of requests in flight.
func (w *Window) inFlight() float64 {
	if w.Length <= 0 {
		return 0
	}
	return w.Busy.Seconds() / w.Length.Seconds()
}

// timeInTarget returns the mean time a request spent in the target, by
// Little's law: unlike the mean over completions it rises as soon as requests
// stop coming back. 0 if nothing completed.
func (w *Window) timeInTarget() time.Duration {
	if w.Completed == 0 {
		return 0
	}
	return w.Busy / time.Duration(w.Completed)
}

// ownTime returns the mean time that the target itself spent on a request,
// without waiting for its calls. 0 if nothing completed.
func (w *Window) ownTime() time.Duration {
	if w.Completed == 0 {
		return 0
	}
	return max(0, w.Busy-w.Below) / time.Duration(w.Completed)
}
