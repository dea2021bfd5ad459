package scale

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peardrift/internal/core/configsync"
	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
)

// Step is the quantum of the virtual clock and the one-way delay of a message.
const Step = 20 * time.Millisecond

// shards is fixed, so that results don't depend on the number of processors.
const shards = 8

// Costs on the wire in bytes; they match the adapter's meter: a packet's headers,
// the opening and closing of a connection, and net/rpc's own fields.
const (
	packetHeader = 52
	packetData   = 1448
	connCost     = 7*packetHeader + 16
	requestText  = 20
	replyText    = 4
)

// Fleet is a set of members and the network between them.
type Fleet struct {
	Cfg   member.Config
	Nodes []*Node
	Now   time.Duration
	Loss  float64 // chance that a request or a reply is lost
	// Cut, if set, tells which pairs of nodes can't reach each other.
	Cut func(from, to *Node) bool

	byAddr  map[string]*Node
	out     [shards][shards][]envelope
	regions []string
	zones   []string
	service int
	rng     *rand.Rand

	platform *platform // nil unless the nodes have a configuration
	shared   sharedPeers
}

// Node is one member with its connections.
type Node struct {
	State  *member.State
	Rec    member.Record
	Down   bool
	Frozen time.Duration // does nothing until then
	Bytes  int64         // sent and received, with headers

	index   int
	rng     *rand.Rand
	next    time.Duration
	inbox   []envelope
	pending []pending
	calls   uint32
	conns   map[string]bool
	conf    *conf // nil unless the fleet was configured
}

type envelope struct {
	from, to *Node
	call     uint32
	peer     member.Peer // as the caller named it
	msg      *member.Message
	reply    bool
	opened   bool // a new connection was set up for it

	// Of questions about the configuration and their answers, see conf.go.
	ask    *configsync.Ask
	answer *configsync.Reply
	askID  uint64
	size   int
}

type pending struct {
	call     uint32
	peer     member.Peer
	deadline time.Duration
}

// Layout says how a fleet is spread.
type Layout struct {
	Members  int
	Regions  int
	Zones    int // in all
	Services int
}

// TargetLayout is the target's layout at a given number of members.
func TargetLayout(members int) Layout {
	return Layout{Members: members, Regions: 3, Zones: 9, Services: max(members*760/14000, 3)}
}

