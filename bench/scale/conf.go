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

// platform holds the accepted sets. Nodes only read it while the clock advances.
type platform struct {
	sets   []configset.Set // the newest of each tenant, which the next one changes
	heads  map[request.Tenant]configset.Head
	bodies map[configset.Head][]byte
	down   bool
}

// conf is a node's configuration in force, beside its membership.
type conf struct {
	state   *configsync.State
	facts   uint64              // version of the facts that were looked at
	asks    uint64              // asks of others, numbered
	waiting map[uint64]envelope // asks of others that have no answer yet
	reads   []func() []configsync.Action
	members *member.View        // that the peers were taken from
	calls   int                 // of the platform
	later   []configsync.Action // of what rode along, for the next tick
}

// servicesOfTenant is the size of a tenant's set; classesOfService as many kinds
// of request. 760 services in 34 tenants are as many in the mean.
const (
	servicesOfTenant = 22
	classesOfService = 4
)

// Configure gives each node of the fleet the configuration of some tenants, and
// runs it until all nodes have it in force.
func (f *Fleet) Configure(tenants int, limit time.Duration) error {
	f.platform = &platform{heads: make(map[request.Tenant]configset.Head), bodies: make(map[configset.Head][]byte)}
	for i := range tenants {
		f.platform.sets = append(f.platform.sets, someSet(i))
		if _, err := f.Accept(i, 0); err != nil {
			return err
		}
	}
	for _, n := range f.Nodes {
		f.addConf(n)
	}
	f.RunUntil(limit, 5*Step, func() bool {
		_, known := f.count(func(n *Node) bool { return n.conf.state.Ready() })
		return known == len(f.Nodes)
	})
	return nil
}

func someSet(i int) configset.Set {
	tenant := request.Tenant(fmt.Sprintf("tenant-%d", i))
	set := configset.Set{Tenant: tenant, Share: 0.01}
	for j := range servicesOfTenant {
		svc := configset.Service{Name: fmt.Sprintf("service-%d", j), Slots: 100, Connections: 1000}
		for k := range classesOfService {
			svc.Classes = append(svc.Classes, configset.Class{
				Name: request.Class(fmt.Sprintf("class-%d", k)), Method: "POST", Path: fmt.Sprintf("/resource-%d", k),
				Deadline: time.Second, Attempts: 1, MaxBody: configset.DefaultMaxBody,
			})
		}
		set.Services = append(set.Services, svc)
	}
	return set
}

