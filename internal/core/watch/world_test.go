package watch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/simtime"
)

const (
	bound   = 2 * time.Second
	contact = 3 * time.Second // after a disturbance the bound holds again
	tick    = 200 * time.Millisecond
	oneWay  = 2 * time.Millisecond
	never   = time.Duration(-1 << 62)
)

// world steps the states of many nodes under a virtual clock, beside a platform
// that accepts versions.
type world struct {
	rng *rand.Rand
	simtime.Queue
	nodes    []*node
	byID     map[request.TargetID]*node
	platform platform
	delay    time.Duration // until others learn that a node is gone or back
	calls    int           // of the platform
	fatal    func(string, ...any)
}

type platform struct {
	version  int64
	accepted []time.Duration // by version
	waiting  []*call
	silent   bool
	refuses  bool
	upset    time.Duration // when it was disturbed last
}

// call is a question that waits at the platform.
type call struct {
	after  int64
	until  time.Duration
	answer func(version int64, quiet bool)
	over   bool
}

type node struct {
	w       *world
	peer    Peer
	state   *State
	life    int
	up      bool
	frozen  bool
	cut     bool // from the platform
	apart   bool // from all other nodes
	held    []func()
	version int64
	upset   time.Duration // when it was disturbed last
	answers map[uint64]func(Reply)
	asked   uint64
}

func newWorld(n int, seed uint64, fatal func(string, ...any)) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), Queue: simtime.Queue{Now: time.Minute}, delay: 3 * time.Second,
		platform: platform{accepted: []time.Duration{0}, upset: never}, fatal: fatal,
		byID: make(map[request.TargetID]*node),
	}
	for i := range n {
		name := fmt.Sprintf("node-%d", i)
		w.nodes = append(w.nodes, &node{w: w, peer: Peer{ID: request.TargetIDOf(name), Addr: name}, upset: never})
	}
	for _, n := range w.nodes {
		w.byID[n.peer.ID] = n
		n.start()
	}
	w.tell(0)
	return w
}

func (w *world) run(d time.Duration) { w.RunUntil(w.Now + d) }

// tell lets all nodes know, after a time, which are up.
func (w *world) tell(d time.Duration) {
	w.After(d, func() {
		var up []Peer
		for _, n := range w.nodes {
			if n.up {
				up = append(up, n.peer)
			}
		}
		for _, n := range w.nodes {
			n.later(0, func() { n.do(n.state.SetPeers(w.Now, up, true)) })
		}
	})
}

func (n *node) start() {
	n.life++
	n.up, n.frozen, n.held = true, false, nil
	n.version = 0
	n.answers = make(map[uint64]func(Reply))
	n.state = New(ConfigFor(bound), n.peer.ID, rand.New(rand.NewPCG(n.w.rng.Uint64(), 2)), n.w.Now)
	n.later(time.Duration(n.w.rng.Int64N(int64(tick))), n.tick)
}

func (n *node) tick() {
	n.do(n.state.Tick(n.w.Now))
	n.later(tick, n.tick)
}

// later runs f at the node: not in another life of it, and not while it is frozen.
func (n *node) later(d time.Duration, f func()) {
	life := n.life
	n.w.After(d, func() {
		switch {
		case n.life != life || !n.up:
		case n.frozen:
			n.held = append(n.held, f)
		default:
			f()
		}
	})
}

func (n *node) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case AskPlatform:
			n.askPlatform(a)
		case AskPeer:
			n.askPeer(a)
		case Answer:
			if f := n.answers[a.ID]; f != nil {
				delete(n.answers, a.ID)
				f(a.Reply)
			}
		}
	}
}

func (n *node) hold(version int64) {
	if version > n.version {
		n.version = version
		n.do(n.state.SetVersion(n.w.Now, version))
	}
}

func (n *node) askPlatform(a AskPlatform) {
	w := n.w
	w.calls++
	n.later(a.Limit, func() { n.do(n.state.HandleFailure(w.Now, a.ID)) })
	w.After(oneWay, func() {
		p := &w.platform
		switch {
		case n.cut || p.silent:
			return
		case p.refuses:
			n.later(oneWay, func() { n.do(n.state.HandleFailure(w.Now, a.ID)) })
			return
		}
		c := &call{after: a.After, until: w.Now + a.Wait}
		c.answer = func(version int64, quiet bool) {
			c.over = true
			n.later(oneWay, func() {
				if n.cut {
					return
				}
				n.hold(version)
				n.do(n.state.HandlePlatform(w.Now, a.ID, version, quiet))
			})
		}
		if p.version > a.After {
			c.answer(p.version, false)
			return
		}
		p.waiting = append(p.waiting, c)
		w.After(a.Wait, func() {
			if !c.over && !p.silent {
				c.answer(0, true)
			}
		})
	})
}

func (n *node) askPeer(a AskPeer) {
	w := n.w
	n.later(a.Limit, func() { n.do(n.state.HandleFailure(w.Now, a.ID)) })
	to := w.byID[a.To.ID]
	to.later(oneWay, func() {
		if to.apart || n.apart {
			return
		}
		to.asked++
		to.answers[to.asked] = func(r Reply) {
			n.later(oneWay, func() {
				if to.apart || n.apart {
					return
				}
				n.hold(r.Version)
				n.do(n.state.HandleReply(w.Now, a.ID, r))
			})
		}
		to.do(to.state.HandleAsk(w.Now, to.asked, a.Ask))
	})
}

// accept is what the operator does.
func (w *world) accept() {
	p := &w.platform
	p.version++
	p.accepted = append(p.accepted, w.Now)
	waiting := p.waiting
	p.waiting = nil
	for _, c := range waiting {
		if !c.over && !p.silent && p.version > c.after {
			c.answer(p.version, false)
		}
	}
}

// due returns the newest version that has to be in force by now.
func (w *world) due() int64 {
	for v := w.platform.version; v > 0; v-- {
		if w.Now >= w.platform.accepted[v]+bound {
			return v
		}
	}
	return 0
}

// check fails if a node that is in touch lacks a version that is due.
func (w *world) check() {
	p := &w.platform
	if p.silent || p.refuses || w.Now < p.upset+contact {
		return
	}
	due := w.due()
	for i, n := range w.nodes {
		calm := n.up && !n.frozen && !n.cut && !n.apart && w.Now >= n.upset+contact
		if calm && n.version < due {
			w.fatal("at %v node %d of %d has version %d, due is %d of %d", w.Now, i, len(w.nodes), n.version, due, p.version)
		}
	}
}

// watch runs for a while and checks all along.
func (w *world) watch(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.Now + d; w.Now < end; {
		w.run(step)
		w.check()
	}
}
