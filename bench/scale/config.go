package scale

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/configsync"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
)

// platform simulates the platform with the accepted sets. Nodes run in parallel and only
// read it while the clock advances.
type platform struct {
	sets   []configset.Set // newest set of each tenant, the base of its next version
	heads  map[request.Tenant]configset.Head
	bodies map[configset.Head][]byte
	down   bool
}

// nodeConfig is a node's configuration state machine with its pending operations.
type nodeConfig struct {
	state         *configsync.State
	factsVersion  uint64              // version of the facts processed last
	lastAskID     uint64              // ID of the last ask received
	pendingAsks   map[uint64]envelope // asks received and not answered, by ID
	pendingReads  []func() []configsync.Action
	peersView     *member.View        // view from which the peers were taken
	platformCalls int                 // number of platform reads
	deferred      []configsync.Action // actions from piggybacked answers, for the next tick
}

// Size of each tenant's set. 22 services per tenant is the mean of 760 services in 34
// tenants.
const (
	servicesPerTenant = 22
	classesPerService = 4
)

// Configure accepts a set for each of the given number of tenants and runs the fleet
// until all nodes have them in force, for at most limit.
func (f *Fleet) Configure(tenants int, limit time.Duration) error {
	f.platform = &platform{heads: make(map[request.Tenant]configset.Head), bodies: make(map[configset.Head][]byte)}
	for i := range tenants {
		f.platform.sets = append(f.platform.sets, newSet(i))
		if _, err := f.Accept(i, 0); err != nil {
			return err
		}
	}
	for _, n := range f.Nodes {
		f.addConfig(n)
	}
	f.RunUntil(limit, 5*Step, func() bool {
		_, known := f.countKnowing(func(n *Node) bool { return n.config.state.Ready() })
		return known == len(f.Nodes)
	})
	return nil
}

func newSet(i int) configset.Set {
	tenant := request.Tenant(fmt.Sprintf("tenant-%d", i))
	set := configset.Set{Tenant: tenant, Share: 0.01}
	for j := range servicesPerTenant {
		svc := configset.Service{Name: fmt.Sprintf("service-%d", j), Slots: 100, Connections: 1000}
		for k := range classesPerService {
			svc.Classes = append(svc.Classes, configset.Class{
				Name: request.Class(fmt.Sprintf("class-%d", k)), Method: "POST", Path: fmt.Sprintf("/resource-%d", k),
				Deadline: time.Second, Attempts: 1, MaxBody: configset.DefaultMaxBody,
			})
		}
		set.Services = append(set.Services, svc)
	}
	return set
}

// Accept accepts a new version of a tenant's set, in which one service differs.
func (f *Fleet) Accept(tenant, change int) (configset.Head, error) {
	p := f.platform
	set := p.sets[tenant]
	set.Version++
	set.Services = slices.Clone(set.Services)
	set.Services[change%servicesPerTenant].Slots++
	packed, err := configset.Pack(set)
	if err != nil {
		return configset.Head{}, err
	}
	body, err := packed.Bytes()
	if err != nil {
		return configset.Head{}, err
	}
	p.sets[tenant] = set
	p.heads[set.Tenant] = packed.Head()
	p.bodies[packed.Head()] = body
	return packed.Head(), nil
}

func (f *Fleet) addConfig(n *Node) {
	self := configsync.Peer{ID: n.Record.ID, Region: n.Record.Region, Addr: n.Record.ControlAddr}
	rng := rand.New(rand.NewPCG(uint64(n.Record.ID), 3))
	n.config = &nodeConfig{
		state:       configsync.New(configsync.DefaultConfig(), self, rng, f.Now),
		pendingAsks: make(map[uint64]envelope),
	}
	n.config.state.SetBudget(n.State.Budget())
	n.State.SetPiggybackHandler(n.config)
}

// Request, Reply and HandleReply piggyback configuration messages on heartbeats.
func (c *nodeConfig) Request(room int) []byte { return c.state.PiggybackQuery(room) }

func (c *nodeConfig) Reply(query []byte, room int) []byte {
	return c.state.PiggybackAnswer(query, room)
}

