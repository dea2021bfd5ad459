package inforce

import (
	"time"

	"peardrift/internal/core/confset"
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
