package member

import (
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// Bounds on what is taken from outside.
const (
	maxString = 255 // bytes of a record's strings
	maxOwed   = 256
)

// receive applies the news in a message. l is the link that it came on, or nil.
func (s *State) receive(now time.Duration, m *Message, l *link) {
	var from uint32
	if l != nil {
		from = l.bit()
		s.teller = l.peer
		l.hear(now)
		s.reached(l)
	}
	defer func() { s.teller = 0 }()
	for _, r := range m.Records {
		s.applyRecord(now, r, from)
	}
	packed, _ := unpack(m.Packed) // what can't be read is found missing by comparing
	for _, r := range packed {
		s.applyRecord(now, r, from)
	}
	s.meet(now, m, from)
	for _, c := range m.Changes {
		s.stats.ItemsReceived++
		s.applyChange(now, c, from)
	}
	for _, d := range m.Deaths {
		s.stats.ItemsReceived++
		s.applyDeath(now, d, from)
	}
	for _, b := range m.Backs {
		s.stats.ItemsReceived++
		s.applyBack(now, b, from)
	}
	for _, f := range m.Facts {
		s.stats.ItemsReceived++
		s.applyFact(f, s.allLinks()&^from)
	}
	s.takeDoubts(now, m)
	if s.join.partial() && !m.Partial && m.Root == s.tab.root && len(s.tab.members) > 1 {
		s.join.in, s.join.fetching = true, false // there is nothing left to fetch
	}
	if l == nil {
		return
	}
	for _, id := range m.Wants {
		if len(l.owed) < maxOwed && !slices.Contains(l.owed, id) {
			l.owed = append(l.owed, id)
		}
	}
	s.compare(m, l)
}

// meet learns of the sender itself.
func (s *State) meet(now time.Duration, m *Message, from uint32) {
	e := s.tab.get(m.From)
	if e == nil || e.inc < m.Incarnation {
		s.applyChange(now, Change{ID: m.From, Incarnation: m.Incarnation, Status: m.Status, Body: m.Body}, from)
	}
}

// applyChange merges one change and passes it on if it is news.
func (s *State) applyChange(now time.Duration, c Change, from uint32) {
	if c.ID == 0 || c.Status > Dead || c.Body > bodyMask {
		return
	}
	if c.ID == s.self.ID {
		s.refute(c)
		return
	}
	key := memberKey(c.ID)
	e := s.tab.get(c.ID)
	switch {
	case e == nil:
		if len(s.tab.members) >= s.cfg.MaxMembers {
			return
		}
	case c.newer(e.inc, e.status):
	case c.Incarnation == e.inc && c.Status == e.status:
		s.queue.told(key, from)
		return
	default:
		// The peer is behind: tell it, or a late announcement would live on there.
		s.queue.add(key, classOf(e.change(), true), from)
		return
	}
	known := e != nil && e.rec != nil && c.Body == e.bodySum()
	s.stats.ItemsNew++
	s.store(now, c, nil)
	s.passOn(c.ID, from, known)
}

// applyDeath merges a death in short form. One that fits no member is left to
// the comparison of digests.
func (s *State) applyDeath(now time.Duration, d Death, from uint32) {
	e := s.tab.byShort(d.ID)
	if e == nil {
		return
	}
	c := e.change()
	if uint16(c.Incarnation) == d.Incarnation {
		c.Status = Unreachable
		s.applyChange(now, c, from)
	} else if e.status.live() {
		s.queue.add(memberKey(e.id), classOf(c, true), from)
	}
}

// applyBack merges a return in short form. One that doesn't fit is left to the
// comparison of digests.
func (s *State) applyBack(now time.Duration, b Back, from uint32) {
	e := s.tab.byShort(b.ID)
	if e == nil || e.rec == nil || e.stale || uint16(e.bodySum()&bodyLow) != b.Body {
		return
	}
	s.applyChange(now, Change{ID: e.id, Incarnation: b.Incarnation, Status: Alive, Body: e.bodySum()}, from)
}

// passOn makes news about a member wait for all links but the one it came from.
// A new member waits until its record is here, so that whoever hears of it can
// get the record from whoever told it.
func (s *State) passOn(id request.TargetID, from uint32, known bool) {
	e := s.tab.get(id)
	if s.quiet || e.status == Alive && e.lacks() {
		return
	}
	s.queue.put(memberKey(id), classOf(e.change(), known), s.allLinks()&^from, toldBy(from))
}

func toldBy(from uint32) uint8 {
	if from == 0 {
		return 0
	}
	return 1
}

// store sets a member's entry and keeps all that depends on it in step.
func (s *State) store(now time.Duration, c Change, rec *Record) {
	e := s.tab.get(c.ID)
	was := s.overlayRegion(e)
	s.touch(e)
	e = s.tab.set(c, rec)
	s.touch(e)
	if e.status.live() {
		delete(s.lost, c.ID)
	} else {
		s.lost[c.ID] = now
	}
	s.lacks.update(now, e, s.teller)
	s.overlayChanged(e, was)
}

// applyRecord takes the contents of a member's record.
func (s *State) applyRecord(now time.Duration, r *Record, from uint32) {
	if !validRecord(r) || r.ID == s.self.ID {
		return
	}
	e := s.tab.get(r.ID)
	body := r.Body()
	if e == nil || r.Incarnation > e.inc {
		s.applyChange(now, Change{ID: r.ID, Incarnation: r.Incarnation, Body: body}, from)
		e = s.tab.get(r.ID)
	}
	if e == nil || e.status == Dead || body != e.bodySum() {
		return
	}
	if !e.lacks() {
		if e.status == Alive && r.Incarnation == e.inc {
			s.queue.told(memberKey(r.ID), from)
		}
		return
	}
	s.store(now, e.change(), r)
	s.passOn(r.ID, from, false)
}

func validRecord(r *Record) bool {
	if r == nil || r.ID == 0 || r.ID != request.TargetIDOf(r.Name) {
		return false
	}
	for _, n := range [...]int{
		len(r.Name), len(r.Service), len(r.Tenant), len(r.Zone), len(r.Region),
		len(r.Data), len(r.Control),
	} {
		if n > maxString {
			return false
		}
	}
	return r.Control != ""
}

func (s *State) applyFact(f Fact, to uint32) bool {
	if f.Kind == 0 || len(f.Value) > MaxFactValue {
		return false
	}
	id := factID(f.Kind, f.Key)
	if old := s.tab.fact(id); old != nil && old.Version >= f.Version {
		from := s.allLinks() &^ to
		if old.Version == f.Version {
			s.queue.told(factKey(id), from)
		} else if from != 0 {
			s.queue.add(factKey(id), classOfFact(f.Kind), from)
		}
		return false
	}
	s.tab.putFact(f)
	if !s.quiet {
		s.queue.put(factKey(id), classOfFact(f.Kind), to, 0)
	}
	s.tab.trimFacts(f.Kind, s.cfg.MaxFacts)
	s.stats.ItemsNew++
	s.view.facts++
	return true
}
