package member

import (
	"slices"

	"peardrift/internal/core/request"
)

// Member is one member as others see it.
type Member struct {
	*Record
	// Incarnation is the present one; Record.Incarnation that of publication, or
	// of the restart since. It doesn't rise when a member refutes its death.
	Incarnation uint32
	Status      Status
}

// View is an immutable picture of the members by service.
type View struct {
	// Version rises with each view that differs from the last.
	Version  uint64
	services map[request.Service][]Member
}

// Members returns the members of a service in the order of their identities.
// The slice must not be modified.
func (v *View) Members(service request.Service) []Member { return v.services[service] }

// Services returns the number of services with members.
func (v *View) Services() int { return len(v.services) }

// All calls f for each member, service by service in no particular order, until
// it returns false.
func (v *View) All(f func(Member) bool) {
	for _, list := range v.services {
		for _, m := range list {
			if !f(m) {
				return
			}
		}
	}
}

// viewCache remembers which services changed since the last view.
type viewCache struct {
	last    *View
	all     bool
	touched map[request.Service]bool
	facts   uint64
}

// maxTouched bounds the services remembered one by one.
const maxTouched = 64

func (v *viewCache) touch(service request.Service) {
	if v.all {
		return
	}
	if v.touched == nil {
		v.touched = make(map[request.Service]bool)
	}
	v.touched[service] = true
	if len(v.touched) > maxTouched {
		v.touchAll()
	}
}

func (v *viewCache) touchAll() { v.all, v.touched = true, nil }

// touch notes that a member's service changed.
func (s *State) touch(e *entry) {
	if e != nil && e.rec != nil {
		s.view.touch(e.rec.Service)
	}
}

// Changed reports whether Snapshot would return a new view.
func (s *State) Changed() bool {
	return s.view.last == nil || s.view.all || len(s.view.touched) > 0
}

// FactsVersion rises whenever a fact was added or replaced.
func (s *State) FactsVersion() uint64 { return s.view.facts }

// Snapshot returns the present view. It may be kept and read by any goroutine.
// Services that didn't change share their members with the view before.
func (s *State) Snapshot() *View {
	v := &s.view
	if !s.Changed() {
		return v.last
	}
	next := &View{Version: 1, services: make(map[request.Service][]Member)}
	if v.last != nil {
		next.Version = v.last.Version + 1
	}
	everything := v.all || v.last == nil
	if !everything {
		for service, list := range v.last.services {
			if !v.touched[service] {
				next.services[service] = list
			}
		}
	}
	for i := range s.tab.members {
		e := &s.tab.members[i]
		if e.rec == nil || !everything && !v.touched[e.rec.Service] {
			continue
		}
		next.services[e.rec.Service] = append(next.services[e.rec.Service], s.member(e))
	}
	v.last, v.all, v.touched = next, false, nil
	return next
}

// Lookup returns what is known about one member; a member that is gone has no
// Record.
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
	if e.pub > e.rec.Incarnation {
		r := *e.rec // a restart without changes sends no record
		r.Incarnation = e.pub
		m.Record = &r
	}
	if l := s.links[e.id]; l != nil && l.suspect && m.Status == Alive {
		m.Status = Suspect
	}
	if m.Status.live() && s.unreachableGroup(e.rec.Region) {
		m.Status = Unreachable
	}
	return m
}

// unreachable returns the members that are kept and probed, in order.
func (s *State) unreachable() []request.TargetID {
	var ids []request.TargetID
	for id := range s.lost {
		if e := s.tab.get(id); e != nil && e.status == Unreachable && e.rec != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
