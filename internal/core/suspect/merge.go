package suspect

import (
	"cmp"
	"slices"
	"time"
)

// crash is what is remembered of one crash.
type crash struct {
	at       time.Duration
	inFlight int
	// counted holds each fingerprint that this crash was counted for once, so
	// that a report that comes again doesn't blame one that was cleared since:
	// true while it is held against it.
	counted map[Fingerprint]bool
	// explained: a refused fingerprint was in flight, so the others are not to
	// blame.
	explained bool
}

// maxCounted bounds the fingerprints that all remembered crashes hold, as a
// multiple of Config.MaxEntries.
const maxCounted = 2

// Merge takes in a report of this or another node, in any order and any number
// of times. It returns whether something in it was new, which is when a node
// passes it on.
func (t *Tracker) Merge(now time.Duration, r Report) bool {
	if len(r.Fingerprints) == 0 {
		return false
	}
	t.sweep(now)
	c := t.crash(now, r)
	var fresh []Fingerprint
	for _, fp := range r.Fingerprints[:min(len(r.Fingerprints), t.cfg.MaxReport)] {
		if _, ok := c.counted[fp]; !ok {
			c.counted[fp] = true
			fresh = append(fresh, fp)
		}
	}
	if len(fresh) > 0 {
		for _, fp := range r.Cleared {
			t.acquit(fp)
		}
	}
	for _, fp := range fresh {
		if e := t.entries[fp]; e != nil && e.refused {
			c.explained = true
		}
	}
	if c.explained {
		return len(fresh) > 0
	}
	t.count(now, r.Crash, c, fresh)
	t.convict(now, fresh)
	return len(fresh) > 0
}

func (t *Tracker) crash(now time.Duration, r Report) *crash {
	c := t.crashes[r.Crash]
	if c == nil {
		c = &crash{counted: map[Fingerprint]bool{}}
		t.crashes[r.Crash] = c
	}
	c.at = now
	c.inFlight = max(c.inFlight, r.InFlight, len(r.Fingerprints))
	return c
}

// count adds a crash to the fingerprints that were in flight.
func (t *Tracker) count(now time.Duration, id CrashID, c *crash, fps []Fingerprint) {
	for _, fp := range fps {
		e := t.entries[fp]
		if e == nil {
			e = &entry{}
			t.entries[fp] = e
		}
		e.add(id, c.weight())
		e.last = now
	}
	t.evict()
}

// weight is the suspicion that one crash adds to each that was in flight.
func (c *crash) weight() float64 { return 1 / float64(max(c.inFlight, 1)) }

// convict refuses the fingerprints that reached the limit. All are judged before
// any is marked, and marked before any crash is explained, so that the order in a report doesn't decide
// between two that were in flight at the same crashes.
func (t *Tracker) convict(now time.Duration, fps []Fingerprint) {
	var guilty []*entry
	for _, fp := range fps {
		e := t.entries[fp]
		if e == nil || e.refused {
			continue
		}
		enough := e.n >= t.cfg.MaxCrashes || (e.n > 1 && e.weight >= t.cfg.AloneWeight)
		if enough && !t.covered(fp, e) {
			guilty = append(guilty, e)
		}
	}
	for _, e := range guilty {
		e.refused = true
	}
	for _, e := range guilty {
		for _, id := range e.crashes[:e.n] {
			t.explain(id)
		}
	}
}

// covered reports whether another suspect was in flight at each crash that the
// fingerprint was in flight at. Then nothing tells them apart, and both run alone
// until one of them is answered whole, or takes a target by itself.
//
// Symptom otherwise: a page that all read is refused everywhere. Events: copies of
// a request that crashes targets come to many targets at the same moment; the page
// is in flight at each. Cause: crashes at the same moment leave no time to isolate.
func (t *Tracker) covered(fp Fingerprint, e *entry) bool {
	first := t.crashes[e.crashes[0]]
	if first == nil {
		return false
	}
	for other := range first.counted {
		o := t.entries[other]
		if other != fp && o != nil && !o.refused && t.sawAll(other, e.crashes[:e.n]) {
			return true
		}
	}
	return false
}

