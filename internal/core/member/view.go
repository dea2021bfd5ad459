package member

import (
	"slices"

	"peardrift/internal/core/request"
)

// Member is one member as other nodes see it.
type Member struct {
	*Record
	// Incarnation is the current one; Record.Incarnation is that of
	// publication, or of the restart since. The latter does not increase when a
	// member refutes its death.
	Incarnation uint32
	Status      Status
}

// View is an immutable view of the members by service.
type View struct {
	// Version increases with each view that differs from the previous one.
	Version  uint64
	services map[request.Service][]Member
}

// Members returns the members of a service ordered by ID. The slice must not be
// modified.
func (v *View) Members(service request.Service) []Member { return v.services[service] }

// Services returns the number of services with members.
func (v *View) Services() int { return len(v.services) }

// All calls f for each member, service by service in no particular order, until
// f returns false.
func (v *View) All(f func(Member) bool) {
	for _, list := range v.services {
		for _, m := range list {
			if !f(m) {
				return
			}
		}
	}
}

// viewCache records which services changed since the last view.
type viewCache struct {
	last         *View
	allChanged   bool
	changed      map[request.Service]bool
	factsVersion uint64
}

// maxChanged bounds the services tracked individually.
const maxChanged = 64

func (v *viewCache) markChanged(service request.Service) {
	if v.allChanged {
		return
	}
	if v.changed == nil {
		v.changed = make(map[request.Service]bool)
	}
	v.changed[service] = true
	if len(v.changed) > maxChanged {
		v.markAllChanged()
	}
}

func (v *viewCache) markAllChanged() { v.allChanged, v.changed = true, nil }

// markServiceChanged records that a member's service changed.
func (s *State) markServiceChanged(e *entry) {
	if e != nil && e.rec != nil {
		s.view.markChanged(e.rec.Service)
	}
}

// Changed reports whether Snapshot would return a new view.
func (s *State) Changed() bool {
	return s.view.last == nil || s.view.allChanged || len(s.view.changed) > 0
}

// FactsVersion increases whenever a fact is added or replaced.
func (s *State) FactsVersion() uint64 { return s.view.factsVersion }

// Snapshot returns the current view. It may be kept and read by any goroutine.
// Services that did not change share their members with the previous view.
func (s *State) Snapshot() *View {
	v := &s.view
	if !s.Changed() {
		return v.last
	}
	next := &View{Version: 1, services: make(map[request.Service][]Member)}
	if v.last != nil {
		next.Version = v.last.Version + 1
	}
	everything := v.allChanged || v.last == nil
	if !everything {
		for service, list := range v.last.services {
			if !v.changed[service] {
				next.services[service] = list
			}
		}
	}
	for i := range s.tab.members {
		e := &s.tab.members[i]
		if e.rec == nil || !everything && !v.changed[e.rec.Service] {
			continue
		}
		next.services[e.rec.Service] = append(next.services[e.rec.Service], s.member(e))
	}
	v.last, v.allChanged, v.changed = next, false, nil
	return next
}

// Lookup returns what is known about one member; a dead member has no Record.
func (s *State) Lookup(id request.TargetID) (Member, bool) {
	e := s.tab.get(id)
	if e == nil {
		return Member{}, false
	}
	if e.rec == nil {
		return Member{Incarnation: e.inc, Status: e.status}, true
	}
	return s.member(e), true
}

func (s *State) member(e *entry) Member {
	m := Member{Record: e.rec, Incarnation: e.inc, Status: e.status}
	if e.processInc > e.rec.Incarnation {
		r := *e.rec // a restart without changes sends no record
		r.Incarnation = e.processInc
		m.Record = &r
	}
	if l := s.links[e.id]; l != nil && l.suspect && m.Status == Alive {
		m.Status = Suspect
	}
	if m.Status.isLive() && s.isGroupUnreachable(e.rec.Region) {
		m.Status = Unreachable
	}
	return m
}

// unreachableMembers returns the sorted IDs of the members that are kept and
// probed.
func (s *State) unreachableMembers() []request.TargetID {
	var ids []request.TargetID
	for id := range s.notLiveSince {
		if e := s.tab.get(id); e != nil && e.status == Unreachable && e.rec != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
