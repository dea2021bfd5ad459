package route

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

// rank orders the candidates: the lowest wins, and within a rank the lowest cost.
type rank uint8

const (
	cold     rank = iota
	hot           // more loaded than the others, or suspected dead
	refusing      // its last known level refuses this request
	unusable
)

// maxSamples is how often a target is sampled for one of the two candidates, until one
// is accepted by its weight.
const maxSamples = 4

// levelValidity is how long a target's last reported level is used.
const levelValidity = time.Second

// candidate is the best candidate so far.
type candidate struct {
	idx  int32
	rank rank
	cost float64
}

var noCandidate = candidate{idx: -1, rank: unusable, cost: math.Inf(1)}

func better(a, b candidate) candidate {
	if b.rank < a.rank || (b.rank == a.rank && b.cost < a.cost) {
		return b
	}
	return a
}

// Pick returns the target for the next call of a request with priority p, excluding
// those in tried, which may be nil. ok is false if no target may be used; the call then
// ran nowhere and is refused with status.CodeNoTarget.
func (t *Table) Pick(now time.Duration, p request.Priority, tried *Tried) (idx int, ok bool) {
	return t.PickFor(now, &Call{Priority: p}, tried)
}

// PickFor is Pick for a call of a known class.
func (t *Table) PickFor(now time.Duration, call *Call, tried *Tried) (idx int, ok bool) {
	t.refresh(now)
	t.leftZone = false
	w := t.want(call)
	c := noCandidate
	near, far := t.all[:len(t.local)], t.all[len(t.local):]
	if len(near) > 0 {
		c = t.pickOfTwo(now, near, &w, tried)
	}
	switch {
	case len(far) == 0:
	case t.pools(now, c):
		c = t.pool(now, c, far, &w, tried)
	case t.considersRemote(c):
		c = t.betterAcrossZones(c, t.pickOfTwo(now, far, &w, tried))
	}
	if c.rank > hot {
		c = t.scan(now, c, &w, tried)
	}
	if c.rank == unusable && t.allEjected() {
		c = t.pickEjected(tried)
	}
	return int(c.idx), c.rank < unusable
}

// considersRemote reports whether to compare targets of other zones with the best local
// candidate.
func (t *Table) considersRemote(c candidate) bool {
	if t.cfg.ZoneGap > 0 && c.rank == hot {
		return t.entries[c.idx].load > t.cfg.MinHotLoad
	}
	return c.rank > cold || t.entries[c.idx].load > t.cfg.MinHotLoad
}

// betterAcrossZones returns the better of a local and a remote candidate, with the
// configured preference for the local zone.
func (t *Table) betterAcrossZones(near, far candidate) candidate {
	if t.cfg.ZoneGap > 0 && near.rank < refusing && far.rank < refusing {
		return t.lessLoaded(near, far)
	}
	return better(near, t.withZoneCost(near, far))
}

// lessLoaded returns the remote candidate only if its load is lower by ZoneGap. Cost
// can't be compared here: it counts the calls in flight from this node, nearly all of
// which are in its own zone, so a remote candidate would always look cheaper. Over a
// quarter of all calls then left a zone whose targets had free slots, and that traffic
// was the largest cost.
func (t *Table) lessLoaded(near, far candidate) candidate {
	if t.entries[far.idx].load+t.cfg.ZoneGap <= t.entries[near.idx].load {
		return far
	}
	return near
}

// withZoneCost scales the cost of a remote candidate by ZoneFactor while the local one
// is loaded at MinHotLoad, falling to 1 at full load. Otherwise each zone would settle at
// its own admission level, and one zone would refuse requests while others have free
// slots.
func (t *Table) withZoneCost(near, far candidate) candidate {
	if near.idx < 0 {
		return far
	}
	free := (1 - t.entries[near.idx].load) / (1 - t.cfg.MinHotLoad)
	far.cost *= 1 + (t.cfg.ZoneFactor-1)*min(max(free, 0), 1)
	return far
}

// pickOfTwo compares two random targets of a list. Choosing the best of all would send
// the calls of all callers to the same target.
func (t *Table) pickOfTwo(now time.Duration, list []int32, w *want, tried *Tried) candidate {
	c := noCandidate
	for range 2 {
		i := t.sampleTimely(now, list, w)
		c = better(c, t.evaluate(now, i, w, tried))
	}
	return c
}

// sample returns a random target with a probability roughly proportional to its weight.
func (t *Table) sample(list []int32) int32 {
	var i int32
	for range maxSamples {
		r := t.rng.Uint64()
		i = list[(r>>32)*uint64(len(list))>>32]
		if float64(uint32(r)) < t.entries[i].weight*(1<<32) {
			break
		}
	}
	return i
}

// scan evaluates all targets, for the rare case that the sampled ones are unsuitable.
// The subset size bounds it.
func (t *Table) scan(now time.Duration, c candidate, w *want, tried *Tried) candidate {
	for _, i := range t.all {
		c = better(c, t.evaluate(now, i, w, tried))
	}
	return c
}

func (t *Table) evaluate(now time.Duration, i int32, w *want, tried *Tried) candidate {
	e := &t.entries[i]
	if !e.usable(now) || tried.has(i) {
		return noCandidate
	}
	r := cold
	switch {
	case now-e.levelAt < levelValidity && e.refuses(w.priority):
		r = refusing
	case e.hot || e.Suspected:
		r = hot
	}
	c := candidate{idx: i, rank: r, cost: e.cost * float64(1+e.inFlight)}
	if l := t.lateness(now, e, w); l > 1 {
		c.cost *= l * l
	}
	return c
}

// refuses reports whether the target's last known level refuses a priority. An exempted one
// is admitted below the level; taken for refused, it would go to a target of which no level
// is known.
func (e *entry) refuses(p request.Priority) bool {
	if e.level <= p {
		return false
	}
	for _, from := range e.exempt {
		if from.Importance() == p.Importance() {
			return from > p
		}
	}
	return true
}

func (e *entry) usable(now time.Duration) bool {
	if e.Leaving || e.inFlight >= e.cap {
		return false
	}
	return e.avoid == avoidNone || (now >= e.avoidUntil && !e.probing)
}