func (c *nodeConfig) HandleReply(now time.Duration, reply []byte) {
	c.deferred = append(c.deferred, c.state.HandlePiggyback(now, reply)...)
}

// tickConfig does what a node's control goroutine does after a membership tick. All nodes
// share the peer lists of the fleet's first live node, since separate lists would take
// gigabytes.
func (f *Fleet) tickConfig(n *Node) {
	c := n.config
	if c.peersView != f.shared.view && n.State.Complete() {
		c.peersView = f.shared.view
		c.state.SetPeers(f.shared.all, f.shared.near[n.Record.Region], true)
	}
	for _, done := range c.pendingReads {
		f.applyConfigActions(n, done())
	}
	c.pendingReads = c.pendingReads[:0]
	later := c.deferred
	c.deferred = nil
	f.applyConfigActions(n, later)
	if v := n.State.FactsVersion(); v != c.factsVersion {
		c.factsVersion = v
		for _, fact := range n.State.Facts(member.ConfigHead) {
			if h, err := configsync.HeadOf(fact.Key, fact.Version, fact.Value); err == nil {
				f.applyConfigActions(n, c.state.Learn(f.Now, h))
			}
		}
	}
	f.applyConfigActions(n, c.state.Tick(f.Now))
}

// sharedPeers holds one node's view of the members as the peer lists that configsync
// takes.
type sharedPeers struct {
	view *member.View
	all  []configsync.Peer
	near map[string][]configsync.Peer
}

