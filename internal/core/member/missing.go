package member

import (
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// missingList holds the members whose record is unknown or outdated, in the
// order in which they are requested.
type missingList struct {
	list []missingRecord
}

type missingRecord struct {
	id    request.TargetID
	from  request.TargetID // the sender of the change, which is asked first; 0 for any
	asked time.Duration    // time of the last request, or when the change arrived
	tries int
}

// update adds an entry to the list or removes it.
func (ll *missingList) update(now time.Duration, e *entry, from request.TargetID) {
	i := slices.IndexFunc(ll.list, func(l missingRecord) bool { return l.id == e.id })
	switch {
	case e.needsRecord() && i < 0:
		ll.list = append(ll.list, missingRecord{id: e.id, from: from, asked: now})
	case e.needsRecord():
		ll.list[i] = missingRecord{id: e.id, from: from, asked: now}
	case i >= 0:
		ll.list = slices.Delete(ll.list, i, i+1)
	}
}

// wanted reports whether to request the record from a peer now: first from the
// sender of the change, later from any peer, each time after a delay.
func (l *missingRecord) wanted(now time.Duration, peer request.TargetID, retryAfter time.Duration) bool {
	if l.tries == 0 && (l.from == peer || l.from == 0) {
		return true
	}
	return now-l.asked >= retryAfter
}

// fillWants requests missing records, each from one peer at a time, because
// every peer asked would send it.
func (s *State) fillWants(now time.Duration, m *Message, l *link, room int) int {
	for i := range s.missing.list {
		want := &s.missing.list[i]
		if !want.wanted(now, l.peer, 2*s.cfg.Period) {
			continue
		}
		if wantSize+recordReserve > room {
			break
		}
		want.tries++
		want.asked = now + s.jitter(s.cfg.Period) // the jitter varies which peer is next
		m.WantedRecords = append(m.WantedRecords, want.id)
		room -= wantSize + recordReserve
	}
	return room
}

// canRequestRecord reports whether there is a record to request from a peer.
func (s *State) canRequestRecord(now time.Duration, l *link) bool {
	return slices.ContainsFunc(s.missing.list, func(want missingRecord) bool { return want.wanted(now, l.peer, 2*s.cfg.Period) })
}

// recordReserve is the space in bytes reserved for each requested record.
const recordReserve = 100
