package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/apply"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/port/porttest"
	"peardrift/internal/simtime"
)

func manyPeers(n, regions int) []Peer {
	peers := make([]Peer, n)
	for i := range peers {
		peers[i] = Peer{ID: request.TargetID(i + 1), Region: fmt.Sprintf("region-%d", i%regions)}
	}
	return peers
}

func TestTreeShape(t *testing.T) {
	cfg := DefaultConfig()
	for _, n := range []int{1, 2, 3, 10, 300, 5000} {
		is := is.New(t)
		peers := manyPeers(n, 1)
		order := treeOrdering(configset.Head{Tenant: "khaosan", Version: 7}, 0)
		parents := make(map[request.TargetID]request.TargetID)
		children := make(map[request.TargetID]int)
		for _, p := range peers {
			if up, ok := order.parent(cfg.Roots, cfg.Fanout, p.ID, peers); ok {
				is.True(order.position(up.ID) < order.position(p.ID)) // no cycles, whatever members each node knows
				parents[p.ID] = up.ID
				children[up.ID]++
			}
		}
		is.Equal(n-len(parents), min(n, cfg.Roots)) // all but the roots have a parent
		deepest, busiest := 0, 0
		for _, p := range peers {
			depth := 0
			for id, ok := p.ID, true; ok; depth++ {
				id, ok = parents[id]
			}
			deepest = max(deepest, depth)
			busiest = max(busiest, children[p.ID])
		}
		is.True(deepest <= 15)
		is.True(busiest <= cfg.MaxWaiters)
	}
}

// Guards against platform reads that grow with the number of nodes.
func TestPollerCountIsBounded(t *testing.T) {
	for _, n := range []int{1, 2, 50, 5000} {
		peers := manyPeers(n, 3)
		pollers := 0
		for _, p := range peers {
			if pollerOrdering("khaosan").isAmongFirst(DefaultConfig().Pollers, p.ID, peers) {
				pollers++
			}
		}
		is.New(t).Equal(pollers, min(n, DefaultConfig().Pollers))
	}
}

// fleet runs the states of many nodes on a virtual clock. A model of gossip
// exchanges heads between each node and gossipsPerSecond random others per
// second.
type fleet struct {
	rng *rand.Rand
	simtime.Queue
	peers            []Peer
	regionPeers      map[string][]Peer
	nodes            []*State
	heads            [][]configset.Head
	installedAt      []time.Duration         // when the last version was installed
	installedVersion []int64                 // version in force
	nodesWith        map[int64]int           // by version: number of nodes with that version or a newer one in force
	completeAt       map[int64]time.Duration // by version: when that covered all nodes
	trafficBytes     []int
	asks             map[uint64]func(Reply)
	lastAskID        uint64
	objectReads      int
	loss             float64
	store            *apply.Store
}

const (
	gossipsPerSecond = 2
	tickInterval     = 100 * time.Millisecond
	intraRegionDelay = 1500 * time.Microsecond
	interRegionDelay = 80 * time.Millisecond // one way
	platformRTT      = 10 * time.Millisecond
	headerBytes      = 80 // TCP/IP and RPC header bytes per message
)

func newFleet(cfg Config, n int, loss float64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(1, 2)), peers: manyPeers(n, 3), regionPeers: make(map[string][]Peer),
		heads: make([][]configset.Head, n), installedAt: make([]time.Duration, n), trafficBytes: make([]int, n),
		asks: make(map[uint64]func(Reply)), loss: loss,
		installedVersion: make([]int64, n), nodesWith: make(map[int64]int), completeAt: make(map[int64]time.Duration),
		store: apply.New(porttest.NewTable(), porttest.NewObjects(), apply.DefaultConfig()),
	}
	for _, p := range f.peers {
		f.regionPeers[p.Region] = append(f.regionPeers[p.Region], p)
	}
	for i, p := range f.peers {
		s := New(cfg, p, rand.New(rand.NewPCG(3, uint64(i))), 0)
		s.SetPeers(f.peers, f.regionPeers[p.Region], true)
		f.nodes = append(f.nodes, s)
		f.repeat(tickInterval, func() { f.execute(i, s.Tick(f.Now)) })
		f.repeat(time.Second/gossipsPerSecond, func() { f.gossip(i, f.rng.IntN(n)) })
	}
	return f
}