// NewFleet returns a fleet whose members all know each other.
func NewFleet(cfg member.Config, l Layout, seed uint64) *Fleet {
	f := &Fleet{Cfg: cfg, byAddr: make(map[string]*Node), rng: rand.New(rand.NewPCG(seed, 0))}
	for i := range l.Regions {
		f.regions = append(f.regions, fmt.Sprintf("region-%d", i))
	}
	for i := range l.Zones {
		f.zones = append(f.zones, fmt.Sprintf("zone-%d", i))
	}
	f.service = l.Services
	records := make([]*member.Record, l.Members)
	for i := range records {
		r := f.Record(i)
		records[i] = &r
	}
	sorted := slices.SortedFunc(slices.Values(records), func(a, b *member.Record) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range records {
		f.Add(*r)
	}
	f.each(func(n *Node) { n.State.AddAlive(sorted) })
	return f
}

// Record returns the record of the i-th instance.
func (f *Fleet) Record(i int) member.Record {
	zone := i % len(f.zones)
	name := fmt.Sprintf("instance-%05d", i)
	service := i / len(f.zones) % f.service
	return member.Record{
		ID: request.TargetIDOf(name), Name: name,
		Service: request.Service(fmt.Sprintf("service-%03d.tenant-%d", service, service%5)),
		Tenant:  request.Tenant(fmt.Sprintf("tenant-%d", service%5)),
		Zone:    f.zones[zone], Region: f.regions[zone*len(f.regions)/len(f.zones)],
		DataAddr:    fmt.Sprintf("10.%d.%d.%d:8080", zone, i/250%250, i%250),
		ControlAddr: fmt.Sprintf("10.%d.%d.%d:8081", zone, i/250%250, i%250),
		Incarnation: 200_000_000, Slots: 130, Connections: 850,
	}
}

// Add starts a node that knows nobody.
func (f *Fleet) Add(r member.Record) *Node {
	n := &Node{
		Rec: r, index: len(f.Nodes), conns: make(map[string]bool),
		rng: rand.New(rand.NewPCG(uint64(r.ID), uint64(r.Incarnation))),
	}
	n.State = member.New(f.Cfg, r, n.rng)
	n.next = f.Now + time.Duration(n.rng.Int64N(int64(f.Cfg.TickInterval)))
	f.Nodes = append(f.Nodes, n)
	f.byAddr[r.ControlAddr] = n
	return n
}

// each runs do for every node, in parallel by shards.
func (f *Fleet) each(do func(*Node)) {
	f.parallel(func(shard int) {
		for i := shard; i < len(f.Nodes); i += shards {
			do(f.Nodes[i])
		}
	})
}

func (f *Fleet) parallel(do func(shard int)) {
	var wg sync.WaitGroup
	for shard := range shards {
		wg.Go(func() { do(shard) })
	}
	wg.Wait()
}

// Run advances the clock by d.
func (f *Fleet) Run(d time.Duration) {
	for end := f.Now + d; f.Now < end; {
		f.step()
	}
}

// RunUntil advances the clock until done, asked every interval, or for at most d.
func (f *Fleet) RunUntil(d, interval time.Duration, done func() bool) {
	for end := f.Now + d; f.Now < end && !done(); {
		f.Run(interval)
	}
}

func (f *Fleet) step() {
	f.Now += Step
	if f.platform != nil {
		f.sharePeers()
	}
	f.parallel(func(shard int) {
		for i := shard; i < len(f.Nodes); i += shards {
			f.runNode(f.Nodes[i])
		}
	})
	f.parallel(f.deliver)
	for i := range f.out {
		for j := range f.out[i] {
			clear(f.out[i][j])
			f.out[i][j] = f.out[i][j][:0]
		}
	}
}

// deliver moves what was sent to the nodes of one shard into their inboxes.
func (f *Fleet) deliver(shard int) {
	for from := range f.out {
		for _, e := range f.out[from][shard] {
			e.to.inbox = append(e.to.inbox, e)
		}
	}
}

func (f *Fleet) runNode(n *Node) {
	if n.Down || n.Frozen > f.Now {
		if n.Down {
			n.inbox = nil
		}
		return
	}
	if len(n.pending) > 0 {
		f.expire(n)
	}
	for _, e := range n.inbox {
		f.receive(n, e)
	}
	clear(n.inbox)
	n.inbox = n.inbox[:0]
	if n.next <= f.Now {
		n.next = f.Now + f.Cfg.TickInterval
		for _, a := range n.State.Tick(f.Now) {
			f.do(n, a)
		}
		if n.conf != nil {
			f.tickConf(n)
		}
	}
}

func (f *Fleet) do(n *Node, a member.Action) {
	switch a := a.(type) {
	case member.Exchange:
		n.calls++
		n.pending = append(n.pending, pending{n.calls, a.To, f.Now + a.Timeout})
		to := f.byAddr[a.To.ControlAddr]
		cost := a.Msg.Size() + requestText
		if to == nil || to.Down && !n.conns[a.To.ControlAddr] {
			f.spend(n, 2*packetHeader, 0) // an attempt to connect, perhaps refused
			return
		}
		opened := !n.conns[a.To.ControlAddr]
		if opened {
			f.spend(n, connCost, 0)
		}
		if opened && !a.Once {
			n.conns[a.To.ControlAddr] = true
		}
		f.spend(n, cost, 1)
		f.send(n, envelope{from: n, to: to, call: n.calls, peer: a.To, msg: a.Msg, opened: opened})
	case member.Disconnect:
		delete(n.conns, a.Peer.ControlAddr)
	}
}

// spend charges a message to a node.
func (f *Fleet) spend(n *Node, size, packets int) {
	if packets > 0 {
		size += (size + packetData - 1) / packetData * packetHeader
	}
	n.Bytes += int64(size)
	n.State.Spend(size)
}

func (f *Fleet) send(n *Node, e envelope) {
	if e.to == nil || e.to.Down || f.Loss > 0 && n.rng.Float64() < f.Loss || f.Cut != nil && f.Cut(n, e.to) {
		return
	}
	shard := n.index % shards
	f.out[shard][e.to.index%shards] = append(f.out[shard][e.to.index%shards], e)
}

// receive handles a message. Each end is charged one acknowledgement for what it
// reads, as the adapter's meter does.
func (f *Fleet) receive(n *Node, e envelope) {
	if f.receiveConf(n, e) {
		return
	}
	if e.reply {
		if !n.take(e.call) {
			return // too late
		}
		f.spend(n, e.msg.Size()+replyText+packetHeader, 1)
		n.State.HandleReply(f.Now, e.peer, e.msg)
		return
	}
	cost := e.msg.Size() + requestText + packetHeader
	if e.opened {
		cost += connCost
	}
	f.spend(n, cost, 1)
	r := n.State.HandleRequest(f.Now, e.msg)
	if r == nil {
		return
	}
	f.spend(n, r.Size()+replyText, 1)
	f.send(n, envelope{from: n, to: e.from, call: e.call, peer: e.peer, msg: r, reply: true})
}

// take removes a call that is under way.
func (n *Node) take(call uint32) bool {
	i := slices.IndexFunc(n.pending, func(p pending) bool { return p.call == call })
	if i < 0 {
		return false
	}
	n.pending = slices.Delete(n.pending, i, i+1)
	return true
}

// expire fails the calls that ran out of time. Their connections are given up,
// as the adapter does.
func (f *Fleet) expire(n *Node) {
	for len(n.pending) > 0 && n.pending[0].deadline <= f.Now {
		p := n.pending[0]
		n.pending = slices.Delete(n.pending, 0, 1)
		delete(n.conns, p.peer.ControlAddr)
		n.State.HandleFailure(f.Now, p.peer)
	}
}
