package inforce

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
	"peardrift/internal/core/confset"
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

func TestTree(t *testing.T) {
	cfg := DefaultConfig()
	for _, n := range []int{1, 2, 3, 10, 300, 5000} {
		is := is.New(t)
		peers := manyPeers(n, 1)
		order := treeOf(confset.Head{Tenant: "khaosan", Version: 7}, 0)
		parents := make(map[request.TargetID]request.TargetID)
		children := make(map[request.TargetID]int)
		for _, p := range peers {
			if up, ok := order.parent(cfg.Roots, cfg.Fanout, p.ID, peers); ok {
				is.True(order.position(up.ID) < order.position(p.ID)) // no circles, whatever each knows
				parents[p.ID] = up.ID
				children[up.ID]++
			}
		}
		is.Equal(n-len(parents), min(n, cfg.Roots)) // all but the roots have one
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

// The reads of the platform do not grow with the number of nodes.
func TestPollersAreFew(t *testing.T) {
	for _, n := range []int{1, 2, 50, 5000} {
		peers := manyPeers(n, 3)
		pollers := 0
		for _, p := range peers {
			if pollersOf("khaosan").among(DefaultConfig().Pollers, p.ID, peers) {
				pollers++
			}
		}
		is.New(t).Equal(pollers, min(n, DefaultConfig().Pollers))
	}
}

// fleet steps the states of many nodes under a virtual clock. Heads are gossiped
// by a model: each node exchanges what it knows with exchanges others a second.
type fleet struct {
	rng *rand.Rand
	simtime.Queue
	peers  []Peer
	near   map[string][]Peer
	nodes  []*State
	heads  [][]confset.Head
	inForc []time.Duration         // when the last version came into force
	have   []int64                 // version in force
	holds  map[int64]int           // version: nodes that have it or a newer one in force
	whole  map[int64]time.Duration // version: when that was so everywhere
	bytes  []int
	asks   map[uint64]func(Reply)
	asked  uint64
	loads  int
	loss   float64
	store  *apply.Store
}

const (
	exchanges   = 2
	tickEvery   = 100 * time.Millisecond
	oneWay      = 1500 * time.Microsecond
	between     = 80 * time.Millisecond // one way between regions
	platformRTT = 10 * time.Millisecond
	overhead    = 80 // bytes of TCP/IP and RPC headers of a message
)

func newFleet(cfg Config, n int, loss float64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(1, 2)), peers: manyPeers(n, 3), near: make(map[string][]Peer),
		heads: make([][]confset.Head, n), inForc: make([]time.Duration, n), bytes: make([]int, n),
		asks: make(map[uint64]func(Reply)), loss: loss,
		have: make([]int64, n), holds: make(map[int64]int), whole: make(map[int64]time.Duration),
		store: apply.New(porttest.NewTable(), porttest.NewObjects(), apply.DefaultConfig()),
	}
	for _, p := range f.peers {
		f.near[p.Region] = append(f.near[p.Region], p)
	}
	for i, p := range f.peers {
		s := New(cfg, p, rand.New(rand.NewPCG(3, uint64(i))), 0)
		s.SetPeers(f.peers, f.near[p.Region], true)
		f.nodes = append(f.nodes, s)
		f.every(tickEvery, func() { f.do(i, s.Tick(f.Now)) })
		f.every(time.Second/exchanges, func() { f.gossip(i, f.rng.IntN(n)) })
	}
	return f
}

// every repeats g with a random phase.
func (f *fleet) every(d time.Duration, g func()) {
	var again func()
	again = func() {
		g()
		f.After(d, again)
	}
	f.After(time.Duration(f.rng.Int64N(int64(d))), again)
}

func (f *fleet) run(until time.Duration) {
	f.RunUntil(until)
}

// send delivers from one node to another, unless the message is lost.
func (f *fleet) send(from, to, size int, g func()) {
	f.bytes[from] += size + overhead
	if f.rng.Float64() < f.loss {
		return
	}
	d := oneWay
	if f.peers[from].Region != f.peers[to].Region {
		d = between
	}
	f.After(d, func() {
		f.bytes[to] += size + overhead
		g()
	})
}

// installed notes that a version and all before it are in force on a node.
func (f *fleet) installed(i int, version int64) {
	f.inForc[i] = f.Now
	for v := version; v > 0 && f.have[i] < v; v-- {
		if f.holds[v]++; f.holds[v] == len(f.nodes) {
			f.whole[v] = f.Now
		}
	}
	f.have[i] = version
}

func (f *fleet) gossip(a, b int) {
	if f.rng.Float64() < f.loss {
		return
	}
	for _, h := range slices.Clone(f.heads[a]) {
		f.do(b, f.nodes[b].Learn(f.Now, h))
	}
	for _, h := range slices.Clone(f.heads[b]) {
		f.do(a, f.nodes[a].Learn(f.Now, h))
	}
}

func sizeOf(v any) int {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}

