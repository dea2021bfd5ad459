package suspect

import (
	"cmp"
	"slices"
	"time"
)

// crash is the state of one crash.
type crash struct {
	at       time.Duration
	inFlight int
	// counted contains each fingerprint that this crash was counted for, so that a
	// repeated report doesn't blame one that was cleared since. The value is true while
	// the crash counts against the fingerprint.
	counted map[Fingerprint]bool
	// explained: a refused fingerprint was in flight, so the others aren't to blame.
	explained bool
}

// maxCounted bounds the fingerprints of all remembered crashes, as a multiple of
// Config.MaxEntries.
const maxCounted = 2

// Merge applies a report of this or another node, in any order and any number of times.
// It returns whether the report contained anything new; a node forwards only those.
func (t *Tracker) Merge(now time.Duration, r Report) bool {
	if len(r.Fingerprints) == 0 {
		return false
	}
	t.sweep(now)
	c := t.crashState(now, r)
	var fresh []Fingerprint
	for _, fp := range r.Fingerprints[:min(len(r.Fingerprints), t.cfg.MaxReport)] {
		if _, ok := c.counted[fp]; !ok {
			c.counted[fp] = true
			fresh = append(fresh, fp)
		}
	}
	if len(fresh) > 0 {
		for _, fp := range r.Cleared {
			t.clearEntry(fp)
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
	t.refuse(now, fresh)
	return len(fresh) > 0
}

func (t *Tracker) crashState(now time.Duration, r Report) *crash {
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
		e.lastUpdate = now
	}
	t.evict()
}

// weight is what one crash adds to the weight of each fingerprint in flight.
func (c *crash) weight() float64 { return 1 / float64(max(c.inFlight, 1)) }

// refuse marks the fingerprints that reached the limit as refused. It evaluates all of
// them before it marks any, and marks all before it explains any crash, so that the
// order in a report doesn't decide between two that were in flight at the same crashes.
func (t *Tracker) refuse(now time.Duration, fps []Fingerprint) {
	var culprits []*entry
	for _, fp := range fps {
		e := t.entries[fp]
		if e == nil || e.refused {
			continue
		}
		reached := e.numCrashes >= t.cfg.MaxCrashes || (e.numCrashes > 1 && e.weight >= t.cfg.AloneWeight)
		if reached && !t.indistinguishable(fp, e) {
			culprits = append(culprits, e)
		}
	}
	for _, e := range culprits {
		e.refused = true
	}
	for _, e := range culprits {
		for _, id := range e.crashes[:e.numCrashes] {
			t.explain(id)
		}
	}
}

// indistinguishable reports whether another suspect was in flight at every crash of the
// fingerprint. Both then run in isolation until one gets a complete answer or crashes a
// target by itself. Otherwise, when copies of a crashing request reach many targets at
// the same moment, a popular request in flight at each would be refused everywhere:
// simultaneous crashes leave no time to isolate.
func (t *Tracker) indistinguishable(fp Fingerprint, e *entry) bool {
	first := t.crashes[e.crashes[0]]
	if first == nil {
		return false
	}
	for other := range first.counted {
		o := t.entries[other]
		if other != fp && o != nil && !o.refused && t.inFlightAtAll(other, e.crashes[:e.numCrashes]) {
			return true
		}
	}
	return false
}

// inFlightAtAll reports whether a fingerprint was in flight at all the crashes.
func (t *Tracker) inFlightAtAll(fp Fingerprint, ids []CrashID) bool {
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

// clearEntry drops a fingerprint that a target answered completely.
func (t *Tracker) clearEntry(fp Fingerprint) {
	delete(t.entries, fp)
	for _, c := range t.crashes {
		if c.counted[fp] {
			c.counted[fp] = false
		}
	}
}

// explain removes a crash from all fingerprints that were in flight beside the culprit.
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
		if e.drop(id, c.weight()); e.numCrashes == 0 {
			delete(t.entries, fp)
		}
	}
}

// Reports returns the remembered crashes as reports, for a node that joins.
func (t *Tracker) Reports() []Report {
	rs := make([]Report, 0, len(t.crashes))
	for id, c := range t.crashes {
		r := Report{Crash: id, InFlight: c.inFlight}
		for fp := range c.counted {
			if e := t.entries[fp]; e != nil && slices.Contains(e.crashes[:e.numCrashes], id) {
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

// sortBySuspicion sorts fingerprints by their number of crashes, highest first.
func (t *Tracker) sortBySuspicion(fps []Fingerprint) {
	slices.SortFunc(fps, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(t.crashesOf(b), t.crashesOf(a)), cmp.Compare(a, b))
	})
}

func (t *Tracker) crashesOf(fp Fingerprint) int {
	if e := t.entries[fp]; e != nil {
		return e.numCrashes
	}
	return 0
}

// sweep drops expired entries.
func (t *Tracker) sweep(now time.Duration) {
	for fp, e := range t.entries {
		if t.expired(now, e) {
			delete(t.entries, fp)
		}
	}
	for fp, at := range t.cleared {
		if now-at >= t.cfg.SuspectTTL {
			delete(t.cleared, fp)
		}
	}
	for id, c := range t.crashes {
		if now-c.at >= t.cfg.RefusedTTL {
			delete(t.crashes, id)
		}
	}
}

// evict bounds the memory: first it drops the fingerprints with the fewest and oldest
// crashes, then the oldest crashes.
func (t *Tracker) evict() {
	if over := len(t.entries) - t.cfg.MaxEntries; over > 0 {
		fps := make([]Fingerprint, 0, len(t.entries))
		for fp := range t.entries {
			fps = append(fps, fp)
		}
		slices.SortFunc(fps, func(a, b Fingerprint) int {
			x, y := t.entries[a], t.entries[b]
			return cmp.Or(cmp.Compare(x.numCrashes, y.numCrashes), cmp.Compare(x.lastUpdate, y.lastUpdate), cmp.Compare(a, b))
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
