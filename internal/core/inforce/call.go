package inforce

import (
	"slices"
	"time"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
)

// call is an action whose outcome is awaited.
type call struct {
	kind     callKind
	tenant   request.Tenant
	head     confset.Head     // of callObject: what is loaded
	peer     request.TargetID // of callHeads
	deadline time.Duration
}

type callKind uint8

const (
	callAsk    callKind = iota // a set from a peer
	callObject                 // a set from the object store
	callHead                   // a head row
	callLedger                 // the list of tenants
	callHeads                  // the versions that a peer knows
)

// begin notes a call and returns its ID.
func (s *State) begin(c call) uint64 {
	s.last++
	s.calls[s.last] = c
	return s.last
}

// end forgets a call; ok is false if it is not awaited any more.
func (s *State) end(id uint64) (c call, ok bool) {
	c, ok = s.calls[id]
	delete(s.calls, id)
	return c, ok
}

// expire fails the calls that were never reported: the control goroutine may
// have dropped them, or the process was frozen.
func (s *State) expire(now time.Duration) {
	var late []uint64
	for id, c := range s.calls {
		if now >= c.deadline {
			late = append(late, id)
		}
	}
	slices.Sort(late) // not in the map's order, which differs from run to run
	for _, id := range late {
		s.fail(now, id)
	}
}

// HandleFailure tells that a call got no result.
func (s *State) HandleFailure(now time.Duration, id uint64) []Action {
	s.fail(now, id)
	return s.take()
}

func (s *State) fail(now time.Duration, id uint64) {
	c, ok := s.end(id)
	if !ok {
		return
	}
	switch c.kind {
	case callAsk, callObject:
		s.fetchFailed(now, s.tenants[c.tenant])
	case callHead:
		if x := s.tenants[c.tenant]; x != nil {
			x.poll.busy = false
		}
	case callLedger:
		s.ledger.busy = false
	}
}

// HandleReply gives the outcome of AskPeer.
func (s *State) HandleReply(now time.Duration, id uint64, r Reply) []Action {
	c, ok := s.calls[id]
	switch {
	case !ok:
	case c.kind == callHeads:
		s.end(id)
		s.headsTold(now, c.peer, r)
	case c.kind == callAsk:
		s.end(id)
		s.fetched(now, s.tenants[c.tenant], r)
	}
	return s.take()
}

// HandleLoaded gives the outcome of LoadObject.
func (s *State) HandleLoaded(now time.Duration, id uint64, body []byte) []Action {
	if c, ok := s.calls[id]; ok && c.kind == callObject {
		s.end(id)
		s.loaded(now, s.tenants[c.tenant], c.head, body)
	}
	return s.take()
}

// HandleHead gives the outcome of ReadHead; a zero head means that there is no
// row.
func (s *State) HandleHead(now time.Duration, id uint64, h confset.Head) []Action {
	if c, ok := s.calls[id]; ok && c.kind == callHead {
		s.end(id)
		s.headRead(now, c.tenant, h)
	}
	return s.take()
}

// HandleTenants gives the outcome of ReadTenants.
func (s *State) HandleTenants(now time.Duration, id uint64, tenants []request.Tenant) []Action {
	if c, ok := s.calls[id]; ok && c.kind == callLedger {
		s.end(id)
		s.ledger.busy, s.ledger.read = false, true
		for _, t := range tenants {
			// Whose pollers are others: they hear of a new tenant by its head.
			if x, ok := s.tenant(t); ok && x.known.Version == 0 {
				s.readHead(now, t)
			}
		}
		s.start.listed = slices.Clone(tenants)
		s.checkPlatformTold(now)
	}
	return s.take()
}

// Pending returns how many calls are awaited.
func (s *State) Pending() int { return len(s.calls) }
