package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

// deaths returns how many deaths the nodes declared.
func (t *testNet) deaths() (n uint64) {
	for _, node := range t.nodes {
		n += node.s.Stats().Deaths
	}
	return n
}

// restingNet returns a net of members that know each other.
func restingNet(n int, region func(int) string) *testNet {
	net := newTestNet(DefaultConfig(), 9)
	net.cluster(n, region)
	net.run(30 * time.Second)
	return net
}

// TestCutOffNodeCondemnsNobody: symptom: one machine's network fails, and its
// peers vanish from all views. Events: a node can reach nobody for minutes, then
// it can again. Cause: it took the silence of all others for their deaths, and
// told them so.
func TestCutOffNodeCondemnsNobody(t *testing.T) {
	is := is.New(t)
	net := restingNet(20, oneRegion)
	alone := net.nodes[3]
	net.cut = func(a, b *testNode) bool { return a == alone || b == alone }
	net.run(3 * time.Minute)
	is.Equal(alone.s.Stats().Deaths, uint64(0))
	net.cut = nil
	net.run(time.Minute)
	is.Equal(net.disagree(), "")
	for _, n := range net.nodes {
		is.True(n == alone || n.s.Stats().Refutations == 0)
		is.Equal(net.status(n, alone), "alive")
	}
}

// TestSomeObserversCutOff: symptom: a member that most can reach is dropped by
// all. Events: two of its observers can't reach it, the others can. Cause: the
// two votes suffice, and nobody is asked who hears it.
func TestSomeObserversCutOff(t *testing.T) {
	is := is.New(t)
	net := restingNet(20, oneRegion)
	subject := net.nodes[7]
	observers := subject.s.neighbours(subject.rec.ID, "bkk", true)
	is.Equal(len(observers), 4)
	net.cut = func(a, b *testNode) bool {
		for _, id := range observers[:2] {
			if a == subject && b.rec.ID == id || b == subject && a.rec.ID == id {
				return true
			}
		}
		return false
	}
	net.run(3 * time.Minute)
	is.Equal(net.deaths(), uint64(0))
}

// TestPauseIsNotSilence: symptom: a node that was paused suspects all its
// subjects. Events: its process stands still for 30 s and goes on. Cause: it
// takes the time in which it didn't listen for their silence.
func TestPauseIsNotSilence(t *testing.T) {
	is := is.New(t)
	net := restingNet(20, oneRegion)
	n := net.nodes[5]
	before := n.s.Stats().Suspicions
	n.frozen = net.Now + 30*time.Second
	net.run(45 * time.Second)
	is.Equal(n.s.Stats().Pauses, uint64(1))
	is.Equal(n.s.Stats().Suspicions, before)
	is.Equal(net.status(net.nodes[0], n), "alive") // it was declared dead, and refuted
}

// TestRegionsApart: symptom: after a cut one region has forgotten the other.
// Events: two regions lose each other for minutes. Cause: silence across the cut
// is taken for deaths. Instead the other region's members are shown unreachable
// while it lasts, and nothing has to be told when it ends.
func TestRegionsApart(t *testing.T) {
	is := is.New(t)
	net := restingNet(24, twoRegions)
	here, there := net.nodes[0], net.nodes[1]
	net.cut = func(a, b *testNode) bool { return a.rec.Region != b.rec.Region }
	net.run(3 * time.Minute)
	is.Equal(net.deaths(), uint64(0))
	m, ok := here.s.Lookup(there.rec.ID)
	is.True(ok)
	is.Equal(m.Status, Unreachable)
	net.cut = nil
	net.run(20 * time.Second)
	m, _ = here.s.Lookup(there.rec.ID)
	is.Equal(m.Status, Alive)
}

// TestZoneApart: symptom: members that were cut off stay unreachable for good.
// Events: a zone is cut from its region for so long that both sides declare each
// other unreachable; then the cut ends. Cause: no link is left between them, and
// nobody looks whether the others are back.
func TestZoneApart(t *testing.T) {
	is := is.New(t)
	net := restingNet(18, oneRegion)
	net.cut = func(a, b *testNode) bool { return (a.rec.Zone == "z0") != (b.rec.Zone == "z0") }
	net.run(10 * time.Minute)
	is.True(net.deaths() > 0)
	net.cut = nil
	net.run(3 * time.Minute)
	is.Equal(net.disagree(), "")
	for _, n := range net.nodes {
		is.Equal(net.status(net.nodes[0], n), "alive")
	}
}