// updateSharedPeers takes the peer lists from the first live node. It runs between two
// steps.
func (f *Fleet) updateSharedPeers() {
	i := slices.IndexFunc(f.Nodes, func(n *Node) bool { return !n.Down })
	v := f.Nodes[i].State.Snapshot()
	if v == f.shared.view {
		return
	}
	f.shared = sharedPeers{view: v, near: make(map[string][]configsync.Peer)}
	v.All(func(m member.Member) bool {
		if m.Status == member.Alive || m.Status == member.Suspect {
			f.shared.all = append(f.shared.all, configsync.Peer{ID: m.ID, Region: m.Region, Addr: m.ControlAddr})
		}
		return true
	})
	// The order of a view is unspecified. Peers are drawn at random from this list, so
	// it must have a fixed order.
	slices.SortFunc(f.shared.all, func(a, b configsync.Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range f.shared.all {
		f.shared.near[p.Region] = append(f.shared.near[p.Region], p)
	}
}

func (f *Fleet) applyConfigActions(n *Node, actions []configsync.Action) {
	p, c := f.platform, n.config
	for _, a := range actions {
		switch a := a.(type) {
		case configsync.AskPeer:
			f.sendAsk(n, a)
		case configsync.Answer:
			f.sendAnswer(n, a)
		case configsync.GossipHead:
			key, version, value := configsync.FactOf(a.Head)
			n.State.PutFact(f.Now, member.Fact{Kind: member.ConfigHead, Key: key, Version: version, Value: value})
		case configsync.LoadObject:
			f.readPlatform(c, a.ID, func() []configsync.Action {
				return c.state.HandleLoaded(f.Now, a.ID, p.bodies[a.Head])
			})
		case configsync.ReadHead:
			f.readPlatform(c, a.ID, func() []configsync.Action {
				return c.state.HandleHead(f.Now, a.ID, p.heads[a.Tenant])
			})
		case configsync.ReadTenants:
			f.readPlatform(c, a.ID, func() []configsync.Action {
				return c.state.HandleTenants(f.Now, a.ID, p.tenants())
			})
		}
	}
}

// readPlatform starts a read whose outcome is processed at the node's next tick.
func (f *Fleet) readPlatform(c *nodeConfig, id uint64, outcome func() []configsync.Action) {
	c.platformCalls++
	if f.platform.down {
		outcome = func() []configsync.Action { return c.state.HandleFailure(f.Now, id) }
	}
	c.pendingReads = append(c.pendingReads, outcome)
}

func (p *platform) tenants() []request.Tenant {
	out := make([]request.Tenant, len(p.sets))
	for i := range p.sets {
		out[i] = p.sets[i].Tenant
	}
	return out
}

// sendAsk sends an ask over a new connection, as a real node does.
func (f *Fleet) sendAsk(n *Node, a configsync.AskPeer) {
	to := f.byAddr[a.To.Addr]
	if to == nil || to.Down {
		f.charge(n, 2*packetHeader, 0)
		return
	}
	size := encodedSize(&a.Ask)
	f.charge(n, connectionCost, 0)
	f.charge(n, size+rpcRequestOverhead, 1)
	f.send(n, envelope{from: n, to: to, ask: &a.Ask, askID: a.ID, size: size, newConn: true})
}

func (f *Fleet) sendAnswer(n *Node, a configsync.Answer) {
	e, ok := n.config.pendingAsks[a.ID]
	if !ok {
		return
	}
	delete(n.config.pendingAsks, a.ID)
	size := encodedSize(&a.Reply)
	f.charge(n, size+rpcReplyOverhead, 1)
	f.send(n, envelope{from: n, to: e.from, answer: &a.Reply, askID: e.askID, size: size, reply: true})
}

// receiveConfig handles an ask or its answer. It reports false for a membership message.
func (f *Fleet) receiveConfig(n *Node, e envelope) bool {
	switch {
	case e.ask != nil:
		f.charge(n, e.size+rpcRequestOverhead+packetHeader+connectionCost, 1)
		n.config.lastAskID++
		n.config.pendingAsks[n.config.lastAskID] = e
		f.applyConfigActions(n, n.config.state.HandleAsk(f.Now, n.config.lastAskID, *e.ask))
	case e.answer != nil:
		f.charge(n, e.size+rpcReplyOverhead+packetHeader, 1)
		f.applyConfigActions(n, n.config.state.HandleReply(f.Now, e.askID, *e.answer))
	default:
		return false
	}
	return true
}

func encodedSize(v any) int {
	var w countingWriter
	enc := msgpack.NewEncoder(&w)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return 0
	}
	return int(w)
}

// countingWriter counts the bytes written to it.
type countingWriter int

func (w *countingWriter) Write(b []byte) (int, error) {
	*w += countingWriter(len(b))
	return len(b), nil
}

// ChangeCost holds the cost and delay of a period with many configuration changes.
type ChangeCost struct {
	Changes  int
	MaxDelay time.Duration // longest time until a change was in force on all nodes; negative if over the limit
	Cost     Cost
	Peak     Cost // the ten seconds with the highest cost
}

// pendingChange is a change that is not in force on all nodes yet.
type pendingChange struct {
	head       configset.Head
	acceptedAt time.Duration
}

// MeasureChanges accepts a change per interval every for d, of the tenants in turn, and runs
// until all changes are in force on all live nodes, for at most limit more.
func (f *Fleet) MeasureChanges(d, every, limit time.Duration) (ChangeCost, error) {
	var b ChangeCost
	var open []pendingChange
	var err error
	next := f.Now
	b.Cost = f.measureCosts(d, func() {
		for ; next <= f.Now && err == nil; next += every {
			var h configset.Head
			h, err = f.Accept(b.Changes%len(f.platform.sets), b.Changes)
			open = append(open, pendingChange{h, f.Now})
			b.Changes++
		}
		open = f.removeApplied(open, &b)
	}, &b.Peak)
	f.RunUntil(limit, 5*Step, func() bool {
		open = f.removeApplied(open, &b)
		return len(open) == 0
	})
	if len(open) > 0 {
		b.MaxDelay = -1
	}
	return b, err
}

// removeApplied removes the changes that are in force on all live nodes and records their
// delay.
func (f *Fleet) removeApplied(open []pendingChange, b *ChangeCost) []pendingChange {
	lowest := make(map[request.Tenant]int64)
	for _, s := range f.platform.sets {
		low := s.Version
		for _, n := range f.Nodes {
			if !n.Down {
				low = min(low, n.config.state.InForce(s.Tenant))
			}
		}
		lowest[s.Tenant] = low
	}
	return slices.DeleteFunc(open, func(a pendingChange) bool {
		done := a.head.Version <= lowest[a.head.Tenant]
		if done {
			b.MaxDelay = max(b.MaxDelay, f.Now-a.acceptedAt)
		}
		return done
	})
}
