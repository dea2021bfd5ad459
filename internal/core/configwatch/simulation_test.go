package configwatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/simtime"
)

const (
	bound        = 2 * time.Second
	recoveryTime = 3 * time.Second // the bound holds again this long after a fault
	tick         = 200 * time.Millisecond
	oneWay       = 2 * time.Millisecond
	never        = time.Duration(-1 << 62)
)

// simulation runs the states of many nodes under a virtual clock, with a
// platform that accepts versions.
type simulation struct {
	rng *rand.Rand
	simtime.Queue
	nodes           []*node
	byID            map[request.TargetID]*node
	platform        platform
	membershipDelay time.Duration // until others learn that a node is down or back
	platformCalls   int           // number of polls received by the platform
	fatal           func(string, ...any)
}

type platform struct {
	version     int64
	acceptedAt  []time.Duration // by version
	waiting     []*longPoll
	silent      bool
	refusing    bool
	disturbedAt time.Duration // time of the last fault
}

// longPoll is a poll that waits at the platform.
type longPoll struct {
	after  int64
	until  time.Duration
	answer func(version int64, unchanged bool)
	done   bool
}

type node struct {
	sim         *simulation
	peer        Peer
	state       *State
	generation  int
	up          bool
	frozen      bool
	platformCut bool // disconnected from the platform
	isolated    bool // disconnected from all other nodes
	deferred    []func()
	version     int64
	disturbedAt time.Duration // time of the last fault
	answers     map[uint64]func(PollReply)
	lastPollID  uint64
}

func newSimulation(n int, seed uint64, fatal func(string, ...any)) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), Queue: simtime.Queue{Now: time.Minute}, membershipDelay: 3 * time.Second,
		platform: platform{acceptedAt: []time.Duration{0}, disturbedAt: never}, fatal: fatal,
		byID: make(map[request.TargetID]*node),
	}
	for i := range n {
		name := fmt.Sprintf("node-%d", i)
		sim.nodes = append(sim.nodes, &node{sim: sim, peer: Peer{ID: request.TargetIDOf(name), Addr: name}, disturbedAt: never})
	}
	for _, n := range sim.nodes {
		sim.byID[n.peer.ID] = n
		n.start()
	}
	sim.announceMembers(0)
	return sim
}

func (sim *simulation) run(d time.Duration) { sim.RunUntil(sim.Now + d) }

// announceMembers informs all nodes, after a delay, which nodes are up.
func (sim *simulation) announceMembers(d time.Duration) {
	sim.After(d, func() {
		var up []Peer
		for _, n := range sim.nodes {
			if n.up {
				up = append(up, n.peer)
			}
		}
		for _, n := range sim.nodes {
			n.schedule(0, func() { n.runActions(n.state.SetPeers(sim.Now, up, true)) })
		}
	})
}

func (n *node) start() {
	n.generation++
	n.up, n.frozen, n.deferred = true, false, nil
	n.version = 0
	n.answers = make(map[uint64]func(PollReply))
	n.state = New(ConfigFor(bound), n.peer.ID, rand.New(rand.NewPCG(n.sim.rng.Uint64(), 2)), n.sim.Now)
	n.schedule(time.Duration(n.sim.rng.Int64N(int64(tick))), n.tick)
}

func (n *node) tick() {
	n.runActions(n.state.Tick(n.sim.Now))
	n.schedule(tick, n.tick)
}

// schedule runs f at the node after d, unless the node is down or has restarted
// by then; while it is frozen, f is deferred.
func (n *node) schedule(d time.Duration, f func()) {
	generation := n.generation
	n.sim.After(d, func() {
		switch {
		case n.generation != generation || !n.up:
		case n.frozen:
			n.deferred = append(n.deferred, f)
		default:
			f()
		}
	})
}

func (n *node) runActions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case PollPlatform:
			n.pollPlatform(a)
		case PollPeer:
			n.pollPeer(a)
		case SendReply:
			if f := n.answers[a.ID]; f != nil {
				delete(n.answers, a.ID)
				f(a.Reply)
			}
		}
	}
}

func (n *node) setVersion(version int64) {
	if version > n.version {
		n.version = version
		n.runActions(n.state.SetVersion(n.sim.Now, version))
	}
}

func (n *node) pollPlatform(a PollPlatform) {
	sim := n.sim
	sim.platformCalls++
	n.schedule(a.Timeout, func() { n.runActions(n.state.HandleFailure(sim.Now, a.ID)) })
	sim.After(oneWay, func() {
		p := &sim.platform
		switch {
		case n.platformCut || p.silent:
			return
		case p.refusing:
			n.schedule(oneWay, func() { n.runActions(n.state.HandleFailure(sim.Now, a.ID)) })
			return
		}
		c := &longPoll{after: a.After, until: sim.Now + a.Wait}
		c.answer = func(version int64, unchanged bool) {
			c.done = true
			n.schedule(oneWay, func() {
				if n.platformCut {
					return
				}
				n.setVersion(version)
				n.runActions(n.state.HandlePlatformReply(sim.Now, a.ID, version, unchanged))
			})
		}
		if p.version > a.After {
			c.answer(p.version, false)
			return
		}
		p.waiting = append(p.waiting, c)
		sim.After(a.Wait, func() {
			if !c.done && !p.silent {
				c.answer(0, true)
			}
		})
	})
}

func (n *node) pollPeer(a PollPeer) {
	sim := n.sim
	n.schedule(a.Timeout, func() { n.runActions(n.state.HandleFailure(sim.Now, a.ID)) })
	to := sim.byID[a.To.ID]
	to.schedule(oneWay, func() {
		if to.isolated || n.isolated {
			return
		}
		to.lastPollID++
		to.answers[to.lastPollID] = func(r PollReply) {
			n.schedule(oneWay, func() {
				if to.isolated || n.isolated {
					return
				}
				n.setVersion(r.Version)
				n.runActions(n.state.HandleReply(sim.Now, a.ID, r))
			})
		}
		to.runActions(to.state.HandlePoll(sim.Now, to.lastPollID, a.Request))
	})
}

// acceptVersion accepts a new version, as when an operator applies a change.
func (sim *simulation) acceptVersion() {
	p := &sim.platform
	p.version++
	p.acceptedAt = append(p.acceptedAt, sim.Now)
	waiting := p.waiting
	p.waiting = nil
	for _, c := range waiting {
		if !c.done && !p.silent && p.version > c.after {
			c.answer(p.version, false)
		}
	}
}

// requiredVersion returns the newest version that must be in force by now.
func (sim *simulation) requiredVersion() int64 {
	for v := sim.platform.version; v > 0; v-- {
		if sim.Now >= sim.platform.acceptedAt[v]+bound {
			return v
		}
	}
	return 0
}

// check fails if a connected node is missing the required version.
func (sim *simulation) check() {
	p := &sim.platform
	if p.silent || p.refusing || sim.Now < p.disturbedAt+recoveryTime {
		return
	}
	required := sim.requiredVersion()
	for i, n := range sim.nodes {
		healthy := n.up && !n.frozen && !n.platformCut && !n.isolated && sim.Now >= n.disturbedAt+recoveryTime
		if healthy && n.version < required {
			sim.fatal("at %v node %d of %d has version %d, want %d of %d", sim.Now, i, len(sim.nodes), n.version, required, p.version)
		}
	}
}

// runChecked runs for a duration and checks throughout.
func (sim *simulation) runChecked(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := sim.Now + d; sim.Now < end; {
		sim.run(step)
		sim.check()
	}
}
