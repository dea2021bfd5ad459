package configwatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/request"
)

// regionNodes is the number of nodes of one of three regions at the target
// size.
const regionNodes = 14000 / 3

// The number of calls to the platform does not grow with the number of nodes,
// except for those at their start.
func TestSteadyStatePlatformCalls(t *testing.T) {
	for _, size := range []int{1, 18, 96, 1000, regionNodes} {
		t.Run(fmt.Sprintf("nodes=%d", size), func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(size, 1, t.Fatalf)
			sim.runChecked(5 * time.Second)
			is.True(sim.platformCalls <= 2*size+100) // each polls once at its start
			before := sim.platformCalls
			const seconds = 10
			for range seconds {
				sim.acceptVersion()
				sim.runChecked(time.Second)
			}
			cfg := ConfigFor(bound)
			perRoot := seconds*int(time.Second/cfg.PollWait+1) + seconds
			is.True(sim.platformCalls-before <= cfg.Roots*perRoot)
			for _, n := range sim.nodes {
				is.True(n.version >= sim.platform.version)
			}
		})
	}
}

// A version that the roots have reaches all nodes within a few messages.
func TestVersionPropagatesQuickly(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1000, 1, t.Fatalf)
	sim.runChecked(5 * time.Second)
	sim.acceptVersion()
	sim.run(150 * time.Millisecond)
	for _, n := range sim.nodes {
		is.Equal(n.version, int64(1))
	}
}

// Guards against nodes that trust a parent that no longer receives changes.
func TestRootsFail(t *testing.T) {
	faults := map[string]func(n *node){
		"killed": (*node).kill,
		"frozen": func(n *node) { n.frozen = true },
		"cut":    func(n *node) { n.platformCut = true },
		"apart":  func(n *node) { n.isolated = true },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for roots := 1; roots <= 3; roots++ {
				for wait := time.Duration(0); wait < bound; wait += 270 * time.Millisecond {
					sim := newSimulation(18, uint64(wait), t.Fatalf)
					sim.runChecked(5 * time.Second)
					sim.acceptVersion()
					sim.runChecked(time.Second)
					for _, n := range sim.roots()[:roots] {
						n.disturbedAt = sim.Now
						fault(n)
					}
					sim.runChecked(wait)
					sim.acceptVersion()
					sim.runChecked(2 * bound)
				}
			}
		})
	}
}

func (sim *simulation) roots() []*node {
	var out []*node
	for _, n := range sim.nodes {
		if n.state.IsRoot(sim.Now) {
			out = append(out, n)
		}
	}
	return out
}

func (n *node) kill() {
	n.up = false
	n.disturbedAt = n.sim.Now
	n.sim.announceMembers(n.sim.membershipDelay)
}

func (n *node) revive() {
	if !n.up {
		n.disturbedAt = n.sim.Now
		n.start()
		n.sim.announceMembers(500 * time.Millisecond)
	}
}

func (n *node) thaw() {
	if n.frozen {
		n.frozen, n.disturbedAt = false, n.sim.Now
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			n.schedule(0, f)
		}
	}
}

// injectFault injects a random fault, which ends after a random duration.
func (sim *simulation) injectFault(rt *rapid.T) {
	candidates := sim.nodes
	if rapid.Bool().Draw(rt, "roots") {
		if roots := sim.roots(); len(roots) > 0 {
			candidates = roots
		}
	}
	count := rapid.IntRange(1, len(candidates)).Draw(rt, "nodes")
	from := rapid.IntRange(0, len(candidates)-1).Draw(rt, "first")
	duration := time.Duration(rapid.IntRange(1, 60).Draw(rt, "for")) * 100 * time.Millisecond
	var begin, end func(n *node)
	switch rapid.IntRange(0, 6).Draw(rt, "kind") {
	case 0:
		begin, end = (*node).kill, (*node).revive
	case 1:
		begin, end = func(n *node) { n.frozen = true }, (*node).thaw
	case 2:
		begin, end = func(n *node) { n.platformCut = true }, func(n *node) { n.platformCut = false }
	case 3:
		begin, end = func(n *node) { n.isolated = true }, func(n *node) { n.isolated = false }
	case 4:
		sim.failPlatform(&sim.platform.silent, duration)
		return
	case 5:
		sim.failPlatform(&sim.platform.refusing, duration)
		return
	default:
		sim.loseConnections()
		return
	}
	for i := range count {
		n := candidates[(from+i)%len(candidates)]
		if n.up {
			n.disturbedAt = sim.Now
			begin(n)
			sim.After(duration, func() {
				n.disturbedAt = sim.Now
				end(n)
			})
		}
	}
}

