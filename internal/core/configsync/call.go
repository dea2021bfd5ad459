package configsync

import (
	"slices"
	"time"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// pendingCall is an action whose outcome has not been reported yet.
type pendingCall struct {
	kind     callKind
	tenant   request.Tenant
	head     configset.Head   // for callObject: the set to load
	peer     request.TargetID // for callKnownHeads
	sentAt   time.Duration    // for callKnownHeads
	deadline time.Duration
}

type callKind uint8

const (
	callAsk        callKind = iota // fetches a set from a peer
	callObject                     // fetches a set from the object store
	callHeadRow                    // reads a head row
	callTenantList                 // reads the list of tenants
	callKnownHeads                 // asks a peer for the versions that it knows
)

// beginCall registers a call and returns its ID.
func (s *State) beginCall(c pendingCall) uint64 {
	s.lastCallID++
	s.calls[s.lastCallID] = c
	return s.lastCallID
}

// endCall removes a call; ok is false if the call is no longer pending.
func (s *State) endCall(id uint64) (c pendingCall, ok bool) {
	c, ok = s.calls[id]
	delete(s.calls, id)
	return c, ok
}

// expireCalls fails the calls whose deadline passed without a report: the
// control goroutine may have dropped them, or the process was paused.
func (s *State) expireCalls(now time.Duration) {
	var late []uint64
	for id, c := range s.calls {
		if now >= c.deadline {
			late = append(late, id)
		}
	}
	slices.Sort(late) // map order differs from run to run
	for _, id := range late {
		s.failCall(now, id)
	}
}

// HandleFailure reports that a call failed.
func (s *State) HandleFailure(now time.Duration, id uint64) []Action {
	s.failCall(now, id)
	return s.takeActions()
}

func (s *State) failCall(now time.Duration, id uint64) {
	c, ok := s.endCall(id)
	if !ok {
		return
	}
	switch c.kind {
	case callAsk, callObject:
		s.handleFetchFailure(now, s.tenants[c.tenant])
	case callHeadRow:
		if x := s.tenants[c.tenant]; x != nil {
			x.poll.inFlight = false
		}
	case callTenantList:
		s.tenantList.inFlight = false
	}
}

// HandleReply reports the outcome of AskPeer.
func (s *State) HandleReply(now time.Duration, id uint64, r Reply) []Action {
	c, ok := s.calls[id]
	switch {
	case !ok:
	case c.kind == callKnownHeads:
		s.endCall(id)
		s.handleKnownHeads(now, c, r)
	case c.kind == callAsk:
		s.endCall(id)
		s.handleFetchReply(now, s.tenants[c.tenant], r)
	}
	return s.takeActions()
}

// HandleLoaded reports the outcome of LoadObject.
func (s *State) HandleLoaded(now time.Duration, id uint64, body []byte) []Action {
	if c, ok := s.calls[id]; ok && c.kind == callObject {
		s.endCall(id)
		s.handleObject(now, s.tenants[c.tenant], c.head, body)
	}
	return s.takeActions()
}

// HandleHead reports the outcome of ReadHead; a zero head means that the row
// does not exist.
func (s *State) HandleHead(now time.Duration, id uint64, h configset.Head) []Action {
	if c, ok := s.calls[id]; ok && c.kind == callHeadRow {
		s.endCall(id)
		s.handleHeadRow(now, c.tenant, h)
	}
	return s.takeActions()
}

// HandleTenants reports the outcome of ReadTenants.
func (s *State) HandleTenants(now time.Duration, id uint64, tenants []request.Tenant) []Action {
	if c, ok := s.calls[id]; ok && c.kind == callTenantList {
		s.endCall(id)
		s.tenantList.inFlight, s.tenantList.wasRead = false, true
		for _, t := range tenants {
			// Even if this node is not a poller of the tenant: the other nodes
			// learn of a new tenant only through its head.
			if x, ok := s.tenant(t); ok && x.known.Version == 0 {
				s.readHeadRow(now, t)
			}
		}
		s.startup.listedTenants = slices.Clone(tenants)
		s.checkPlatformRead(now)
	}
	return s.takeActions()
}

// Pending returns the number of calls without a reported outcome.
func (s *State) Pending() int { return len(s.calls) }
