package configsync

import (
	"time"

	"peardrift/internal/core/configset"
)

// A fetch tries the sources in this order before it backs off: parents in
// different trees, then random members, as the whole region may be behind, then
// the object store. Most members hold a version seconds after it is accepted,
// so a node that lost a message or two must not read the platform, which serves
// two thousand reads a second in total.
const (
	parentAttempts     = 2
	randomPeerAttempts = 4
	sourceCount        = parentAttempts + randomPeerAttempts + 1
)

// fetchIfDue starts to fetch a tenant's set if a fetch is due.
func (s *State) fetchIfDue(now time.Duration, x *tenant) {
	if !s.startup.informed || x.fetching || now < x.nextFetch || x.heldVersion() >= x.known.Version {
		return
	}
	to, peer := s.nextSource(x)
	if peer && s.waitsForHeartbeat(now, x) {
		// Roots fetch in spite of the budget, or there would be nothing to
		// piggyback. So do pollers: they learn of a version first, and in a
		// busy period its roots have often learnt of a newer one before they
		// learn of it.
		if peer = !x.poll.isPoller; peer {
			x.nextFetch = now + s.cfg.MinFetchInterval
			return
		}
	}
	x.fetching = true
	x.nextFetch = now + s.cfg.MinFetchInterval
	if peer {
		id := s.beginCall(pendingCall{kind: callAsk, tenant: x.known.Tenant, deadline: now + s.cfg.AskTimeout})
		have := x.heldVersion()
		if x.deltaRejected {
			have = 0 // requests the whole set
		}
		s.emit(AskPeer{ID: id, To: to, Ask: Ask{Want: x.known, Have: have}})
		return
	}
	id := s.beginCall(pendingCall{kind: callObject, tenant: x.known.Tenant, head: x.known, deadline: now + s.cfg.LoadTimeout})
	s.emit(LoadObject{ID: id, Head: x.known})
}

// nextSource returns the peer to ask; ok is false for the object store.
func (s *State) nextSource(x *tenant) (p Peer, ok bool) {
	switch attempt := x.failures % sourceCount; {
	case attempt < parentAttempts:
		return treeOrdering(x.known, attempt).parent(s.cfg.Roots, s.cfg.Fanout, s.self.ID, s.regionPeers)
	case attempt < parentAttempts+randomPeerAttempts && s.otherCount > 0:
		return s.randomPeer(), true
	default:
		return Peer{}, false
	}
}

// handleFetchFailure tries the next source at once, and backs off after all
// sources failed in turn.
func (s *State) handleFetchFailure(now time.Duration, x *tenant) {
	x.fetching = false
	x.failures++
	s.stats.Failed++
	x.nextFetch = now
	if x.failures%sourceCount == 0 {
		rounds := min(x.failures/sourceCount-1, 16)
		x.nextFetch = now + s.jitter(min(s.cfg.RetryMin<<rounds, s.cfg.RetryMax))
	}
	s.fetchIfDue(now, x)
}

// jitter returns a random duration between d/2 and d.
func (s *State) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}

// handleFetchReply handles a peer's reply to a fetch.
func (s *State) handleFetchReply(now time.Duration, x *tenant, r Reply) {
	p, err := s.verifyReply(x, r)
	if err != nil || p == nil {
		if err != nil {
			s.rejectDelta(x)
		}
		s.handleFetchFailure(now, x)
		return
	}
	if len(r.Delta) > 0 {
		s.stats.ByDelta++
	} else {
		s.stats.ByWhole++
	}
	s.completeFetch(now, x, p, ByPeer)
}

// verifyReply decodes and verifies a reply. It returns nil without an error if
// the reply has nothing newer. A delta whose result does not match the digest
// of its head is rejected, see configset.
//
// A peer that was paused or partitioned replies with what it has, which helps a
// node that is further behind. A starting node must not accept such a set: the
// previous process may have had a newer version in force.
func (s *State) verifyReply(x *tenant, r Reply) (*configset.EncodedSet, error) {
	if r.Head.Tenant != x.known.Tenant || r.Head.Version <= x.heldVersion() || r.Head.Version < x.minVersion {
		return nil, nil
	}
	if r.Head.Version == x.known.Version && r.Head.Digest != x.known.Digest {
		return nil, errDigestConflict
	}
	switch {
	case len(r.Delta) > 0 && x.held != nil:
		d, err := configset.DecodeDelta(r.Delta)
		if err != nil {
			return nil, err
		}
		return x.held.Apply(d, r.Head)
	case len(r.Whole) > 0:
		body, err := decompress(r.Whole)
		if err != nil {
			return nil, err
		}
		return configset.Unpack(body, r.Head)
	default:
		return nil, nil
	}
}

// rejectDelta records a delta that did not produce the announced set. Other
// peers are likely to send the same: a node that skipped versions in which a
// service changed twice can't know the state in between. So the next fetch
// requests the whole set.
func (s *State) rejectDelta(x *tenant) {
	s.stats.Refused++
	x.deltaRejected = true
}

// handleObject handles a set's bytes from the object store.
func (s *State) handleObject(now time.Duration, x *tenant, h configset.Head, body []byte) {
	p, err := configset.Unpack(body, h)
	if err != nil {
		s.stats.Refused++
		s.handleFetchFailure(now, x)
		return
	}
	s.stats.ByObject++
	s.completeFetch(now, x, p, ByObject)
}

func (s *State) completeFetch(now time.Duration, x *tenant, p *configset.EncodedSet, by Source) {
	x.fetching = false
	x.failures = 0
	s.install(now, x, p, by)
	s.fetchIfDue(now, x)
}