func (sim *simulation) failPlatform(fault *bool, duration time.Duration) {
	*fault = true
	sim.platform.disturbedAt = sim.Now
	if fault == &sim.platform.silent {
		for _, c := range sim.platform.waiting {
			c.done = true // its reply is lost
		}
		sim.platform.waiting = nil
	}
	sim.After(duration, func() {
		*fault = false
		sim.platform.disturbedAt = sim.Now
	})
}

// loseConnections makes all open connections unresponsive for good.
func (sim *simulation) loseConnections() {
	for _, c := range sim.platform.waiting {
		c.done = true
	}
	sim.platform.waiting = nil
	for _, n := range sim.nodes {
		clear(n.answers)
		n.disturbedAt = sim.Now
	}
}

// Under any sequence of overlapping faults, each connected node has each
// version in force within the bound.
func TestVersionInForceWithinBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.SampledFrom([]int{1, 2, 5, 18, 40}).Draw(rt, "size"), rapid.Uint64().Draw(rt, "seed"), rt.Fatalf)
		sim.membershipDelay = time.Duration(rapid.IntRange(0, 5000).Draw(rt, "delay")) * time.Millisecond
		sim.runChecked(3 * time.Second)
		rt.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) { sim.acceptVersion() },
			"fault":  sim.injectFault,
			"run": func(rt *rapid.T) {
				sim.runChecked(time.Duration(rapid.IntRange(1, 40).Draw(rt, "run")) * 100 * time.Millisecond)
			},
		})
		sim.acceptVersion()
		sim.runChecked(20 * time.Second)
	})
}

// Guards against a flood of polls to a platform that recovers from an outage.
func TestOutagePollRateIsBounded(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1000, 1, t.Fatalf)
	sim.runChecked(5 * time.Second)
	before := sim.platformCalls
	const seconds = 20
	sim.failPlatform(&sim.platform.refusing, seconds*time.Second)
	sim.runChecked(seconds * time.Second)
	// The first delays are shorter, and each delay is at least half of the
	// longest one.
	is.True(sim.platformCalls-before <= 5*len(sim.nodes)+2*seconds*ConfigFor(bound).MaxRetryRate)
	sim.runChecked(5 * time.Second)
	before = sim.platformCalls
	sim.runChecked(10 * time.Second)
	is.True(sim.platformCalls-before <= 3*20) // only the roots poll again
}

// Guards against a frozen parent's watermark being taken for a recent one: it
// is relative to the arrival of the poll, not to the reply.
func TestDelayedPeerReplyKeepsWatermarkAge(t *testing.T) {
	is := is.New(t)
	parent := New(ConfigFor(bound), 1, rand.New(rand.NewPCG(1, 1)), 0)
	parent.advanceWatermark(10*time.Second, 0, 10*time.Second)
	child := New(ConfigFor(bound), 2, rand.New(rand.NewPCG(1, 1)), 0)
	child.SetPeers(0, []Peer{{ID: 1}, {ID: 2}}, false)
	pollID := peerPollID(child.Tick(13 * time.Second))
	parent.HandlePoll(13*time.Second, 1, PollRequest{})
	for _, a := range parent.Tick(13*time.Second + ConfigFor(bound).PeerWait) {
		if a, ok := a.(SendReply); ok {
			child.HandleReply(20*time.Second, pollID, a.Reply)
		}
	}
	at, ok := child.Watermark()
	is.True(ok)
	is.Equal(at, 10*time.Second)
}

