package member

import (
	"fmt"
	"math/rand/v2"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/simtime"
)

// testNet delivers the messages of several states under a virtual clock.
type testNet struct {
	simtime.Queue
	rng         *rand.Rand
	cfg         Config
	nodes       []*testNode
	byAddr      map[string]*testNode
	loss        float64                       // probability that a request or a reply is lost
	dup         float64                       // probability that a request arrives twice
	partitioned func(from, to *testNode) bool // nil: no partition
}

type testNode struct {
	s           *State
	rec         Record
	down        bool
	frozenUntil time.Duration
	nextTick    time.Duration
}

const testDelay = 10 * time.Millisecond

func newTestNet(cfg Config, seed uint64) *testNet {
	return &testNet{
		rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg,
		byAddr: make(map[string]*testNode),
	}
}

func testRecord(i int, region, zone string) Record {
	name := fmt.Sprintf("node-%d", i)
	return Record{
		ID: request.TargetIDOf(name), Name: name, Service: request.Service(fmt.Sprintf("svc%d.tenant", i%3)),
		Tenant: "tenant", Zone: zone, Region: region, Incarnation: 100,
		DataAddr: fmt.Sprintf("127.0.0.1:%d", 10000+i), ControlAddr: fmt.Sprintf("127.0.0.1:%d", 30000+i),
	}
}

// start adds a node that joins through the given seeds.
func (t *testNet) start(rec Record, seeds ...*testNode) *testNode {
	n := &testNode{rec: rec, nextTick: t.Now + time.Duration(t.rng.Int64N(int64(t.cfg.TickInterval)))}
	n.s = New(t.cfg, rec, rand.New(rand.NewPCG(uint64(rec.ID), uint64(rec.Incarnation))))
	var peers []Peer
	for _, p := range seeds {
		peers = append(peers, Peer{ControlAddr: p.rec.ControlAddr})
	}
	n.s.Join(peers, nil)
	t.nodes = append(t.nodes, n)
	t.byAddr[rec.ControlAddr] = n
	return n
}

func (t *testNet) startCluster(n int, region func(i int) string) {
	for i := range n {
		rec := testRecord(i, region(i), fmt.Sprintf("z%d", i%3))
		if i == 0 {
			t.start(rec)
		} else {
			t.start(rec, t.nodes[0])
		}
	}
}

// restart replaces a node's process by one with a higher incarnation.
func (t *testNet) restart(i int, seed *testNode) {
	old := t.nodes[i]
	old.down = true
	rec := old.rec
	rec.Incarnation += 10
	t.nodes = append(t.nodes[:i], t.nodes[i+1:]...)
	t.start(rec, seed)
}

// run advances the clock.
func (t *testNet) run(d time.Duration) {
	end := t.Now + d
	for t.Now < end {
		t.RunUntil(t.Now + testDelay)
		for _, n := range t.nodes {
			if !n.down && n.frozenUntil <= t.Now && n.nextTick <= t.Now {
				n.nextTick = t.Now + t.cfg.TickInterval
				t.runActions(n, n.s.Tick(t.Now))
			}
		}
	}
}

func (t *testNet) runActions(n *testNode, actions []Action) {
	for _, a := range actions {
		if x, ok := a.(Exchange); ok {
			t.exchange(n, x)
		}
	}
}

func (t *testNet) isDropped(from, to *testNode) bool {
	return to == nil || to.down || t.rng.Float64() < t.loss || t.partitioned != nil && t.partitioned(from, to)
}

func (t *testNet) exchange(n *testNode, x Exchange) {
	done := false
	finish := func(f func()) {
		if !done {
			done = true
			runWhenThawed(t, n, f)
		}
	}
	t.After(x.Timeout, func() { finish(func() { n.s.HandleFailure(t.Now, x.To) }) })
	to := t.byAddr[x.To.ControlAddr]
	if t.isDropped(n, to) {
		return
	}
	n.s.Spend(x.Msg.Size() + 150)
	copies := 1
	if t.rng.Float64() < t.dup {
		copies = 2
	}
	for range copies {
		t.After(testDelay, func() {
			runWhenThawed(t, to, func() {
				to.s.Spend(x.Msg.Size() + 150)
				r := to.s.HandleRequest(t.Now, x.Msg)
				if r == nil || t.isDropped(to, n) {
					return
				}
				to.s.Spend(r.Size() + 150)
				t.After(testDelay, func() {
					finish(func() { n.s.Spend(r.Size() + 150); n.s.HandleReply(t.Now, x.To, r) })
				})
			})
		})
	}
}

// runWhenThawed runs f as soon as the node is not frozen, unless it is down
// then.
func runWhenThawed(t *testNet, n *testNode, f func()) {
	switch {
	case n.down:
	case n.frozenUntil > t.Now:
		t.After(n.frozenUntil-t.Now, func() { runWhenThawed(t, n, f) })
	default:
		f()
	}
}

// difference returns the first difference between the states of nodes that are
// up, or "".
func (t *testNet) difference() string {
	var first *testNode
	for _, n := range t.nodes {
		if n.down {
			continue
		}
		if first == nil {
			first = n
		}
		if n.s.tab.root != first.s.tab.root {
			return fmt.Sprintf("%s and %s differ", first.rec.Name, n.rec.Name)
		}
		if len(n.s.missing.list) > 0 {
			return n.rec.Name + " lacks records"
		}
	}
	return ""
}

// status returns the status of b in the state of node a.
func (t *testNet) status(a, b *testNode) string {
	e := a.s.tab.get(b.rec.ID)
	if e == nil {
		return "unknown"
	}
	return e.status.String()
}
