package inforce

import (
	"time"

	"peardrift/internal/core/confset"
)

// A fetch tries these in turn before it waits: parents in different trees, then
// members at random, as the whole region may be behind, then the object store.
// Most members hold a version seconds after it is accepted; who lost a message
// or two must not go to the platform, which serves two thousand reads a second
// for all.
const (
	parentTries = 2
	randomTries = 4
	sources     = parentTries + randomTries + 1
)

// fetch begins to fetch a tenant's set if one is due.
func (s *State) fetch(now time.Duration, x *tenant) {
	if !s.start.informed || x.fetching || now < x.next || x.version() >= x.known.Version {
		return
	}
	to, peer := s.source(x)
	if peer && s.short(now, x) {
		// The roots read all the same, or nothing would ride along. So do the
		// pollers: they are the first to know of a version, and in a busy minute
		// its roots have often heard of a newer one before they hear of it.
		if peer = !x.poll.mine; peer {
			x.next = now + s.cfg.Spacing
			return
		}
	}
	x.fetching = true
	x.next = now + s.cfg.Spacing
	if peer {
		id := s.begin(call{kind: callAsk, tenant: x.known.Tenant, deadline: now + s.cfg.AskTimeout})
		have := x.version()
		if x.wrong {
			have = 0 // for the whole set
		}
		s.do(AskPeer{ID: id, To: to, Ask: Ask{Want: x.known, Have: have}})
		return
	}
	id := s.begin(call{kind: callObject, tenant: x.known.Tenant, head: x.known, deadline: now + s.cfg.LoadTimeout})
	s.do(LoadObject{ID: id, Head: x.known})
}

// source returns the peer to ask; ok is false for the object store.
func (s *State) source(x *tenant) (p Peer, ok bool) {
	switch attempt := x.attempt % sources; {
	case attempt < parentTries:
		return treeOf(x.known, attempt).parent(s.cfg.Roots, s.cfg.Fanout, s.self.ID, s.near)
	case attempt < parentTries+randomTries && s.others > 0:
		return s.someone(), true
	default:
		return Peer{}, false
	}
}

// fetchFailed goes on to the next source at once, and waits when all have
// failed in turn.
func (s *State) fetchFailed(now time.Duration, x *tenant) {
	x.fetching = false
	x.attempt++
	s.stats.Failed++
	x.next = now
	if x.attempt%sources == 0 {
		rounds := min(x.attempt/sources-1, 16)
		x.next = now + s.jitter(min(s.cfg.RetryMin<<rounds, s.cfg.RetryMax))
	}
	s.fetch(now, x)
}

// jitter draws between half of d and d.
func (s *State) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}

// fetched takes a peer's answer.
func (s *State) fetched(now time.Duration, x *tenant, r Reply) {
	p, err := s.read(x, r)
	if err != nil || p == nil {
		if err != nil {
			s.refuse(x)
		}
		s.fetchFailed(now, x)
		return
	}
	if len(r.Delta) > 0 {
		s.stats.ByDelta++
	} else {
		s.stats.ByWhole++
	}
	s.fetchDone(now, x, p, ByPeer)
}

// read verifies an answer; nil without an error if it does not help. A delta
// that leads to another digest than its head's is refused, see confset.
//
// A peer that was frozen or cut off answers with what it has, which helps a node
// that is further behind. It must not help one that starts anew: what the
// process before it had in force may have been newer.
func (s *State) read(x *tenant, r Reply) (*confset.Packed, error) {
	if r.Head.Tenant != x.known.Tenant || r.Head.Version <= x.version() || r.Head.Version < x.floor {
		return nil, nil
	}
	if r.Head.Version == x.known.Version && r.Head.Digest != x.known.Digest {
		return nil, errOtherDigest
	}
	switch {
	case len(r.Delta) > 0 && x.held != nil:
		d, err := confset.DecodeDelta(r.Delta)
		if err != nil {
			return nil, err
		}
		return x.held.With(d, r.Head)
	case len(r.Whole) > 0:
		body, err := expand(r.Whole)
		if err != nil {
			return nil, err
		}
		return confset.Unpack(body, r.Head)
	default:
		return nil, nil
	}
}

// refuse notes a delta that did not lead to what it should. Others are likely to
// tell the same: who skipped versions in which a service changed twice can't know
// what it was in between. So the whole set is asked for next.
func (s *State) refuse(x *tenant) {
	s.stats.Refused++
	x.wrong = true
}

// loaded takes an object's bytes.
func (s *State) loaded(now time.Duration, x *tenant, h confset.Head, body []byte) {
	p, err := confset.Unpack(body, h)
	if err != nil {
		s.stats.Refused++
		s.fetchFailed(now, x)
		return
	}
	s.stats.ByObject++
	s.fetchDone(now, x, p, ByObject)
}

func (s *State) fetchDone(now time.Duration, x *tenant, p *confset.Packed, by Source) {
	x.fetching = false
	x.attempt = 0
	s.install(now, x, p, by)
	s.fetch(now, x)
}