// repeat runs g at interval d with a random phase.
func (f *fleet) repeat(d time.Duration, g func()) {
	var again func()
	again = func() {
		g()
		f.After(d, again)
	}
	f.After(time.Duration(f.rng.Int64N(int64(d))), again)
}

func (f *fleet) runUntil(until time.Duration) {
	f.RunUntil(until)
}

// send delivers a message between nodes, unless it is lost.
func (f *fleet) send(from, to, size int, g func()) {
	f.trafficBytes[from] += size + headerBytes
	if f.rng.Float64() < f.loss {
		return
	}
	d := intraRegionDelay
	if f.peers[from].Region != f.peers[to].Region {
		d = interRegionDelay
	}
	f.After(d, func() {
		f.trafficBytes[to] += size + headerBytes
		g()
	})
}

// recordInstall records that a version and all earlier ones are in force on a
// node.
func (f *fleet) recordInstall(i int, version int64) {
	f.installedAt[i] = f.Now
	for v := version; v > 0 && f.installedVersion[i] < v; v-- {
		if f.nodesWith[v]++; f.nodesWith[v] == len(f.nodes) {
			f.completeAt[v] = f.Now
		}
	}
	f.installedVersion[i] = version
}

func (f *fleet) gossip(a, b int) {
	if f.rng.Float64() < f.loss {
		return
	}
	for _, h := range slices.Clone(f.heads[a]) {
		f.execute(b, f.nodes[b].Learn(f.Now, h))
	}
	for _, h := range slices.Clone(f.heads[b]) {
		f.execute(a, f.nodes[a].Learn(f.Now, h))
	}
}

func sizeOf(v any) int {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}

func (f *fleet) execute(i int, actions []Action) {
	ctx, s := context.Background(), f.nodes[i]
	for _, a := range actions {
		switch a := a.(type) {
		case AskPeer:
			j := int(a.To.ID) - 1
			f.send(i, j, sizeOf(a.Ask), func() {
				f.lastAskID++
				f.asks[f.lastAskID] = func(r Reply) {
					f.send(j, i, sizeOf(r), func() { f.execute(i, s.HandleReply(f.Now, a.ID, r)) })
				}
				f.execute(j, f.nodes[j].HandleAsk(f.Now, f.lastAskID, a.Ask))
			})
		case Answer:
			reply := f.asks[a.ID]
			delete(f.asks, a.ID)
			reply(a.Reply)
		case Install:
			f.recordInstall(i, a.Head.Version)
		case GossipHead:
			f.heads[i] = []configset.Head{a.Head}
		case LoadObject:
			f.objectReads++
			f.After(platformRTT, func() {
				body, _ := f.store.Body(ctx, a.Head.Tenant, a.Head.Digest)
				f.execute(i, s.HandleLoaded(f.Now, a.ID, body))
			})
		case ReadHead:
			f.After(platformRTT, func() {
				r, _ := f.store.Head(ctx, a.Tenant)
				f.execute(i, s.HandleHead(f.Now, a.ID, configset.Head{Tenant: r.Tenant, Version: r.Version, Digest: r.Digest}))
			})
		case ReadTenants:
			f.After(platformRTT, func() {
				tenants, _, _ := f.store.Tenants(ctx)
				f.execute(i, s.HandleTenants(f.Now, a.ID, tenants))
			})
		}
	}
}

// BenchmarkSpread reports how long after an apply a version is in force on 50%,
// 99% and all nodes, the bytes sent and received per node, and the reads of the
// platform. No operator's tool hints: the pollers notice the change.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{100, 1000, 14000} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("nodes=%d/loss=%g", n, loss), func(b *testing.B) {
				for b.Loop() {
					benchmarkSpread(b, DefaultConfig(), n, loss)
				}
			})
		}
	}
}

