package configsync

import (
	"time"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// HandlePlatformSet handles an accepted set that this node has read from the platform. A
// newer set is installed at once, even if the node is not informed yet: no peer
// can know more than the platform.
func (s *State) HandlePlatformSet(now time.Duration, p *configset.EncodedSet) []Action {
	x, ok := s.tenant(p.Head().Tenant)
	if !ok {
		return s.takeActions()
	}
	s.install(now, x, p, ByWatch)
	if !s.startup.informed && x.held != nil {
		s.markInformed(now)
	}
	return s.takeActions()
}

// HandlePlatformEmpty handles the platform's answer that no set has been accepted.
func (s *State) HandlePlatformEmpty(now time.Duration) []Action {
	if !s.startup.informed {
		s.markInformed(now)
	}
	return s.takeActions()
}

// DeltaBase returns the version that a tenant's next delta must start from; 0
// requests the whole set.
func (s *State) DeltaBase(t request.Tenant) int64 {
	x := s.tenants[t]
	if x == nil || x.deltaRejected {
		return 0
	}
	return x.heldVersion()
}

// ReplySince returns the changes for a peer that holds the given version of a
// tenant's set. It returns nil if this node has nothing newer, or if the whole
// set would exceed the limit on whole sets.
func (s *State) ReplySince(now time.Duration, t request.Tenant, base int64) *Reply {
	x := s.tenants[t]
	if x == nil || x.heldVersion() <= base {
		return nil
	}
	r := s.buildReply(now, x, base)
	if len(r.Delta)+len(r.Whole) == 0 {
		return nil
	}
	return &r
}

// HandlePush handles a set that the parent pushed in the watch, without a request for
// that version. A node that is not informed yet ignores it: the parent may be
// behind.
func (s *State) HandlePush(now time.Duration, t request.Tenant, r Reply) []Action {
	x, ok := s.tenant(t)
	if !ok || !s.startup.informed {
		return s.takeActions()
	}
	p, err := s.verifyReply(x, r)
	switch {
	case err != nil:
		s.rejectDelta(x)
	case p != nil:
		s.install(now, x, p, ByParent)
	}
	return s.takeActions()
}
