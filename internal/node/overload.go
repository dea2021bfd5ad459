package node

import "time"

// overloadOver is how long nothing must have been refused by level until an
// overload counts as over. A level touches 0 many times in one overload; a line
// for each would bury the two that matter.
const overloadOver = 10 * time.Second

// overload finds the beginning and end of an overload, for the log.
type overload struct {
	on   bool
	seen time.Duration // when the level was last above 0
}

// look takes in whether the level is above 0 now.
func (o *overload) look(now time.Duration, refusing bool) (began, over bool) {
	if refusing {
		o.seen = now
		began = !o.on
		o.on = true
		return began, false
	}
	over = o.on && now-o.seen >= overloadOver
	o.on = o.on && !over
	return false, over
}
