package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against members that start together and do not converge: each joins
// through the first few seeds, which know few others themselves.
func TestSimultaneousStartConverges(t *testing.T) {
	const convergeTime = 6 * time.Second
	for _, size := range []int{16, 96, 200} {
		t.Run(fmt.Sprintf("members=%d", size), func(t *testing.T) {
			net := newTestNet(DefaultConfig(), uint64(size))
			net.cfg.JoinRetryInterval, net.cfg.ExchangeTimeout = 150*time.Millisecond, 700*time.Millisecond
			const seedCount, startWindow = 16, 300 * time.Millisecond
			for i := range size {
				net.start(testRecord(i, "r", fmt.Sprintf("z%d", i%6)), net.nodes[:min(i, seedCount)]...)
				net.run(startWindow / time.Duration(size) / testDelay * testDelay)
			}
			net.run(convergeTime)
			minKnown := size
			for _, n := range net.nodes {
				minKnown = min(minKnown, countAlive(n))
			}
			if minKnown < size {
				t.Errorf("a member knows %d of %d after %v", minKnown, size, convergeTime)
			}
		})
	}
}

// countAlive counts the alive members whose records a node has.
func countAlive(n *testNode) int {
	count := 0
	n.s.Snapshot().All(func(m Member) bool {
		if m.Status == Alive {
			count++
		}
		return true
	})
	return count
}

// Guards against joining members that delay the gossip of a long-running one:
// it serves the state within its budget, and only a recently started one
// exceeds it.
func TestPullExceedsBudgetOnlyAfterStart(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 1)
	net.startCluster(30, oneRegion)
	net.run(5 * time.Second)
	n := net.nodes[3].s
	pull := func() *Message {
		n.Spend(1 << 20)
		return n.HandleRequest(net.Now, &Message{
			Kind: Pull, From: net.nodes[4].rec.ID, Status: Alive, Incarnation: 100, ReplyItemBytes: maxJoinFactor * uint32(net.cfg.MaxItemBytes),
		})
	}
	is.True(len(pull().Packed) > 0)
	net.run(net.cfg.CatchUpPeriod)
	is.Equal(len(pull().Packed), 0)
}

// Guards against members that continue to fetch the state at steady state.
func TestNoRefreshAtSteadyState(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 1)
	net.startCluster(30, oneRegion)
	net.run(net.cfg.CatchUpPeriod + 5*time.Second)
	for _, n := range net.nodes {
		n.s.join.refreshCount = 0
	}
	net.run(30 * time.Second)
	for _, n := range net.nodes {
		is.Equal(n.s.join.refreshCount, 0)
		is.True(!n.s.join.fetching)
	}
}

// Guards against members that start together and reject each other: all of them
// have overspent their budgets, and fetch the state again.
func TestRecentlyStartedMemberAcceptsJoins(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 1)
	net.startCluster(10, oneRegion)
	net.run(3 * time.Second)
	n := net.nodes[3].s
	rec := testRecord(99, "bkk", "z1")
	join := &Message{Kind: Join, From: rec.ID, Status: Alive, Incarnation: rec.Incarnation, Records: []*Record{&rec}}
	n.join.refreshing, n.join.fetching = true, true
	n.Spend(1 << 20)
	is.True(!n.HandleRequest(net.Now, join).Rejected)
	n.join.endFetch()
	net.run(net.cfg.CatchUpPeriod)
	n.Spend(1 << 20)
	is.True(n.HandleRequest(net.Now, join).Rejected) // a long-running member keeps to its budget
}

// Guards against each starting member fetching the state of a large fleet
// again.
func TestLargeFleetIsNotRefreshed(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{100, maxRefreshMembers + 1} {
		s := New(DefaultConfig(), testRecord(0, "bkk", "z"), rand.New(rand.NewPCG(1, 1)))
		var records []*Record
		for i := range size {
			rec := testRecord(i, "bkk", "z")
			records = append(records, &rec)
		}
		s.AddAlive(records)
		s.Tick(time.Second)
		is.Equal(s.join.refreshing, size <= maxRefreshMembers)
	}
}
