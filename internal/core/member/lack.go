package member

import (
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// lackList holds the members whose record isn't known, or is an old one, in the
// order in which they are to be asked for.
type lackList struct {
	list []lack
}

type lack struct {
	id    request.TargetID
	from  request.TargetID // who brought the news, so who is asked first
	asked time.Duration    // last time, or when the news came
	tries int
}

// update puts an entry on the list or takes it off.
func (ll *lackList) update(now time.Duration, e *entry, from request.TargetID) {
	i := slices.IndexFunc(ll.list, func(l lack) bool { return l.id == e.id })
	switch {
	case e.lacks() && i < 0:
		ll.list = append(ll.list, lack{id: e.id, from: from, asked: now})
	case e.lacks():
		ll.list[i] = lack{id: e.id, from: from, asked: now}
	case i >= 0:
		ll.list = slices.Delete(ll.list, i, i+1)
	}
}

// wanted reports whether a peer should be asked for the record now: first the
// one that brought the news, later any, each time after a while.
func (l *lack) wanted(now time.Duration, peer request.TargetID, again time.Duration) bool {
	if l.tries == 0 && (l.from == peer || l.from == 0) {
		return true
	}
	return now-l.asked >= again
}

// fillWants asks for records that are lacking, each of one peer at a time, since
// asking all would fetch it as often.
func (s *State) fillWants(now time.Duration, m *Message, l *link, room int) int {
	for i := range s.lacks.list {
		k := &s.lacks.list[i]
		if !k.wanted(now, l.peer, 2*s.cfg.Period) {
			continue
		}
		if wantSize+recordReserve > room {
			break
		}
		k.tries++
		k.asked = now + s.jitter(s.cfg.Period) // so that it isn't always the same peer's turn
		m.Wants = append(m.Wants, k.id)
		room -= wantSize + recordReserve
	}
	return room
}

// wants reports whether there is a record to ask a peer for.
func (s *State) wants(now time.Duration, l *link) bool {
	return slices.ContainsFunc(s.lacks.list, func(k lack) bool { return k.wanted(now, l.peer, 2*s.cfg.Period) })
}

// recordReserve is kept free for each record that is asked for.
const recordReserve = 100
