package member

import (
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// Bounds on input from other members.
const (
	maxStringLen = 255 // bytes of each string in a record
	maxRequested = 256
)

// receive applies the updates in a message. l is the link that it arrived on,
// or nil.
func (s *State) receive(now time.Duration, m *Message, l *link) {
	var from uint32
	if l != nil {
		from = l.bit()
		s.sender = l.peer
		l.markHeard(now)
		s.markGroupReachable(l)
	}
	defer func() { s.sender = 0 }()
	for _, r := range m.Records {
		s.applyRecord(now, r, from)
	}
	packed, _ := unpack(m.Packed) // records that cannot be decoded are recovered by anti-entropy
	for _, r := range packed {
		s.applyRecord(now, r, from)
	}
	s.applySender(now, m, from)
	for _, c := range m.Changes {
		s.stats.ItemsReceived++
		s.applyChange(now, c, from)
	}
	for _, d := range m.Deaths {
		s.stats.ItemsReceived++
		s.applyDeath(now, d, from)
	}
	for _, b := range m.Recoveries {
		s.stats.ItemsReceived++
		s.applyRecovery(now, b, from)
	}
	for _, f := range m.Facts {
		s.stats.ItemsReceived++
		s.applyFact(f, s.allLinks()&^from)
	}
	s.recordVotes(now, m)
	if s.join.isPartial() && !m.Partial && m.StateDigest == s.tab.root && len(s.tab.members) > 1 {
		s.join.admitted, s.join.fetching = true, false // nothing is left to fetch
	}
	if l == nil {
		return
	}
	for _, id := range m.WantedRecords {
		if len(l.requested) < maxRequested && !slices.Contains(l.requested, id) {
			l.requested = append(l.requested, id)
		}
	}
	s.compareDigests(m, l)
}

// applySender applies the sender's own status.
func (s *State) applySender(now time.Duration, m *Message, from uint32) {
	e := s.tab.get(m.From)
	if e == nil || e.inc < m.Incarnation {
		s.applyChange(now, Change{ID: m.From, Incarnation: m.Incarnation, Status: m.Status, BodyDigest: m.BodyDigest}, from)
	}
}

// applyChange merges one change and relays it if it is new.
func (s *State) applyChange(now time.Duration, c Change, from uint32) {
	if c.ID == 0 || c.Status > Dead || c.BodyDigest > bodyMask {
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
	case c.supersedes(e.inc, e.status):
	case c.Incarnation == e.inc && c.Status == e.status:
		s.queue.markKnown(key, from)
		return
	default:
		// The peer is behind: send it the current state, or a late announcement
		// would persist there.
		s.queue.addPending(key, classOf(e.change(), true), from)
		return
	}
	known := e != nil && e.rec != nil && c.BodyDigest == e.bodyDigest()
	s.stats.ItemsNew++
	s.storeEntry(now, c, nil)
	s.relay(c.ID, from, known)
}

// applyDeath merges a death in short form. One that matches no member is left
// to anti-entropy.
func (s *State) applyDeath(now time.Duration, d Death, from uint32) {
	e := s.tab.getByShortID(d.ID)
	if e == nil {
		return
	}
	c := e.change()
	if uint16(c.Incarnation) == d.Incarnation {
		c.Status = Unreachable
		s.applyChange(now, c, from)
	} else if e.status.isLive() {
		s.queue.addPending(memberKey(e.id), classOf(c, true), from)
	}
}

// applyRecovery merges a return in short form. One that does not match is left to
// anti-entropy.
func (s *State) applyRecovery(now time.Duration, b Recovery, from uint32) {
	e := s.tab.getByShortID(b.ID)
	if e == nil || e.rec == nil || e.recordStale || uint16(e.bodyDigest()&shortBodyMask) != b.BodyDigest {
		return
	}
	s.applyChange(now, Change{ID: e.id, Incarnation: b.Incarnation, Status: Alive, BodyDigest: e.bodyDigest()}, from)
}

// relay makes a member's change pending for all links but the one it arrived
// on. A new member is relayed only once its record is here, so that each
// receiver can get the record from its sender.
func (s *State) relay(id request.TargetID, from uint32, known bool) {
	e := s.tab.get(id)
	if s.suppressRelay || e.status == Alive && e.needsRecord() {
		return
	}
	s.queue.put(memberKey(id), classOf(e.change(), known), s.allLinks()&^from, ackedCount(from))
}

func ackedCount(from uint32) uint8 {
	if from == 0 {
		return 0
	}
	return 1
}

// storeEntry sets a member's entry and updates all state derived from it.
func (s *State) storeEntry(now time.Duration, c Change, rec *Record) {
	e := s.tab.get(c.ID)
	before := s.presentRegion(e)
	s.markServiceChanged(e)
	e = s.tab.set(c, rec)
	s.markServiceChanged(e)
	if e.status.isLive() {
		delete(s.notLiveSince, c.ID)
	} else {
		s.notLiveSince[c.ID] = now
	}
	s.missing.update(now, e, s.sender)
	s.updateOverlay(e, before)
}

// applyRecord stores the contents of a member's record.
func (s *State) applyRecord(now time.Duration, r *Record, from uint32) {
	if !validRecord(r) || r.ID == s.self.ID {
		return
	}
	e := s.tab.get(r.ID)
	body := r.Digest()
	if e == nil || r.Incarnation > e.inc {
		s.applyChange(now, Change{ID: r.ID, Incarnation: r.Incarnation, BodyDigest: body}, from)
		e = s.tab.get(r.ID)
	}
	if e == nil || e.status == Dead || body != e.bodyDigest() {
		return
	}
	if !e.needsRecord() {
		if e.status == Alive && r.Incarnation == e.inc {
			s.queue.markKnown(memberKey(r.ID), from)
		}
		return
	}
	s.storeEntry(now, e.change(), r)
	s.relay(r.ID, from, false)
}

func validRecord(r *Record) bool {
	if r == nil || r.ID == 0 || r.ID != request.TargetIDOf(r.Name) {
		return false
	}
	for _, n := range [...]int{
		len(r.Name), len(r.Service), len(r.Tenant), len(r.Zone), len(r.Region),
		len(r.DataAddr), len(r.ControlAddr),
	} {
		if n > maxStringLen {
			return false
		}
	}
	return r.ControlAddr != ""
}

func (s *State) applyFact(f Fact, to uint32) bool {
	if f.Kind == 0 || len(f.Value) > MaxFactValue {
		return false
	}
	id := factID(f.Kind, f.Key)
	if old := s.tab.fact(id); old != nil && old.Version >= f.Version {
		from := s.allLinks() &^ to
		if old.Version == f.Version {
			s.queue.markKnown(factKey(id), from)
		} else if from != 0 {
			s.queue.addPending(factKey(id), classOfFact(f.Kind), from)
		}
		return false
	}
	s.tab.putFact(f)
	if !s.suppressRelay {
		s.queue.put(factKey(id), classOfFact(f.Kind), to, 0)
	}
	s.tab.trimFacts(f.Kind, s.cfg.MaxFacts)
	s.stats.ItemsNew++
	s.view.factsVersion++
	return true
}