func (f *fleet) do(i int, actions []Action) {
	ctx, s := context.Background(), f.nodes[i]
	for _, a := range actions {
		switch a := a.(type) {
		case AskPeer:
			j := int(a.To.ID) - 1
			f.send(i, j, sizeOf(a.Ask), func() {
				f.asked++
				f.asks[f.asked] = func(r Reply) {
					f.send(j, i, sizeOf(r), func() { f.do(i, s.HandleReply(f.Now, a.ID, r)) })
				}
				f.do(j, f.nodes[j].HandleAsk(f.Now, f.asked, a.Ask))
			})
		case Answer:
			reply := f.asks[a.ID]
			delete(f.asks, a.ID)
			reply(a.Reply)
		case Install:
			f.installed(i, a.Head.Version)
		case Spread:
			f.heads[i] = []confset.Head{a.Head}
		case LoadObject:
			f.loads++
			f.After(platformRTT, func() {
				body, _ := f.store.Body(ctx, a.Head.Tenant, a.Head.Digest)
				f.do(i, s.HandleLoaded(f.Now, a.ID, body))
			})
		case ReadHead:
			f.After(platformRTT, func() {
				r, _ := f.store.Head(ctx, a.Tenant)
				f.do(i, s.HandleHead(f.Now, a.ID, confset.Head{Tenant: r.Tenant, Version: r.Version, Digest: r.Digest}))
			})
		case ReadTenants:
			f.After(platformRTT, func() {
				tenants, _, _ := f.store.Tenants(ctx)
				f.do(i, s.HandleTenants(f.Now, a.ID, tenants))
			})
		}
	}
}

// BenchmarkSpread prints how long after an apply a version is in force on 50%,
// 99% and all nodes, what the change cost a node in bytes sent and received, and
// what it cost the platform. No operator's tool hints: the pollers notice.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{100, 1000, 14000} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("nodes=%d/loss=%g", n, loss), func(b *testing.B) {
				for b.Loop() {
					spread(b, DefaultConfig(), n, loss)
				}
			})
		}
	}
}

// BenchmarkFanout weighs the shape of the tree.
func BenchmarkFanout(b *testing.B) {
	for _, fanout := range []int{2, 3, 4, 8} {
		b.Run(fmt.Sprintf("fanout=%d", fanout), func(b *testing.B) {
			cfg := DefaultConfig()
			cfg.Fanout = fanout
			for b.Loop() {
				spread(b, cfg, 3000, 0.05)
			}
		})
	}
}

// realisticSet has enough services that a delta beats the whole set.
func realisticSet() confset.Set {
	set := testSet("khaosan", 2)
	for i := range 20 {
		svc := set.Services[0]
		svc.Name = fmt.Sprintf("service-%d", i)
		set.Services = append(set.Services, svc)
	}
	return set
}

func (f *fleet) apply(b *testing.B, set confset.Set, base int64) {
	if _, err := f.store.Apply(context.Background(), set, base, "ada"); err != nil {
		b.Fatal(err)
	}
}

func spread(b *testing.B, cfg Config, n int, loss float64) {
	const start, applied, end = 60 * time.Second, 90 * time.Second, 130 * time.Second
	f := newFleet(cfg, n, loss)
	set := realisticSet()
	f.run(start)
	f.apply(b, set, 0)
	f.run(applied)
	clear(f.bytes)
	f.loads = 0
	reads := f.reads()
	set.Services[3].Slots = 3
	f.apply(b, set, 1)
	f.run(end)
	if f.holds[2] < n {
		b.Fatalf("in force on %d of %d nodes", f.holds[2], n)
	}
	took := make([]float64, n)
	for i := range took {
		took[i] = (f.inForc[i] - applied).Seconds()
	}
	slices.Sort(took)
	b.ReportMetric(took[n/2], "s-to-50%")
	b.ReportMetric(took[n*99/100], "s-to-99%")
	b.ReportMetric(took[n-1], "s-to-all")
	b.ReportMetric(float64(f.total())/float64(n), "B/node")
	b.ReportMetric(float64(slices.Max(f.bytes)), "B/node-max")
	b.ReportMetric(float64(f.loads), "object-reads")
	b.ReportMetric(float64(f.reads()-reads)/(end-applied).Seconds(), "table-reads/s")
}

// BenchmarkBusyMinute applies ten times the mean rate of 20,000 changes a day
// for a minute, all to one tenant, and prints the longest time until a change
// was in force everywhere and what the minute cost.
func BenchmarkBusyMinute(b *testing.B) {
	const start, minute = 90 * time.Second, time.Minute
	const changes = 139 // 10 * 20,000 / 1440
	for _, n := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(DefaultConfig(), n, 0)
				set := realisticSet()
				f.apply(b, set, 0)
				f.run(start)
				clear(f.bytes)
				f.loads = 0
				applied := make(map[int64]time.Duration)
				for i := range changes {
					set.Services[2+i%20].Slots = i + 10
					f.apply(b, set, int64(i+1))
					applied[int64(i+2)] = f.Now
					f.run(start + minute*time.Duration(i+1)/changes)
				}
				inMinute, busiest := f.total(), slices.Max(f.bytes)
				f.run(start + 2*minute)
				longest := time.Duration(0)
				for v, at := range applied {
					if f.whole[v] == 0 {
						b.Fatalf("version %d is in force on %d of %d nodes", v, f.holds[v], n)
					}
					longest = max(longest, f.whole[v]-at)
				}
				b.ReportMetric(longest.Seconds(), "s-to-all-max")
				b.ReportMetric(float64(inMinute)/float64(n)/minute.Seconds(), "B/s/node")
				b.ReportMetric(float64(busiest)/minute.Seconds(), "B/s/node-max")
				b.ReportMetric(float64(f.loads)/minute.Seconds(), "object-reads/s")
			}
		})
	}
}

func (f *fleet) total() int {
	sum := 0
	for _, n := range f.bytes {
		sum += n
	}
	return sum
}

func (f *fleet) reads() int {
	total := 0
	for _, s := range f.nodes {
		total += s.stats.Reads
	}
	return total
}
