package route

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

// rank orders what may be chosen; the lowest wins, cost decides within one.
type rank uint8

const (
	cold    rank = iota
	hot          // loaded above the others, or suspected
	refuses      // its last level says that it refuses this request
	never
)

// draws is how often a target is drawn for one of the two to compare, until
// one is accepted by its weight.
const draws = 4

// levelAge is how long a target's last level is held against it.
const levelAge = time.Second

// choice is the best candidate so far.
type choice struct {
	idx  int32
	rank rank
	cost float64
}

var none = choice{idx: -1, rank: never, cost: math.Inf(1)}

func better(a, b choice) choice {
	if b.rank < a.rank || (b.rank == a.rank && b.cost < a.cost) {
		return b
	}
	return a
}

// Pick returns the target for the next call of a request with priority p, not
// one of tried, which may be nil. ok is false if there is none that may be
// used; then the call ran nowhere and is refused with status.CodeNoTarget.
func (t *Table) Pick(now time.Duration, p request.Priority, tried *Tried) (idx int, ok bool) {
	t.refresh(now)
	c := none
	near, far := t.all[:len(t.local)], t.all[len(t.local):]
	if len(near) > 0 {
		c = t.draw(now, near, p, tried)
	}
	if len(far) > 0 && t.looksFurther(c) {
		c = t.across(c, t.draw(now, far, p, tried))
	}
	if c.rank > hot {
		c = t.scan(now, c, p, tried)
	}
	if c.rank == never && t.allEjected() {
		c = t.lastResort(tried)
	}
	return int(c.idx), c.rank < never
}

// looksFurther reports whether the other zones are to be compared with the best
// candidate of the own one.
func (t *Table) looksFurther(c choice) bool {
	if t.cfg.ZoneGap > 0 && c.rank == hot {
		return t.entries[c.idx].util > t.cfg.Floor
	}
	return c.rank > cold || t.entries[c.idx].util > t.cfg.Floor
}

// across returns the better of the own zone's candidate and another's, by what it
// takes to leave the zone.
func (t *Table) across(near, far choice) choice {
	if t.cfg.ZoneGap > 0 && near.rank < refuses && far.rank < refuses {
		return t.lessLoaded(near, far)
	}
	return better(near, t.dearer(near, far))
}

// lessLoaded returns the other zone's candidate only if it is less loaded by
// ZoneGap. Compared by cost, which counts the calls in flight from here, it would
// look cheaper as soon as it is looked at: nearly all of a node's calls are in its
// own zone. One notices by calls that leave a zone whose targets have room: more than
// a quarter of all calls left theirs, and the bytes cost more than anything else.
func (t *Table) lessLoaded(near, far choice) choice {
	if t.entries[far.idx].util+t.cfg.ZoneGap <= t.entries[near.idx].util {
		return far
	}
	return near
}

// dearer prices a candidate of another zone against the own zone's: ZoneFactor
// times as dear while that is loaded at Floor, no dearer when it is full.
// Symptom otherwise: one zone's targets refuse requests while others have slots
// free, since each zone finds a level of its own.
func (t *Table) dearer(near, far choice) choice {
	if near.idx < 0 {
		return far
	}
	free := (1 - t.entries[near.idx].util) / (1 - t.cfg.Floor)
	far.cost *= 1 + (t.cfg.ZoneFactor-1)*min(max(free, 0), 1)
	return far
}

// draw compares two random targets of a list. Two, and not the best of all:
// callers that all know of the same best target would all go there.
func (t *Table) draw(now time.Duration, list []int32, p request.Priority, tried *Tried) choice {
	c := none
	for range 2 {
		i := t.sample(list)
		c = better(c, t.judge(now, i, p, tried))
	}
	return c
}

// sample draws a target with a chance in proportion to its weight, roughly.
func (t *Table) sample(list []int32) int32 {
	var i int32
	for range draws {
		r := t.rng.Uint64()
		i = list[(r>>32)*uint64(len(list))>>32]
		if float64(uint32(r)) < t.entries[i].weight*(1<<32) {
			break
		}
	}
	return i
}

// scan looks at all targets, for the rare case that those drawn are
// not good; the subset bounds it.
func (t *Table) scan(now time.Duration, c choice, p request.Priority, tried *Tried) choice {
	for _, i := range t.all {
		c = better(c, t.judge(now, i, p, tried))
	}
	return c
}

func (t *Table) judge(now time.Duration, i int32, p request.Priority, tried *Tried) choice {
	e := &t.entries[i]
	if !e.usable(now) || tried.has(i) {
		return none
	}
	r := cold
	switch {
	case e.level > p && now-e.levelAt < levelAge:
		r = refuses
	case e.hot || e.Suspected:
		r = hot
	}
	return choice{idx: i, rank: r, cost: e.cost * float64(1+e.inFlight)}
}

func (e *entry) usable(now time.Duration) bool {
	if e.Leaving || e.inFlight >= e.cap {
		return false
	}
	return e.avoid == avoidNot || (now >= e.until && !e.probing)
}
