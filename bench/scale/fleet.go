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

// Step is the time increment of the virtual clock and the one-way delay of a message.
const Step = 20 * time.Millisecond

// shards is fixed, so that results don't depend on the number of CPUs.
const shards = 8

// Message overhead in bytes, equal to that of the rpc adapter's meter: headers of a
// packet, opening and closing of a connection, and net/rpc's own fields.
const (
	packetHeader       = 52
	maxSegmentSize     = 1448
	connectionCost     = 7*packetHeader + 16
	rpcRequestOverhead = 20
	rpcReplyOverhead   = 4
)

// Fleet is a set of members and the network between them.
type Fleet struct {
	Cfg   member.Config
	Nodes []*Node
	Now   time.Duration
	Loss  float64 // probability that a request or a reply is lost
	// Partitioned, if set, reports whether two nodes can't reach each other.
	Partitioned func(from, to *Node) bool

	byAddr       map[string]*Node
	outbox       [shards][shards][]envelope
	regions      []string
	zones        []string
	serviceCount int
	rng          *rand.Rand

	platform *platform // nil unless the nodes have a configuration
	shared   sharedPeers
}

// Node is a member with its connections.
type Node struct {
	State  *member.State
	Record member.Record
	Down   bool
	Frozen time.Duration // the node does nothing until then
	Bytes  int64         // sent and received, including headers

	index        int
	rng          *rand.Rand
	nextTick     time.Duration
	inbox        []envelope
	pendingCalls []pendingCall
	lastCallID   uint32
	conns        map[string]bool
	config       *nodeConfig // nil unless the fleet was configured
}

type envelope struct {
	from, to *Node
	callID   uint32
	peer     member.Peer // as the caller addressed it
	msg      *member.Message
	reply    bool
	newConn  bool // the message opened a new connection

	// Configuration asks and their answers, see config.go.
	ask    *configsync.Ask
	answer *configsync.Reply
	askID  uint64
	size   int
}

type pendingCall struct {
	callID   uint32
	peer     member.Peer
	deadline time.Duration
}

// Layout is the size of a fleet and its distribution.
type Layout struct {
	Members  int
	Regions  int
	Zones    int // total over all regions
	Services int
}

// TargetLayout returns the layout of the capacity goal, which is 760 services on 14000
// members, scaled to a number of members.
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
	f.serviceCount = l.Services
	records := make([]*member.Record, l.Members)
	for i := range records {
		r := f.Record(i)
		records[i] = &r
	}
	sorted := slices.SortedFunc(slices.Values(records), func(a, b *member.Record) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range records {
		f.Add(*r)
	}
	f.forEachNode(func(n *Node) { n.State.AddAlive(sorted) })
	return f
}

