package inforce

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"peardrift/internal/apply"
	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
	"peardrift/internal/port/porttest"
)

// world delivers what nodes send each other and the platform, and checks at
// each install that the version rises and is what was accepted.
type world struct {
	fatal   func(format string, args ...any)
	now     time.Duration
	nodes   []*node
	peers   []Peer
	store   *apply.Store
	down    bool // the platform
	waiting []func()
	asks    map[uint64]func(Reply) // by the id passed to HandleAsk
	lastAsk uint64
	seed    uint64
}

type node struct {
	w      *world
	peer   Peer
	state  *State
	life   int // counts restarts: what was sent to an earlier life is lost
	frozen bool
	side   int
	before map[request.Tenant]int64
	heads  map[request.Tenant]confset.Head // gossiped
}

func newWorld(n int, fatal func(string, ...any)) *world {
	w := &world{
		fatal: fatal, now: time.Minute, asks: make(map[uint64]func(Reply)),
		store: apply.New(porttest.NewTable(), porttest.NewObjects(),
			apply.Config{Attempts: 2, Pause: time.Nanosecond, MaxPause: time.Nanosecond}),
	}
	for i := range n {
		name := fmt.Sprintf("node-%d", i)
		w.peers = append(w.peers, Peer{ID: request.TargetIDOf(name), Region: "bangkok", Addr: name})
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{w: w, peer: w.peers[i], heads: make(map[request.Tenant]confset.Head)})
		w.nodes[i].restart()
	}
	return w
}

func (n *node) restart() {
	n.life++
	n.w.seed++
	n.state = New(DefaultConfig(), n.peer, rand.New(rand.NewPCG(n.w.seed, 0)), n.w.now)
	n.state.SetPeers(n.w.peers, n.w.peers, true)
	n.before = make(map[request.Tenant]int64)
	n.frozen = false
	clear(n.heads)
}

// later queues something for a node; it is lost if the node restarts first.
func (n *node) later(f func()) {
	life := n.life
	var deliver func()
	deliver = func() {
		switch {
		case n.life != life:
		case n.frozen:
			n.w.waiting = append(n.w.waiting, deliver)
		default:
			f()
		}
	}
	n.w.waiting = append(n.w.waiting, deliver)
}

func (n *node) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case AskPeer:
			n.ask(a)
		case Answer:
			if reply := n.w.asks[a.ID]; reply != nil {
				delete(n.w.asks, a.ID)
				reply(a.Reply)
			}
		case Install:
			n.installed(a)
		case Spread:
			n.heads[a.Head.Tenant] = a.Head
		default:
			n.later(func() { n.callPlatform(a) })
		}
	}
}

func (n *node) ask(a AskPeer) {
	w := n.w
	to := w.node(a.To.ID)
	to.later(func() {
		if to.side != n.side {
			return
		}
		w.lastAsk++
		w.asks[w.lastAsk] = func(r Reply) {
			n.later(func() {
				if to.side == n.side {
					n.do(n.state.HandleReply(w.now, a.ID, r))
				}
			})
		}
		to.do(to.state.HandleAsk(w.now, w.lastAsk, a.Ask))
	})
}

func (n *node) callPlatform(a Action) {
	w, ctx := n.w, context.Background()
	switch a := a.(type) {
	case LoadObject:
		body, err := w.store.Body(ctx, a.Head.Tenant, a.Head.Digest)
		if err != nil || w.down {
			n.do(n.state.HandleFailure(w.now, a.ID))
			return
		}
		n.do(n.state.HandleLoaded(w.now, a.ID, body))
	case ReadHead:
		if w.down {
			n.do(n.state.HandleFailure(w.now, a.ID))
			return
		}
		r, _ := w.store.Head(ctx, a.Tenant) // a zero record if there is none
		n.do(n.state.HandleHead(w.now, a.ID, confset.Head{Tenant: r.Tenant, Version: r.Version, Digest: r.Digest}))
	case ReadTenants:
		tenants, _, err := w.store.Tenants(ctx)
		if err != nil || w.down {
			n.do(n.state.HandleFailure(w.now, a.ID))
			return
		}
		n.do(n.state.HandleTenants(w.now, a.ID, tenants))
	}
}

// installed checks what must hold of every install.
func (n *node) installed(a Install) {
	r, err := n.w.store.Version(context.Background(), a.Head.Tenant, a.Head.Version)
	if err != nil || r.Digest != a.Head.Digest {
		n.w.fatal("%s put in force version %d of %s, which was not accepted so (%v)", n.peer.Addr, a.Head.Version, a.Head.Tenant, err)
	}
	if a.Head.Version <= n.before[a.Head.Tenant] || a.Index.Version(a.Head.Tenant) != a.Head.Version {
		n.w.fatal("%s went from version %d to %d of %s", n.peer.Addr, n.before[a.Head.Tenant], a.Head.Version, a.Head.Tenant)
	}
	n.before[a.Head.Tenant] = a.Head.Version
}

func (w *world) node(id request.TargetID) *node {
	for _, n := range w.nodes {
		if n.peer.ID == id {
			return n
		}
	}
	return nil
}

// gossip tells one node what another one spreads.
func (w *world) gossip(from, to *node) {
	if from.frozen || to.frozen || from.side != to.side {
		return
	}
	for _, t := range []request.Tenant{"khaosan", "kalahari"} {
		if h, ok := from.heads[t]; ok {
			to.do(to.state.Learn(w.now, h))
		}
	}
}

func (w *world) advance(d time.Duration) {
	w.now += d
	for _, n := range w.nodes {
		if !n.frozen {
			n.do(n.state.Tick(w.now))
		}
	}
}

// deliver runs the i-th of what waits.
func (w *world) deliver(i int) {
	f := w.waiting[i]
	w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
	f()
}

// settle lets everything happen in order for a while.
func (w *world) settle(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := w.now + d; w.now < end; {
		w.advance(step)
		for range len(w.nodes) {
			for n := len(w.waiting); n > 0 && len(w.waiting) > 0; n-- {
				w.deliver(0)
			}
		}
		for i := range w.nodes {
			w.gossip(w.nodes[i], w.nodes[(i+1)%len(w.nodes)])
			w.gossip(w.nodes[i], w.nodes[(i+2)%len(w.nodes)]) // past a frozen one
		}
	}
}

// testSet returns a valid set that differs from others by its slots.
func testSet(t request.Tenant, slots int) confset.Set {
	s := confset.Set{Tenant: t, Share: 0.5}
	for _, name := range []string{"archive", "feed"} {
		s.Services = append(s.Services, confset.Service{
			Name: name, Slots: 1, Connections: 1_000_000,
			Classes: []confset.Class{{Name: "read", Path: "/", Deadline: time.Second}},
		})
	}
	s.Services[slots%2].Slots = slots
	return s
}

func (w *world) apply(t request.Tenant, slots int, base int64) {
	if _, err := w.store.Apply(context.Background(), testSet(t, slots), base, "ada"); err != nil {
		w.fatal("apply: %v", err)
	}
}