// Accept makes the next version of a tenant's set, which differs in one service.
func (f *Fleet) Accept(tenant, change int) (configset.Head, error) {
	p := f.platform
	set := p.sets[tenant]
	set.Version++
	set.Services = slices.Clone(set.Services)
	set.Services[change%servicesOfTenant].Slots++
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

func (f *Fleet) addConf(n *Node) {
	self := configsync.Peer{ID: n.Rec.ID, Region: n.Rec.Region, Addr: n.Rec.ControlAddr}
	rng := rand.New(rand.NewPCG(uint64(n.Rec.ID), 3))
	n.conf = &conf{
		state:   configsync.New(configsync.DefaultConfig(), self, rng, f.Now),
		waiting: make(map[uint64]envelope),
	}
	n.conf.state.SetBudget(n.State.Budget())
	n.State.SetPiggybackHandler(n.conf)
}

// Request, Answer and Take make the configuration ride along with heartbeats.
func (c *conf) Request(room int) []byte { return c.state.PiggybackQuery(room) }

func (c *conf) Reply(question []byte, room int) []byte {
	return c.state.PiggybackAnswer(question, room)
}

func (c *conf) HandleReply(now time.Duration, answer []byte) {
	c.later = append(c.later, c.state.HandlePiggyback(now, answer)...)
}

// tickConf does what the node's control goroutine does after a tick of the
// membership. All nodes are given the same lists of peers, those of the fleet's
// first live node, since lists of their own would take gigabytes.
func (f *Fleet) tickConf(n *Node) {
	c := n.conf
	if c.members != f.shared.view && n.State.Complete() {
		c.members = f.shared.view
		c.state.SetPeers(f.shared.all, f.shared.near[n.Rec.Region], true)
	}
	for _, done := range c.reads {
		f.doConf(n, done())
	}
	c.reads = c.reads[:0]
	later := c.later
	c.later = nil
	f.doConf(n, later)
	if v := n.State.FactsVersion(); v != c.facts {
		c.facts = v
		for _, fact := range n.State.Facts(member.ConfigHead) {
			if h, err := configsync.HeadOf(fact.Key, fact.Version, fact.Value); err == nil {
				f.doConf(n, c.state.Learn(f.Now, h))
			}
		}
	}
	f.doConf(n, c.state.Tick(f.Now))
}

// sharedPeers is what one node knows, in the form that inforce takes.
type sharedPeers struct {
	view *member.View
	all  []configsync.Peer
	near map[string][]configsync.Peer
}

// sharePeers takes the peers from the first live node, between two steps.
func (f *Fleet) sharePeers() {
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
	// A view is in no particular order, and peers are drawn from it.
	slices.SortFunc(f.shared.all, func(a, b configsync.Peer) int { return cmp.Compare(a.ID, b.ID) })
	for _, p := range f.shared.all {
		f.shared.near[p.Region] = append(f.shared.near[p.Region], p)
	}
}

func (f *Fleet) doConf(n *Node, actions []configsync.Action) {
	p, c := f.platform, n.conf
	for _, a := range actions {
		switch a := a.(type) {
		case configsync.AskPeer:
			f.ask(n, a)
		case configsync.Answer:
			f.answer(n, a)
		case configsync.GossipHead:
			key, version, value := configsync.FactOf(a.Head)
			n.State.PutFact(f.Now, member.Fact{Kind: member.ConfigHead, Key: key, Version: version, Value: value})
		case configsync.LoadObject:
			f.callPlatform(c, a.ID, func() []configsync.Action {
				return c.state.HandleLoaded(f.Now, a.ID, p.bodies[a.Head])
			})
		case configsync.ReadHead:
			f.callPlatform(c, a.ID, func() []configsync.Action {
				return c.state.HandleHead(f.Now, a.ID, p.heads[a.Tenant])
			})
		case configsync.ReadTenants:
			f.callPlatform(c, a.ID, func() []configsync.Action {
				return c.state.HandleTenants(f.Now, a.ID, p.tenants())
			})
		}
	}
}

// callPlatform makes a read, whose outcome comes with the node's next tick.
func (f *Fleet) callPlatform(c *conf, id uint64, outcome func() []configsync.Action) {
	c.calls++
	if f.platform.down {
		outcome = func() []configsync.Action { return c.state.HandleFailure(f.Now, id) }
	}
	c.reads = append(c.reads, outcome)
}

func (p *platform) tenants() []request.Tenant {
	out := make([]request.Tenant, len(p.sets))
	for i := range p.sets {
		out[i] = p.sets[i].Tenant
	}
	return out
}

// ask sends a question over a connection of its own, as the node does.
func (f *Fleet) ask(n *Node, a configsync.AskPeer) {
	to := f.byAddr[a.To.Addr]
	if to == nil || to.Down {
		f.spend(n, 2*packetHeader, 0)
		return
	}
	size := encodedSize(&a.Ask)
	f.spend(n, connCost, 0)
	f.spend(n, size+requestText, 1)
	f.send(n, envelope{from: n, to: to, ask: &a.Ask, askID: a.ID, size: size, opened: true})
}

func (f *Fleet) answer(n *Node, a configsync.Answer) {
	e, ok := n.conf.waiting[a.ID]
	if !ok {
		return
	}
	delete(n.conf.waiting, a.ID)
	size := encodedSize(&a.Reply)
	f.spend(n, size+replyText, 1)
	f.send(n, envelope{from: n, to: e.from, answer: &a.Reply, askID: e.askID, size: size, reply: true})
}

// receiveConf takes a question or an answer. It reports false for membership.
func (f *Fleet) receiveConf(n *Node, e envelope) bool {
	switch {
	case e.ask != nil:
		f.spend(n, e.size+requestText+packetHeader+connCost, 1)
		n.conf.asks++
		n.conf.waiting[n.conf.asks] = e
		f.doConf(n, n.conf.state.HandleAsk(f.Now, n.conf.asks, *e.ask))
	case e.answer != nil:
		f.spend(n, e.size+replyText+packetHeader, 1)
		f.doConf(n, n.conf.state.HandleReply(f.Now, e.askID, *e.answer))
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

// Busy is what a time with many changes of configuration costs.
type Busy struct {
	Changes int
	Longest time.Duration // until a change was in force everywhere; negative: not within the limit
	Cost    Cost
	Worst   Cost // the dearest ten seconds
}

// accepted is a change that is not in force everywhere yet.
type accepted struct {
	head configset.Head
	at   time.Duration
}

// BusyTime accepts a change every so often for d, of each tenant in turn, and
// waits until all are in force on all live nodes, for at most limit more.
func (f *Fleet) BusyTime(d, every, limit time.Duration) (Busy, error) {
	var b Busy
	var open []accepted
	var err error
	next := f.Now
	b.Cost = f.costsWhile(d, func() {
		for ; next <= f.Now && err == nil; next += every {
			var h configset.Head
			h, err = f.Accept(b.Changes%len(f.platform.sets), b.Changes)
			open = append(open, accepted{h, f.Now})
			b.Changes++
		}
		open = f.settle(open, &b)
	}, &b.Worst)
	f.RunUntil(limit, 5*Step, func() bool {
		open = f.settle(open, &b)
		return len(open) == 0
	})
	if len(open) > 0 {
		b.Longest = -1
	}
	return b, err
}

// settle takes off the changes that are in force on all live nodes.
func (f *Fleet) settle(open []accepted, b *Busy) []accepted {
	lowest := make(map[request.Tenant]int64)
	for _, s := range f.platform.sets {
		low := s.Version
		for _, n := range f.Nodes {
			if !n.Down {
				low = min(low, n.conf.state.InForce(s.Tenant))
			}
		}
		lowest[s.Tenant] = low
	}
	return slices.DeleteFunc(open, func(a accepted) bool {
		done := a.head.Version <= lowest[a.head.Tenant]
		if done {
			b.Longest = max(b.Longest, f.Now-a.at)
		}
		return done
	})
}
