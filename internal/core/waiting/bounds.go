package waiting

import "time"

// makeRoom refuses waiting requests that yield to an arriving one, as far as the bounds
// call for it; false if there is no room.
func (q *Queue) makeRoom(now time.Duration, r *Request, g *group, out []Action) ([]Action, bool) {
	for !q.fits(r) {
		w := q.least(now)
		if w == nil || !q.yields(now, w, r, g) || !q.canMakeRoom(w, r, g) {
			return out, false
		}
		t, from, latest := w.ticket, w.group, q.latestStart(now, w)
		q.remove(w)
		q.arm(now, from)
		out = append(out, Action{t, q.refusal(now, from, latest)})
	}
	return out, true
}

// fits reports whether the request can wait besides the others.
func (q *Queue) fits(r *Request) bool {
	return len(q.tickets) < q.cfg.MaxWaiting && q.excess(r) <= 0
}

// excess returns by how many bytes the request exceeds the bound.
func (q *Queue) excess(r *Request) int64 {
	if q.cfg.MaxBytes <= 0 {
		return 0
	}
	return q.bytes + int64(r.Bytes) - q.cfg.MaxBytes
}

// canMakeRoom reports whether refusing w, or all requests of lower importance, suffices.
// Otherwise requests would be refused in vain.
func (q *Queue) canMakeRoom(w *entry, r *Request, g *group) bool {
	excess := q.excess(r)
	if int64(w.bytes) >= excess {
		return true
	}
	var lower int64
	for _, n := range q.bytesAt[:g.importance] {
		lower += n
	}
	return lower >= excess
}

// least returns the waiting request of least importance and, among
// those, a late return or else the one of most slack.
func (q *Queue) least(now time.Duration) *entry {
	var least *entry
	for _, g := range q.wakes.items {
		e := g.last.top()
		if least == nil || q.yieldsTo(now, e, least) {
			least = e
		}
	}
	return least
}

// yieldsTo reports whether the waiting request a is refused before b.
func (q *Queue) yieldsTo(now time.Duration, a, b *entry) bool {
	if a.group.importance != b.group.importance {
		return a.group.importance < b.group.importance
	}
	if a.group.late != b.group.late {
		return a.group.late
	}
	return q.latestStart(now, a) > q.latestStart(now, b)
}

// yields reports whether the waiting request w yields its place to r.
func (q *Queue) yields(now time.Duration, w *entry, r *Request, g *group) bool {
	if w.group.importance != g.importance {
		return w.group.importance < g.importance
	}
	if w.group.late != g.late {
		return w.group.late
	}
	return q.latestStart(now, w) > q.latest(now, r, g.state)
}
