package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"peardrift/internal/apply"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/port/porttest"
)

// cluster simulates the messages between nodes and to the platform. At each
// install it checks that the version increases and matches the accepted set.
type cluster struct {
	fatal        func(format string, args ...any)
	now          time.Duration
	nodes        []*node
	peers        []Peer
	store        *apply.Store
	platformDown bool
	queue        []func()
	asks         map[uint64]func(Reply) // by the ID passed to HandleAsk
	lastAsk      uint64
	seed         uint64
}

type node struct {
	cluster           *cluster
	peer              Peer
	state             *State
	incarnation       int // messages to an earlier incarnation are lost
	frozen            bool
	partition         int
	installedVersions map[request.Tenant]int64
	gossipedHeads     map[request.Tenant]configset.Head
}

func newCluster(n int, fatal func(string, ...any)) *cluster {
	c := &cluster{
		fatal: fatal, now: time.Minute, asks: make(map[uint64]func(Reply)),
		store: apply.New(porttest.NewTable(), porttest.NewObjects(),
			apply.Config{Attempts: 2, InitialDelay: time.Nanosecond, MaxDelay: time.Nanosecond}),
	}
	for i := range n {
		name := fmt.Sprintf("node-%d", i)
		c.peers = append(c.peers, Peer{ID: request.TargetIDOf(name), Region: "bangkok", Addr: name})
	}
	for i := range n {
		c.nodes = append(c.nodes, &node{cluster: c, peer: c.peers[i], gossipedHeads: make(map[request.Tenant]configset.Head)})
		c.nodes[i].restart()
	}
	return c
}

func (n *node) restart() {
	n.incarnation++
	n.cluster.seed++
	n.state = New(DefaultConfig(), n.peer, rand.New(rand.NewPCG(n.cluster.seed, 0)), n.cluster.now)
	n.state.SetPeers(n.cluster.peers, n.cluster.peers, true)
	n.installedVersions = make(map[request.Tenant]int64)
	n.frozen = false
	clear(n.gossipedHeads)
}

// enqueue queues a delivery to a node; it is lost if the node restarts first.
func (n *node) enqueue(f func()) {
	incarnation := n.incarnation
	var deliver func()
	deliver = func() {
		switch {
		case n.incarnation != incarnation:
		case n.frozen:
			n.cluster.queue = append(n.cluster.queue, deliver)
		default:
			f()
		}
	}
	n.cluster.queue = append(n.cluster.queue, deliver)
}

func (n *node) execute(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case AskPeer:
			n.ask(a)
		case Answer:
			if reply := n.cluster.asks[a.ID]; reply != nil {
				delete(n.cluster.asks, a.ID)
				reply(a.Reply)
			}
		case Install:
			n.checkInstall(a)
		case GossipHead:
			n.gossipedHeads[a.Head.Tenant] = a.Head
		default:
			n.enqueue(func() { n.callPlatform(a) })
		}
	}
}

func (n *node) ask(a AskPeer) {
	c := n.cluster
	to := c.node(a.To.ID)
	to.enqueue(func() {
		if to.partition != n.partition {
			return
		}
		c.lastAsk++
		c.asks[c.lastAsk] = func(r Reply) {
			n.enqueue(func() {
				if to.partition == n.partition {
					n.execute(n.state.HandleReply(c.now, a.ID, r))
				}
			})
		}
		to.execute(to.state.HandleAsk(c.now, c.lastAsk, a.Ask))
	})
}

func (n *node) callPlatform(a Action) {
	c, ctx := n.cluster, context.Background()
	switch a := a.(type) {
	case LoadObject:
		body, err := c.store.Body(ctx, a.Head.Tenant, a.Head.Digest)
		if err != nil || c.platformDown {
			n.execute(n.state.HandleFailure(c.now, a.ID))
			return
		}
		n.execute(n.state.HandleLoaded(c.now, a.ID, body))
	case ReadHead:
		if c.platformDown {
			n.execute(n.state.HandleFailure(c.now, a.ID))
			return
		}
		r, _ := c.store.Head(ctx, a.Tenant) // zero record if there is none
		n.execute(n.state.HandleHead(c.now, a.ID, configset.Head{Tenant: r.Tenant, Version: r.Version, Digest: r.Digest}))
	case ReadTenants:
		tenants, _, err := c.store.Tenants(ctx)
		if err != nil || c.platformDown {
			n.execute(n.state.HandleFailure(c.now, a.ID))
			return
		}
		n.execute(n.state.HandleTenants(c.now, a.ID, tenants))
	}
}

// checkInstall checks the invariants of an install.
func (n *node) checkInstall(a Install) {
	r, err := n.cluster.store.Version(context.Background(), a.Head.Tenant, a.Head.Version)
	if err != nil || r.Digest != a.Head.Digest {
		n.cluster.fatal("%s installed version %d of %s, which differs from the accepted set (%v)", n.peer.Addr, a.Head.Version, a.Head.Tenant, err)
	}
	if a.Head.Version <= n.installedVersions[a.Head.Tenant] || a.Index.Version(a.Head.Tenant) != a.Head.Version {
		n.cluster.fatal("%s moved from version %d to %d of %s", n.peer.Addr, n.installedVersions[a.Head.Tenant], a.Head.Version, a.Head.Tenant)
	}
	n.installedVersions[a.Head.Tenant] = a.Head.Version
}

func (c *cluster) node(id request.TargetID) *node {
	for _, n := range c.nodes {
		if n.peer.ID == id {
			return n
		}
	}
	return nil
}

// gossip sends the heads that one node spreads to another.
func (c *cluster) gossip(from, to *node) {
	if from.frozen || to.frozen || from.partition != to.partition {
		return
	}
	for _, t := range []request.Tenant{"khaosan", "kalahari"} {
		if h, ok := from.gossipedHeads[t]; ok {
			to.execute(to.state.Learn(c.now, h))
		}
	}
}

func (c *cluster) advance(d time.Duration) {
	c.now += d
	for _, n := range c.nodes {
		if !n.frozen {
			n.execute(n.state.Tick(c.now))
		}
	}
}

// deliver runs the i-th queued delivery.
func (c *cluster) deliver(i int) {
	f := c.queue[i]
	c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
	f()
}

// runFor delivers everything in order for the given time.
func (c *cluster) runFor(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := c.now + d; c.now < end; {
		c.advance(step)
		for range len(c.nodes) {
			for n := len(c.queue); n > 0 && len(c.queue) > 0; n-- {
				c.deliver(0)
			}
		}
		for i := range c.nodes {
			c.gossip(c.nodes[i], c.nodes[(i+1)%len(c.nodes)])
			c.gossip(c.nodes[i], c.nodes[(i+2)%len(c.nodes)]) // skips a frozen node
		}
	}
}

// testSet returns a valid set; the slots distinguish it from others.
func testSet(t request.Tenant, slots int) configset.Set {
	s := configset.Set{Tenant: t, Share: 0.5}
	for _, name := range []string{"archive", "feed"} {
		s.Services = append(s.Services, configset.Service{
			Name: name, Slots: 1, Connections: 1_000_000,
			Classes: []configset.Class{{Name: "read", Path: "/", Deadline: time.Second}},
		})
	}
	s.Services[slots%2].Slots = slots
	return s
}

func (c *cluster) apply(t request.Tenant, slots int, base int64) {
	if _, err := c.store.Apply(context.Background(), testSet(t, slots), base, "ada"); err != nil {
		c.fatal("apply: %v", err)
	}
}