// TestLostReply: symptom: a member never hears of a change. Events: the change is
// in a reply that is lost. Cause: what was put into a reply counts as received.
func TestLostReply(t *testing.T) {
	is := is.New(t)
	net := restingNet(10, oneRegion)
	n, peer := net.nodes[0], net.nodes[1]
	beat := &Message{Kind: Heartbeat, From: peer.rec.ID, Incarnation: peer.s.Incarnation(), Body: peer.s.body, Seq: 1000, Room: 500}
	is.True(n.s.HandleRequest(net.Now, beat) != nil)
	n.s.PutFact(net.Now, Fact{Kind: ConfigHead, Key: 5, Version: 1})
	for _, tt := range []struct {
		seq, got uint32
		facts    int
	}{
		{1001, 1000, 1}, // told, but that reply is lost
		{1002, 1000, 1}, // so it is told again
		{1003, 1002, 0}, // and not after it arrived
	} {
		beat.Seq, beat.Got = tt.seq, tt.got
		r := n.s.HandleRequest(net.Now, beat)
		is.Equal(len(r.Facts), tt.facts)
	}
}

// TestSeedsAreGone: symptom: after all instances were replaced, no node gets
// ready. Events: the seeds that the first node finds belong to instances that
// are gone. Cause: it waits for one of them for good. And when such a node has
// begun alone, those that it could not reach then must still be found.
func TestSeedsAreGone(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 3)
	gone := &testNode{rec: testRecord(99, "bkk", "z0")}
	a := net.start(testRecord(0, "bkk", "z0"), gone)
	net.run(15 * time.Second)
	is.True(!a.s.Joined())
	net.run(10 * time.Second)
	is.True(a.s.Joined() && a.s.Complete())

	b := net.start(testRecord(1, "bkk", "z1"), gone, a)
	net.cut = func(x, y *testNode) bool { return true }
	net.run(30 * time.Second)
	is.True(b.s.Joined())
	net.cut = nil
	net.run(4 * time.Minute) // one of b's two seeds is looked for each half minute
	is.Equal(net.disagree(), "")
	is.Equal(net.status(a, b), "alive")
	is.Equal(net.status(b, a), "alive")
}

// TestGroupsThatStartedApart: symptom: for half a minute after a fleet has
// started, some nodes refuse calls for want of targets that are up. Events: the
// nodes start together, find the platform's rows empty or find one row, and
// join in two groups; later they read the rows of the other group too. Cause:
// a node that has joined looks for its seeds only each half minute.
func TestGroupsThatStartedApart(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 7)
	for i := range 16 {
		rec := testRecord(i, "bkk", fmt.Sprintf("z%d", i%3))
		if i < 2 {
			net.start(rec)
		} else {
			net.start(rec, net.nodes[i%2])
		}
	}
	net.run(2 * time.Second)
	is.Equal(net.status(net.nodes[2], net.nodes[3]), "unknown") // two groups
	for i, n := range net.nodes[2:] {
		n.s.Join([]Peer{{Control: net.nodes[(i+1)%2].rec.Control}}, nil)
	}
	net.run(4 * time.Second)
	is.Equal(net.disagree(), "")
	is.Equal(net.status(net.nodes[2], net.nodes[3]), "alive")
}

// TestJoinAgainWhileFetching: symptom: a node believes that it knows all, and
// doesn't. Events: it is told of further seeds while it fetches the state. Cause:
// the fetching begins anew in the middle and ends early.
func TestJoinAgainWhileFetching(t *testing.T) {
	is := is.New(t)
	net := restingNet(150, oneRegion)
	for net.disagree() != "" {
		net.run(time.Second) // while they don't all know each other, nobody can tell all
	}
	n := net.start(testRecord(500, "bkk", "z0"), net.nodes[0])
	for !n.s.join.wrapped {
		net.run(20 * time.Millisecond)
	}
	is.True(!n.s.Complete())
	n.s.Join([]Peer{{Control: net.nodes[1].rec.Control}}, []request.Service{"svc1.tenant"})
	for !n.s.Complete() {
		net.run(200 * time.Millisecond)
	}
	is.Equal(len(n.s.tab.members), 151)
	is.Equal(len(n.s.lacks.list), 0)
}
