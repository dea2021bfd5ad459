package node

import "time"

// overloadEndDelay is how long the admission level must stay 0 until an overload counts
// as over. The level reaches 0 many times during one overload; a log line for each would
// hide the start and the end.
const overloadEndDelay = 10 * time.Second

// overloadDetector detects the start and end of an overload for the log.
type overloadDetector struct {
	active      bool
	lastRefusal time.Duration // when the level was last above 0
}

// observe records whether the level is above 0 now.
func (o *overloadDetector) observe(now time.Duration, refusing bool) (started, ended bool) {
	if refusing {
		o.lastRefusal = now
		started = !o.active
		o.active = true
		return started, false
	}
	ended = o.active && now-o.lastRefusal >= overloadEndDelay
	o.active = o.active && !ended
	return false, ended
}