// Record returns the record of the i-th instance.
func (f *Fleet) Record(i int) member.Record {
	zone := i % len(f.zones)
	name := fmt.Sprintf("instance-%05d", i)
	service := i / len(f.zones) % f.serviceCount
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

// Add starts a node that knows no other members.
func (f *Fleet) Add(r member.Record) *Node {
	n := &Node{
		Record: r, index: len(f.Nodes), conns: make(map[string]bool),
		rng: rand.New(rand.NewPCG(uint64(r.ID), uint64(r.Incarnation))),
	}
	n.State = member.New(f.Cfg, r, n.rng)
	n.nextTick = f.Now + time.Duration(n.rng.Int64N(int64(f.Cfg.TickInterval)))
	f.Nodes = append(f.Nodes, n)
	f.byAddr[r.ControlAddr] = n
	return n
}

// forEachNode runs do for every node, with the shards in parallel.
func (f *Fleet) forEachNode(do func(*Node)) {
	f.forEachShard(func(shard int) {
		for i := shard; i < len(f.Nodes); i += shards {
			do(f.Nodes[i])
		}
	})
}

func (f *Fleet) forEachShard(do func(shard int)) {
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

// RunUntil advances the clock until done returns true, or by at most d. It calls done
// after every interval.
func (f *Fleet) RunUntil(d, interval time.Duration, done func() bool) {
	for end := f.Now + d; f.Now < end && !done(); {
		f.Run(interval)
	}
}

func (f *Fleet) step() {
	f.Now += Step
	if f.platform != nil {
		f.updateSharedPeers()
	}
	f.forEachShard(func(shard int) {
		for i := shard; i < len(f.Nodes); i += shards {
			f.runNode(f.Nodes[i])
		}
	})
	f.forEachShard(f.deliver)
	for i := range f.outbox {
		for j := range f.outbox[i] {
			clear(f.outbox[i][j])
			f.outbox[i][j] = f.outbox[i][j][:0]
		}
	}
}

// deliver moves the messages for the nodes of one shard into their inboxes.
func (f *Fleet) deliver(shard int) {
	for from := range f.outbox {
		for _, e := range f.outbox[from][shard] {
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
	if len(n.pendingCalls) > 0 {
		f.expireCalls(n)
	}
	for _, e := range n.inbox {
		f.receive(n, e)
	}
	clear(n.inbox)
	n.inbox = n.inbox[:0]
	if n.nextTick <= f.Now {
		n.nextTick = f.Now + f.Cfg.TickInterval
		for _, a := range n.State.Tick(f.Now) {
			f.applyAction(n, a)
		}
		if n.config != nil {
			f.tickConfig(n)
		}
	}
}

func (f *Fleet) applyAction(n *Node, a member.Action) {
	switch a := a.(type) {
	case member.Exchange:
		n.lastCallID++
		n.pendingCalls = append(n.pendingCalls, pendingCall{n.lastCallID, a.To, f.Now + a.Timeout})
		to := f.byAddr[a.To.ControlAddr]
		cost := a.Msg.Size() + rpcRequestOverhead
		if to == nil || to.Down && !n.conns[a.To.ControlAddr] {
			f.charge(n, 2*packetHeader, 0) // a connection attempt without success
			return
		}
		opened := !n.conns[a.To.ControlAddr]
		if opened {
			f.charge(n, connectionCost, 0)
		}
		if opened && !a.Once {
			n.conns[a.To.ControlAddr] = true
		}
		f.charge(n, cost, 1)
		f.send(n, envelope{from: n, to: to, callID: n.lastCallID, peer: a.To, msg: a.Msg, newConn: opened})
	case member.Disconnect:
		delete(n.conns, a.Peer.ControlAddr)
	}
}

// charge counts a message's bytes for a node, with packet headers if it has packets.
func (f *Fleet) charge(n *Node, size, packets int) {
	if packets > 0 {
		size += (size + maxSegmentSize - 1) / maxSegmentSize * packetHeader
	}
	n.Bytes += int64(size)
	n.State.Spend(size)
}

func (f *Fleet) send(n *Node, e envelope) {
	if e.to == nil || e.to.Down || f.Loss > 0 && n.rng.Float64() < f.Loss || f.Partitioned != nil && f.Partitioned(n, e.to) {
		return
	}
	shard := n.index % shards
	f.outbox[shard][e.to.index%shards] = append(f.outbox[shard][e.to.index%shards], e)
}

// receive handles a message. Each side is charged one TCP acknowledgement for what it
// reads, as in the rpc adapter's meter.
func (f *Fleet) receive(n *Node, e envelope) {
	if f.receiveConfig(n, e) {
		return
	}
	if e.reply {
		if !n.removePending(e.callID) {
			return // already timed out
		}
		f.charge(n, e.msg.Size()+rpcReplyOverhead+packetHeader, 1)
		n.State.HandleReply(f.Now, e.peer, e.msg)
		return
	}
	cost := e.msg.Size() + rpcRequestOverhead + packetHeader
	if e.newConn {
		cost += connectionCost
	}
	f.charge(n, cost, 1)
	r := n.State.HandleRequest(f.Now, e.msg)
	if r == nil {
		return
	}
	f.charge(n, r.Size()+rpcReplyOverhead, 1)
	f.send(n, envelope{from: n, to: e.from, callID: e.callID, peer: e.peer, msg: r, reply: true})
}

// removePending removes a pending call. It reports false if there is none with this ID.
func (n *Node) removePending(call uint32) bool {
	i := slices.IndexFunc(n.pendingCalls, func(p pendingCall) bool { return p.callID == call })
	if i < 0 {
		return false
	}
	n.pendingCalls = slices.Delete(n.pendingCalls, i, i+1)
	return true
}

// expireCalls fails the calls that timed out and drops their connections, as the rpc
// adapter does.
func (f *Fleet) expireCalls(n *Node) {
	for len(n.pendingCalls) > 0 && n.pendingCalls[0].deadline <= f.Now {
		p := n.pendingCalls[0]
		n.pendingCalls = slices.Delete(n.pendingCalls, 0, 1)
		delete(n.conns, p.peer.ControlAddr)
		n.State.HandleFailure(f.Now, p.peer)
	}
}