// peerPollID returns the ID of the poll to a peer.
func peerPollID(actions []Action) uint64 {
	for _, a := range actions {
		if ask, ok := a.(PollPeer); ok {
			return ask.ID
		}
	}
	return 0
}

// Guards against invalid replies: watermarks in the future or for a version
// that the node does not have, or replies to another poll.
func TestInvalidRepliesDoNotAdvanceWatermark(t *testing.T) {
	is := is.New(t)
	for _, r := range []PollReply{
		{HasWatermark: true, WatermarkOffset: time.Hour},
		{HasWatermark: true, Version: 9},
		{Version: -1},
	} {
		s := New(ConfigFor(bound), 2, rand.New(rand.NewPCG(1, 1)), 0)
		pollID := peerPollID(s.SetPeers(time.Second, []Peer{{ID: 1}, {ID: 2}}, false))
		is.True(pollID != 0)
		s.HandleReply(time.Second, pollID+1, PollReply{HasWatermark: true})
		s.HandleReply(time.Second, pollID, r)
		_, ok := s.Watermark()
		is.True(!ok)
	}
}

// Guards against children whose polls are held forever, or in unbounded number.
func TestWaitersAreBoundedAndReplied(t *testing.T) {
	is := is.New(t)
	cfg := ConfigFor(bound)
	s := New(cfg, 1, rand.New(rand.NewPCG(1, 1)), 0)
	answered := 0
	for i := range 2 * cfg.MaxWaiters {
		answered += len(s.HandlePoll(0, uint64(i+1), PollRequest{}))
	}
	is.Equal(answered, cfg.MaxWaiters)
	s.SetPeers(0, nil, true)
	is.Equal(countAnswers(s.Tick(cfg.PeerWait)), cfg.MaxWaiters)
	is.Equal(len(s.waiters), 0)
}

func countAnswers(actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(SendReply); ok {
			n++
		}
	}
	return n
}

func TestTreeLevels(t *testing.T) {
	is := is.New(t)
	cfg := ConfigFor(bound)
	for _, n := range []int{1, 2, 3, 96, 1000} {
		var peers []Peer
		for i := range n {
			peers = append(peers, Peer{ID: request.TargetIDOf(fmt.Sprint(i))})
		}
		roots := 0
		children := make(map[request.TargetID]int)
		for _, p := range peers {
			tr := newTree(cfg, p.ID, peers)
			if tr.root {
				roots++
				continue
			}
			parent, ok := tr.parent(p.ID, 0)
			is.True(ok)
			is.True(parent.ID.SortKey(rankSalt) < p.ID.SortKey(rankSalt)) // no cycles
			children[parent.ID]++
		}
		is.Equal(roots, min(n, cfg.Roots))
		for _, c := range children {
			is.True(c <= 2*cfg.Fanout)
		}
	}
}

// Guards against children that keep a parent that is down, and each poll the
// platform instead.
func TestChildrenAbandonDeadParent(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(96, 1, t.Fatalf)
	sim.membershipDelay = time.Hour // no node learns of the failure
	sim.runChecked(5 * time.Second)
	sim.roots()[0].kill()
	sim.runChecked(2 * ConfigFor(bound).PeerTimeout)
	before := sim.platformCalls
	const seconds = 10
	sim.runChecked(seconds * time.Second)
	cfg := ConfigFor(bound)
	is.True(sim.platformCalls-before <= cfg.Roots*seconds*int(time.Second/cfg.PollWait+1))
}

// Guards against a root that is cut off from the platform and polls nothing
// else.
func TestRootCutOffFromPlatformPollsPeers(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(18, 1, t.Fatalf)
	sim.runChecked(5 * time.Second)
	root := sim.roots()[0]
	root.platformCut = true
	sim.runChecked(bound)
	sim.acceptVersion()
	sim.runChecked(bound)
	is.Equal(root.version, int64(1))
}