// BenchmarkFanout compares the fanouts of the tree.
func BenchmarkFanout(b *testing.B) {
	for _, fanout := range []int{2, 3, 4, 8} {
		b.Run(fmt.Sprintf("fanout=%d", fanout), func(b *testing.B) {
			cfg := DefaultConfig()
			cfg.Fanout = fanout
			for b.Loop() {
				benchmarkSpread(b, cfg, 3000, 0.05)
			}
		})
	}
}

// realisticSet has enough services for a delta to be smaller than the whole
// set.
func realisticSet() configset.Set {
	set := testSet("khaosan", 2)
	for i := range 20 {
		svc := set.Services[0]
		svc.Name = fmt.Sprintf("service-%d", i)
		set.Services = append(set.Services, svc)
	}
	return set
}

func (f *fleet) apply(b *testing.B, set configset.Set, base int64) {
	if _, err := f.store.Apply(context.Background(), set, base, "ada"); err != nil {
		b.Fatal(err)
	}
}

func benchmarkSpread(b *testing.B, cfg Config, n int, loss float64) {
	const start, applied, end = 60 * time.Second, 90 * time.Second, 130 * time.Second
	f := newFleet(cfg, n, loss)
	set := realisticSet()
	f.runUntil(start)
	f.apply(b, set, 0)
	f.runUntil(applied)
	clear(f.trafficBytes)
	f.objectReads = 0
	reads := f.tableReads()
	set.Services[3].Slots = 3
	f.apply(b, set, 1)
	f.runUntil(end)
	if f.nodesWith[2] < n {
		b.Fatalf("version 2 is in force on %d of %d nodes", f.nodesWith[2], n)
	}
	took := make([]float64, n)
	for i := range took {
		took[i] = (f.installedAt[i] - applied).Seconds()
	}
	slices.Sort(took)
	b.ReportMetric(took[n/2], "s-to-50%")
	b.ReportMetric(took[n*99/100], "s-to-99%")
	b.ReportMetric(took[n-1], "s-to-all")
	b.ReportMetric(float64(f.totalBytes())/float64(n), "B/node")
	b.ReportMetric(float64(slices.Max(f.trafficBytes)), "B/node-max")
	b.ReportMetric(float64(f.objectReads), "object-reads")
	b.ReportMetric(float64(f.tableReads()-reads)/(end-applied).Seconds(), "table-reads/s")
}

// BenchmarkBusyMinute applies changes for a minute at ten times the mean rate
// of 20,000 changes a day, all to one tenant, and reports the longest time
// until a change is in force everywhere and the cost of that minute.
func BenchmarkBusyMinute(b *testing.B) {
	const start, minute = 90 * time.Second, time.Minute
	const changes = 139 // 10 * 20,000 / 1440
	for _, n := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(DefaultConfig(), n, 0)
				set := realisticSet()
				f.apply(b, set, 0)
				f.runUntil(start)
				clear(f.trafficBytes)
				f.objectReads = 0
				applied := make(map[int64]time.Duration)
				for i := range changes {
					set.Services[2+i%20].Slots = i + 10
					f.apply(b, set, int64(i+1))
					applied[int64(i+2)] = f.Now
					f.runUntil(start + minute*time.Duration(i+1)/changes)
				}
				inMinute, busiest := f.totalBytes(), slices.Max(f.trafficBytes)
				f.runUntil(start + 2*minute)
				longest := time.Duration(0)
				for v, at := range applied {
					if f.completeAt[v] == 0 {
						b.Fatalf("version %d is in force on %d of %d nodes", v, f.nodesWith[v], n)
					}
					longest = max(longest, f.completeAt[v]-at)
				}
				b.ReportMetric(longest.Seconds(), "s-to-all-max")
				b.ReportMetric(float64(inMinute)/float64(n)/minute.Seconds(), "B/s/node")
				b.ReportMetric(float64(busiest)/minute.Seconds(), "B/s/node-max")
				b.ReportMetric(float64(f.objectReads)/minute.Seconds(), "object-reads/s")
			}
		})
	}
}

func (f *fleet) totalBytes() int {
	sum := 0
	for _, n := range f.trafficBytes {
		sum += n
	}
	return sum
}

func (f *fleet) tableReads() int {
	total := 0
	for _, s := range f.nodes {
		total += s.stats.Reads
	}
	return total
}