// sawAll reports whether a fingerprint was in flight at all the crashes.
func (t *Tracker) sawAll(fp Fingerprint, ids []CrashID) bool {
	for _, id := range ids {
		c := t.crashes[id]
		if c == nil {
			return false
		}
		if !c.counted[fp] {
			return false
		}
	}
	return true
}

// acquit forgets a fingerprint that a target answered whole.
func (t *Tracker) acquit(fp Fingerprint) {
	delete(t.entries, fp)
	for _, c := range t.crashes {
		if c.counted[fp] {
			c.counted[fp] = false
		}
	}
}

// explain takes a crash off all that were beside the culprit.
func (t *Tracker) explain(id CrashID) {
	c := t.crashes[id]
	if c == nil || c.explained {
		return
	}
	c.explained = true
	for fp := range c.counted {
		e := t.entries[fp]
		if e == nil || e.refused {
			continue
		}
		if e.drop(id, c.weight()); e.n == 0 {
			delete(t.entries, fp)
		}
	}
}

// Known returns all that is remembered as reports, for a node that joins.
func (t *Tracker) Known() []Report {
	rs := make([]Report, 0, len(t.crashes))
	for id, c := range t.crashes {
		r := Report{Crash: id, InFlight: c.inFlight}
		for fp := range c.counted {
			if e := t.entries[fp]; e != nil && slices.Contains(e.crashes[:e.n], id) {
				r.Fingerprints = append(r.Fingerprints, fp)
			}
		}
		if len(r.Fingerprints) > 0 {
			slices.Sort(r.Fingerprints)
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Crash.Target, b.Crash.Target), cmp.Compare(a.Crash.Incarnation, b.Crash.Incarnation))
	})
	return rs
}

// order sorts fingerprints by how much they are suspected, most first.
func (t *Tracker) order(fps []Fingerprint) {
	slices.SortFunc(fps, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(t.crashesOf(b), t.crashesOf(a)), cmp.Compare(a, b))
	})
}

func (t *Tracker) crashesOf(fp Fingerprint) int {
	if e := t.entries[fp]; e != nil {
		return e.n
	}
	return 0
}

// sweep drops what has expired.
func (t *Tracker) sweep(now time.Duration) {
	for fp, e := range t.entries {
		if t.expired(now, e) {
			delete(t.entries, fp)
		}
	}
	for fp, at := range t.cleared {
		if now-at >= t.cfg.Forget {
			delete(t.cleared, fp)
		}
	}
	for id, c := range t.crashes {
		if now-c.at >= t.cfg.Remember {
			delete(t.crashes, id)
		}
	}
}

// evict keeps the memory bounded: first go the fingerprints with the fewest and
// oldest crashes, then the oldest crashes.
func (t *Tracker) evict() {
	if over := len(t.entries) - t.cfg.MaxEntries; over > 0 {
		fps := make([]Fingerprint, 0, len(t.entries))
		for fp := range t.entries {
			fps = append(fps, fp)
		}
		slices.SortFunc(fps, func(a, b Fingerprint) int {
			x, y := t.entries[a], t.entries[b]
			return cmp.Or(cmp.Compare(x.n, y.n), cmp.Compare(x.last, y.last), cmp.Compare(a, b))
		})
		for _, fp := range fps[:over] {
			delete(t.entries, fp)
		}
	}
	t.evictCrashes()
}

func (t *Tracker) evictCrashes() {
	ids, total := make([]CrashID, 0, len(t.crashes)), 0
	for id, c := range t.crashes {
		ids = append(ids, id)
		total += len(c.counted)
	}
	if total <= maxCounted*t.cfg.MaxEntries {
		return
	}
	slices.SortFunc(ids, func(a, b CrashID) int {
		return cmp.Or(cmp.Compare(t.crashes[a].at, t.crashes[b].at), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, id := range ids {
		if total <= maxCounted*t.cfg.MaxEntries {
			return
		}
		total -= len(t.crashes[id].counted)
		delete(t.crashes, id)
	}
}
