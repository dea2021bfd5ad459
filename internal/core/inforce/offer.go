package inforce

import (
	"time"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
)

// Offer takes an accepted set that this node has read at the platform itself. It
// is put in force at once if it is newer, also by a node that has not been told
// the newest versions yet: no other could know better than the platform.
func (s *State) Offer(now time.Duration, p *confset.Packed) []Action {
	x, ok := s.tenant(p.Head().Tenant)
	if !ok {
		return s.take()
	}
	s.install(now, x, p, ByWatch)
	if !s.start.informed && x.held != nil {
		s.becomeInformed(now)
	}
	return s.take()
}

// OfferNone takes in that the platform, asked by this node itself, has no accepted
// set.
func (s *State) OfferNone(now time.Duration) []Action {
	if !s.start.informed {
		s.becomeInformed(now)
	}
	return s.take()
}

// Base returns the version from which a tenant's next delta has to start; 0 asks
// for the whole set.
func (s *State) Base(t request.Tenant) int64 {
	x := s.tenants[t]
	if x == nil || x.wrong {
		return 0
	}
	return x.version()
}

// Since returns what a peer lacks that holds a version of a tenant's set, nil if
// nothing newer is held here or the peer has to be sent elsewhere.
func (s *State) Since(now time.Duration, t request.Tenant, base int64) *Reply {
	x := s.tenants[t]
	if x == nil || x.version() <= base {
		return nil
	}
	r := s.reply(now, x, base)
	if len(r.Delta)+len(r.Whole) == 0 {
		return nil
	}
	return &r
}

// Give takes a set that a peer has given unasked for by a version. A node that has
// not been told the newest versions yet takes none: the peer may be behind.
func (s *State) Give(now time.Duration, t request.Tenant, r Reply) []Action {
	x, ok := s.tenant(t)
	if !ok || !s.start.informed {
		return s.take()
	}
	p, err := s.read(x, r)
	switch {
	case err != nil:
		s.refuse(x)
	case p != nil:
		s.install(now, x, p, ByParent)
	}
	return s.take()
}
