package configsync

import (
	"cmp"
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// startup tracks how a node that starts without any state learns the newest
// versions.
//
// Without it, a replaced node serves a version that the fleet left a minute
// ago: it asked a single peer, which had been paused or partitioned. So several
// informed peers must answer, and the highest reported version wins.
type startup struct {
	startedAt      time.Duration             // when the process started
	firstAsked     time.Duration             // when peers were first asked, 0 if never
	lastAsked      time.Duration             // when peers were last asked
	answered       map[request.TargetID]bool // informed peers that answered
	platformReadAt time.Duration             // when to read the platform; 0: not scheduled yet
	firstReadAt    time.Duration             // when the platform was first read, 0 if never
	platformAsOf   time.Duration             // this node knows all that the platform had then; 0: unknown
	listedTenants  []request.Tenant          // tenants listed by the platform
	informed       bool                      // enough peers or the platform reported the newest versions
	ready          bool                      // those versions are in force
}

const (
	// askInterval is the time between two rounds of asking peers.
	askInterval = time.Second

	// startAskInterval is the same during StartWait. Peers that are starting too are
	// informed soon, since the first ones read the platform.
	startAskInterval = 400 * time.Millisecond

	// incompleteViewFactor times StartWait is how long a node with an
	// incomplete member list waits to learn of more peers than the few it
	// joined through.
	incompleteViewFactor = 5
)

func (s *State) tickStartup(now time.Duration) {
	if s.startup.informed {
		return
	}
	s.askForKnownHeads(now)
	s.readPlatformIfDue(now)
	s.checkPeerAnswers(now)
}

// askForKnownHeads asks several random peers for the versions that they know.
func (s *State) askForKnownHeads(now time.Duration) {
	interval := askInterval
	if now < s.startup.firstAsked+s.cfg.StartWait {
		interval = startAskInterval
	}
	if s.otherCount == 0 || s.startup.firstAsked != 0 && now < s.startup.lastAsked+interval {
		return
	}
	s.startup.lastAsked = now
	s.startup.firstAsked = cmp.Or(s.startup.firstAsked, max(now, 1))
	for _, p := range s.randomPeers(s.cfg.StartPeers) {
		id := s.beginCall(pendingCall{kind: callKnownHeads, peer: p.ID, sentAt: now, deadline: now + s.cfg.StartWait})
		s.emit(AskPeer{ID: id, To: p, Ask: Ask{Heads: true}})
	}
}

// randomPeers returns n distinct other nodes, fewer if there are not as many.
func (s *State) randomPeers(n int) []Peer {
	out := make([]Peer, 0, n)
	for len(out) < min(n, s.otherCount) {
		if p := s.randomPeer(); !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// handleKnownHeads handles a peer's answer. Versions from a peer that is not
// informed itself are recorded, but the answer does not count: when a whole
// fleet starts at once, nodes would otherwise convince each other that there is
// no configuration.
//
// One answer suffices if it includes all that the platform had after this process
// started: the process before it can't have had a newer version in force.
func (s *State) handleKnownHeads(now time.Duration, c pendingCall, r Reply) {
	for _, h := range r.Heads {
		s.learn(now, h)
	}
	if s.startup.informed || !r.Informed {
		return
	}
	s.startup.answered[c.peer] = true
	if asOf := c.sentAt - r.PlatformAge; r.PlatformAge > 0 && asOf > s.startup.startedAt {
		s.startup.platformAsOf = asOf
		s.markInformed(now)
		return
	}
	s.checkPeerAnswers(now)
}

// platformAge returns how long ago the platform had nothing that this node doesn't
// know; 0 if unknown.
func (s *State) platformAge(now time.Duration) time.Duration {
	if !s.startup.informed || s.startup.platformAsOf == 0 {
		return 0
	}
	return max(now-s.startup.platformAsOf, 1)
}

// checkPeerAnswers marks the node informed once enough peers have answered, or
// all of them, or at least one by the timeout.
func (s *State) checkPeerAnswers(now time.Duration) {
	answered := len(s.startup.answered)
	if answered == 0 {
		return
	}
	wait := s.cfg.StartWait
	if !s.peersComplete {
		wait *= incompleteViewFactor
	}
	all := s.peersComplete && answered >= s.otherCount
	if answered >= s.cfg.StartPeers || all || now >= s.startup.firstAsked+wait {
		s.markInformed(now)
	}
}

// readPlatformIfDue reads the platform if no peer could help: at once if there
// is no peer, else after a random delay that spreads the nodes in the same
// situation over time, at PlatformStartRate per second. The first of them inform the
// others meanwhile.
func (s *State) readPlatformIfDue(now time.Duration) {
	if s.startup.platformReadAt == 0 {
		if !s.peersComplete {
			return
		}
		s.startup.platformReadAt = max(now, 1)
		if n := s.otherCount; n > 0 {
			window := time.Second * time.Duration(n) / time.Duration(s.cfg.PlatformStartRate)
			s.startup.platformReadAt += s.cfg.StartWait + time.Duration(s.rng.Int64N(int64(window)+1))
		}
	}
	if now < s.startup.platformReadAt {
		return
	}
	s.startup.platformReadAt = now + s.cfg.StartWait + s.jitter(s.cfg.RetryMin)
	s.readTenantList(now)
	for _, t := range s.tenantNames {
		s.readHeadRow(now, t)
	}
}

// checkPlatformRead marks the node informed once the list of tenants and all
// their heads have been read.
func (s *State) checkPlatformRead(now time.Duration) {
	if s.startup.informed || !s.tenantList.wasRead {
		return
	}
	all := true
	for _, t := range s.startup.listedTenants {
		if x := s.tenants[t]; x != nil && !x.poll.wasRead {
			all = false
			s.readHeadRow(now, t)
		}
	}
	if all {
		s.startup.platformAsOf = s.startup.firstReadAt
		s.markInformed(now)
	}
}

func (s *State) markInformed(now time.Duration) {
	s.startup.informed = true
	for _, name := range s.tenantNames {
		x := s.tenants[name]
		x.minVersion = x.known.Version
		s.fetchIfDue(now, x)
	}
	s.checkReady()
}

// checkReady marks the node ready once all versions that it knew when it became
// informed are in force. Versions learnt since don't count: in a busy period
// there is always a newer one.
func (s *State) checkReady() {
	if s.startup.ready || !s.startup.informed {
		return
	}
	for _, x := range s.tenants {
		if x.heldVersion() < x.minVersion {
			return
		}
	}
	s.startup.ready = true
}
