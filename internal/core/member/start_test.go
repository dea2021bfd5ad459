package member

import (
	"fmt"
	"math/rand/v2"
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

// Guards against members that start together and send each other away: all of them are
// in debt, and fetch the state again.
func TestAMemberThatHasJustStartedLetsOthersIn(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 1)
	net.cluster(10, oneRegion)
	net.run(3 * time.Second)
	n := net.nodes[3].s
	rec := testRecord(99, "bkk", "z1")
	join := &Message{Kind: Join, From: rec.ID, Status: Alive, Incarnation: rec.Incarnation, Records: []*Record{&rec}}
	n.join.again, n.join.fetching = true, true
	n.Spend(1 << 20)
	is.True(!n.HandleRequest(net.Now, join).Full)
	n.join.end()
	net.run(net.cfg.CatchUp)
	n.Spend(1 << 20)
	is.True(n.HandleRequest(net.Now, join).Full) // one that has long been there keeps to its budget
}

// Guards against a large fleet's state being fetched again by each member that starts.
func TestTheStateOfALargeFleetIsNotFetchedAgain(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{100, maxRefreshed + 1} {
		s := New(DefaultConfig(), testRecord(0, "bkk", "z"), rand.New(rand.NewPCG(1, 1)))
		var records []*Record
		for i := range size {
			rec := testRecord(i, "bkk", "z")
			records = append(records, &rec)
		}
		s.Load(records)
		s.Tick(time.Second)
		is.Equal(s.join.again, size <= maxRefreshed)
	}
}
