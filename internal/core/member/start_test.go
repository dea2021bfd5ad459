package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against members that start together and stay strangers: each joins through
// what the first few offered, when those knew of few others themselves.
func TestFleetThatStartsAtOnceKnowsItself(t *testing.T) {
	const catchUp = 6 * time.Second
	for _, size := range []int{16, 96, 200} {
		t.Run(fmt.Sprintf("members=%d", size), func(t *testing.T) {
			net := newTestNet(DefaultConfig(), uint64(size))
			net.cfg.JoinRetry, net.cfg.CallTimeout = 150*time.Millisecond, 700*time.Millisecond
			const offered, over = 16, 300 * time.Millisecond
			for i := range size {
				net.start(testRecord(i, "r", fmt.Sprintf("z%d", i%6)), net.nodes[:min(i, offered)]...)
				net.run(over / time.Duration(size) / testDelay * testDelay)
			}
			net.run(catchUp)
			least := size
			for _, n := range net.nodes {
				least = min(least, known(n))
			}
			if least < size {
				t.Errorf("a member knows %d of %d after %v", least, size, catchUp)
			}
		})
	}
}

// known counts the members whose records a node has.
func known(n *testNode) int {
	c := 0
	n.s.Snapshot().All(func(m Member) bool {
		if m.Status == Alive {
			c++
		}
		return true
	})
	return c
}

// Guards against members that join holding up the news of one that has long been there:
// it gives the state within its budget, and only one that has just started beyond it.
func TestTheStateIsGivenBeyondTheBudgetOnlyAfterAStart(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 1)
	net.cluster(30, oneRegion)
	net.run(5 * time.Second)
	n := net.nodes[3].s
	pull := func() *Message {
		n.Spend(1 << 20)
		return n.HandleRequest(net.Now, &Message{
			Kind: Pull, From: net.nodes[4].rec.ID, Status: Alive, Incarnation: 100, Room: maxJoin * uint32(net.cfg.MaxItems),
		})
	}
	is.True(len(pull().Packed) > 0)
	net.run(net.cfg.CatchUp)
	is.Equal(len(pull().Packed), 0)
}

// Guards against a fleet at rest whose members go on fetching the state.
func TestTheStateIsNotFetchedAgainAtRest(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 1)
	net.cluster(30, oneRegion)
	net.run(net.cfg.CatchUp + 5*time.Second)
	for _, n := range net.nodes {
		n.s.join.refreshes = 0
	}
	net.run(30 * time.Second)
	for _, n := range net.nodes {
		is.Equal(n.s.join.refreshes, 0)
		is.True(!n.s.join.fetching)
	}
}
