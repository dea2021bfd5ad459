package inforce

import (
	"cmp"
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// start is how far a node that began with nothing has come.
//
// Symptom of its absence: a node is replaced and serves by a version that the
// fleet left behind a minute ago. It had asked one peer, which had been frozen
// or cut off and did not know better. So several must have told, each of them
// informed itself, and the highest of what they say counts.
type start struct {
	first    time.Duration             // when peers were first asked, 0: never
	asked    time.Duration             // when they were last asked
	told     map[request.TargetID]bool // informed peers that answered
	coldAt   time.Duration             // when to go to the platform; 0: not drawn yet
	listed   []request.Tenant          // by the platform
	informed bool                      // the newest versions are known
	ready    bool                      // and in force
}

const (
	// askEvery is the time between two rounds of asking peers.
	askEvery = time.Second

	// loneFactor times StartWait is how long a node waits to learn of more
	// peers than the few by which it joined.
	loneFactor = 5
)

func (s *State) tickStart(now time.Duration) {
	if s.start.informed {
		return
	}
	s.askForHeads(now)
	s.goCold(now)
	s.checkPeersTold(now)
}

// askForHeads asks several peers, others each time.
func (s *State) askForHeads(now time.Duration) {
	if s.others == 0 || s.start.first != 0 && now < s.start.asked+askEvery {
		return
	}
	s.start.asked = now
	s.start.first = cmp.Or(s.start.first, max(now, 1))
	for _, p := range s.several(s.cfg.StartPeers) {
		id := s.begin(call{kind: callHeads, peer: p.ID, deadline: now + s.cfg.StartWait})
		s.do(AskPeer{ID: id, To: p, Ask: Ask{Heads: true}})
	}
}

// several draws n different nodes, fewer if there are not as many.
func (s *State) several(n int) []Peer {
	out := make([]Peer, 0, n)
	for len(out) < min(n, s.others) {
		if p := s.someone(); !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// headsTold takes a peer's answer. Of one that is not informed itself the
// versions are taken, but it does not count: when a whole fleet starts at once,
// nodes would otherwise assure each other that there is no configuration.
func (s *State) headsTold(now time.Duration, from request.TargetID, r Reply) {
	for _, h := range r.Heads {
		s.learn(now, h)
	}
	if r.Informed && !s.start.informed {
		s.start.told[from] = true
		s.checkPeersTold(now)
	}
}

// checkPeersTold: enough peers have told, or all there are, or those that could
// be reached in the time.
func (s *State) checkPeersTold(now time.Duration) {
	told := len(s.start.told)
	if told == 0 {
		return
	}
	wait := s.cfg.StartWait
	if !s.complete {
		wait *= loneFactor
	}
	all := s.complete && told >= s.others
	if told >= s.cfg.StartPeers || all || now >= s.start.first+wait {
		s.becomeInformed(now)
	}
}

// goCold reads the platform because no peer could tell: at once if there is no
// peer, else after a wait that spreads all nodes that may be in the same case
// over ColdReads a second. The first of them inform the others meanwhile.
func (s *State) goCold(now time.Duration) {
	if s.start.coldAt == 0 {
		if !s.complete {
			return
		}
		s.start.coldAt = max(now, 1)
		if n := s.others; n > 0 {
			window := time.Second * time.Duration(n) / time.Duration(s.cfg.ColdReads)
			s.start.coldAt += s.cfg.StartWait + time.Duration(s.rng.Int64N(int64(window)+1))
		}
	}
	if now < s.start.coldAt {
		return
	}
	s.start.coldAt = now + s.cfg.StartWait + s.jitter(s.cfg.RetryMin)
	s.readLedger(now)
	for _, t := range s.order {
		s.readHead(now, t)
	}
}

// checkPlatformTold: the list of tenants and each of their heads were read.
func (s *State) checkPlatformTold(now time.Duration) {
	if s.start.informed || !s.ledger.read {
		return
	}
	all := true
	for _, t := range s.start.listed {
		if x := s.tenants[t]; x != nil && !x.poll.read {
			all = false
			s.readHead(now, t)
		}
	}
	if all {
		s.becomeInformed(now)
	}
}

func (s *State) becomeInformed(now time.Duration) {
	s.start.informed = true
	for _, name := range s.order {
		x := s.tenants[name]
		x.floor = x.known.Version
		s.fetch(now, x)
	}
	s.checkReady()
}

// checkReady notes when all that was known at first is in force. What has become
// known since does not count: in a busy minute something always has.
func (s *State) checkReady() {
	if s.start.ready || !s.start.informed {
		return
	}
	for _, x := range s.tenants {
		if x.version() < x.floor {
			return
		}
	}
	s.start.ready = true
}