// pollIDs returns the IDs of the polls to the platform and to a peer.
func pollIDs(actions []Action) (platform, peer uint64) {
	for _, a := range actions {
		if ask, ok := a.(PollPlatform); ok {
			platform = ask.ID
		}
	}
	return platform, peerPollID(actions)
}

// newPollingState returns the state of one of two nodes, which has polled the
// platform and its peer.
func newPollingState(t *testing.T) (s *State, platform, peer uint64) {
	s = New(ConfigFor(bound), 2, rand.New(rand.NewPCG(1, 1)), 0)
	platform, peer = pollIDs(s.SetPeers(0, []Peer{{ID: 1}, {ID: 2}}, false))
	if platform == 0 || peer == 0 {
		t.Fatal("a starting node did not poll both the platform and a peer")
	}
	return s, platform, peer
}

// Guards against a watermark for a version that could not be put in force.
func TestMissingVersionDoesNotAdvanceWatermark(t *testing.T) {
	is := is.New(t)
	s, platform, _ := newPollingState(t)
	s.HandlePlatformReply(10*time.Millisecond, platform, 9, false)
	_, ok := s.Watermark()
	is.True(!ok)

	s, platform, peer := newPollingState(t)
	s.HandlePlatformReply(10*time.Millisecond, platform, 0, false)
	is.True(!s.IsStale(time.Second))
	s.HandleReply(time.Second, peer, PollReply{Version: 9})
	is.True(s.IsStale(time.Second)) // there is a newer version
}

// Guards against a delayed reply being taken for a recent one.
func TestLatePlatformReplyKeepsWatermarkAge(t *testing.T) {
	is := is.New(t)
	s, platform, _ := newPollingState(t)
	s.HandlePlatformReply(ConfigFor(bound).PollTimeout, platform, 0, true)
	at, ok := s.Watermark()
	is.True(ok)
	is.Equal(at, ConfigFor(bound).PollWait)
}

// Guards against a node that waits forever for a poll that its caller dropped.
func TestUnreportedPollIsRetried(t *testing.T) {
	is := is.New(t)
	s, first, _ := newPollingState(t)
	cfg := ConfigFor(bound)
	retried := uint64(0)
	for now := cfg.PollTimeout; now <= cfg.PollTimeout+cfg.RetryMin+tick; now += tick {
		if id, _ := pollIDs(s.Tick(now)); id != 0 {
			retried = id
		}
	}
	is.True(retried > first)
}

// Guards against every node becoming a root: nodes that start together know no
// others yet.
func TestStartingNodeIsNotRoot(t *testing.T) {
	is := is.New(t)
	cfg := ConfigFor(bound)
	s := New(cfg, 2, rand.New(rand.NewPCG(1, 1)), time.Minute)
	s.SetPeers(time.Minute, []Peer{{ID: 2}}, true)
	is.True(!s.IsRoot(time.Minute + cfg.RootDelay - 1))
	is.True(s.IsRoot(time.Minute + cfg.RootDelay))
}

// Guards against held polls that wait for the next tick although the version is
// available.
func TestNewVersionIsSentToWaiters(t *testing.T) {
	is := is.New(t)
	s, _, _ := newPollingState(t)
	s.HandlePoll(0, 1, PollRequest{})
	is.Equal(countAnswers(s.SetVersion(time.Millisecond, 7)), 1)
}

// Guards against two nodes that poll each other in a tight loop.
func TestPeerWithoutNewsIsNotPolledAtOnce(t *testing.T) {
	is := is.New(t)
	s, _, peer := newPollingState(t)
	is.Equal(peerPollID(s.HandleReply(time.Millisecond, peer, PollReply{})), uint64(0))
	is.True(peerPollID(s.Tick(tick)) != 0)
}

// Guards against children that wait for a parent that is no longer a member.
func TestRemovedParentIsAbandonedAtOnce(t *testing.T) {
	is := is.New(t)
	s, _, first := newPollingState(t)
	retried := peerPollID(s.SetPeers(time.Millisecond, []Peer{{ID: 2}, {ID: 3}}, false))
	is.True(retried > first)
	is.Equal(s.parent.ID, request.TargetID(3))
}
