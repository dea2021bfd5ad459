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
	c := t.draw(now, t.local, p, tried)
	if c.rank > cold || t.entries[c.idx].util > t.cfg.Floor {
		c = better(c, t.draw(now, t.remote, p, tried))
	}
	if c.rank > hot {
		c = t.scan(now, c, t.local, p, tried)
		c = t.scan(now, c, t.remote, p, tried)
	}
	return int(c.idx), c.rank < never
}

// draw compares two random targets of a list. Two, and not the best of all:
// callers that all know of the same best target would all go there.
func (t *Table) draw(now time.Duration, list []int32, p request.Priority, tried *Tried) choice {
	c := none
	if len(list) == 0 {
		return c
	}
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

// scan looks at all targets of a list, for the rare case that those drawn are
// not good; the subset bounds it.
func (t *Table) scan(now time.Duration, c choice, list []int32, p request.Priority, tried *Tried) choice {
	for _, i := range list {
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
