package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

// deaths returns the number of deaths that the nodes declared.
func (t *testNet) deaths() (n uint64) {
	for _, node := range t.nodes {
		n += node.s.Stats().Deaths
	}
	return n
}

// convergedNet returns a net of members that know each other.
func convergedNet(n int, region func(int) string) *testNet {
	net := newTestNet(DefaultConfig(), 9)
	net.startCluster(n, region)
	net.run(30 * time.Second)
	return net
}

// An isolated node must not take the silence of all peers for their deaths, and
// gossip these after it recovers from minutes without network.
func TestIsolatedNodeDeclaresNoDeaths(t *testing.T) {
	is := is.New(t)
	net := convergedNet(20, oneRegion)
	alone := net.nodes[3]
	net.partitioned = func(a, b *testNode) bool { return a == alone || b == alone }
	net.run(3 * time.Minute)
	is.Equal(alone.s.Stats().Deaths, uint64(0))
	net.partitioned = nil
	net.run(time.Minute)
	is.Equal(net.difference(), "")
	for _, n := range net.nodes {
		is.True(n == alone || n.s.Stats().Refutations == 0)
		is.Equal(net.status(n, alone), "alive")
	}
}

// A member that two of its observers cannot reach must stay alive while the
// others hear it: two votes must not suffice without querying the other
// observers.
func TestPartiallyReachableMemberStaysAlive(t *testing.T) {
	is := is.New(t)
	net := convergedNet(20, oneRegion)
	subject := net.nodes[7]
	observers := subject.s.neighbours(subject.rec.ID, "bkk", true)
	is.Equal(len(observers), 4)
	net.partitioned = func(a, b *testNode) bool {
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

// After a 30 s pause of its process, a node must not count the time in which it
// did not receive as silence of its subjects.
func TestPauseRaisesNoSuspicions(t *testing.T) {
	is := is.New(t)
	net := convergedNet(20, oneRegion)
	n := net.nodes[5]
	before := n.s.Stats().Suspicions
	n.frozenUntil = net.Now + 30*time.Second
	net.run(45 * time.Second)
	is.Equal(n.s.Stats().Pauses, uint64(1))
	is.Equal(n.s.Stats().Suspicions, before)
	is.Equal(net.status(net.nodes[0], n), "alive") // it was declared unreachable, and refuted
}

// A partition of minutes between two regions must not remove members: they are
// shown unreachable while it lasts, silence across it counts as no death, and
// recovery needs no gossip.
func TestRegionPartitionHeals(t *testing.T) {
	is := is.New(t)
	net := convergedNet(24, twoRegions)
	here, there := net.nodes[0], net.nodes[1]
	net.partitioned = func(a, b *testNode) bool { return a.rec.Region != b.rec.Region }
	net.run(3 * time.Minute)
	is.Equal(net.deaths(), uint64(0))
	m, ok := here.s.Lookup(there.rec.ID)
	is.True(ok)
	is.Equal(m.Status, Unreachable)
	net.partitioned = nil
	net.run(20 * time.Second)
	m, _ = here.s.Lookup(there.rec.ID)
	is.Equal(m.Status, Alive)
}

// After a partition so long that a zone and its region declare each other
// unreachable, no link is left between them; members must still detect the
// recovery.
func TestZonePartitionHeals(t *testing.T) {
	is := is.New(t)
	net := convergedNet(18, oneRegion)
	net.partitioned = func(a, b *testNode) bool { return (a.rec.Zone == "z0") != (b.rec.Zone == "z0") }
	net.run(10 * time.Minute)
	is.True(net.deaths() > 0)
	net.partitioned = nil
	net.run(3 * time.Minute)
	is.Equal(net.difference(), "")
	for _, n := range net.nodes {
		is.Equal(net.status(net.nodes[0], n), "alive")
	}
}

// An update in a reply that is lost must be sent again: being added to a reply
// does not count as received.
func TestLostReplyIsResent(t *testing.T) {
	is := is.New(t)
	net := convergedNet(10, oneRegion)
	n, peer := net.nodes[0], net.nodes[1]
	heartbeat := &Message{Kind: Heartbeat, From: peer.rec.ID, Incarnation: peer.s.Incarnation(), BodyDigest: peer.s.body, Seq: 1000, ReplyItemBytes: 500}
	is.True(n.s.HandleRequest(net.Now, heartbeat) != nil)
	n.s.PutFact(net.Now, Fact{Kind: ConfigHead, Key: 5, Version: 1})
	for _, tt := range []struct {
		seq, got uint32
		facts    int
	}{
		{1001, 1000, 1}, // sent, but that reply is lost
		{1002, 1000, 1}, // so it is sent again
		{1003, 1002, 0}, // and not after it arrived
	} {
		heartbeat.Seq, heartbeat.AckedSeq = tt.seq, tt.got
		r := n.s.HandleRequest(net.Now, heartbeat)
		is.Equal(len(r.Facts), tt.facts)
	}
}

// A node whose seeds all belong to removed instances must become ready instead
// of waiting for them for good. After such a node started alone, members that
// it could not reach then must still be found.
func TestUnreachableSeeds(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 3)
	gone := &testNode{rec: testRecord(99, "bkk", "z0")}
	a := net.start(testRecord(0, "bkk", "z0"), gone)
	net.run(15 * time.Second)
	is.True(!a.s.Joined())
	net.run(10 * time.Second)
	is.True(a.s.Joined() && a.s.Complete())

	b := net.start(testRecord(1, "bkk", "z1"), gone, a)
	net.partitioned = func(x, y *testNode) bool { return true }
	net.run(30 * time.Second)
	is.True(b.s.Joined())
	net.partitioned = nil
	net.run(4 * time.Minute) // one of b's two seeds is probed each half minute
	is.Equal(net.difference(), "")
	is.Equal(net.status(a, b), "alive")
	is.Equal(net.status(b, a), "alive")
}

// Nodes that start together and find no seeds or one join as two groups. Once
// they read the seeds of the other group, the groups must merge within seconds:
// probing the seeds only each half minute left nodes refusing calls for lack of
// targets that were up.
func TestSeparateGroupsMerge(t *testing.T) {
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
		n.s.Join([]Peer{{ControlAddr: net.nodes[(i+1)%2].rec.ControlAddr}}, nil)
	}
	net.run(4 * time.Second)
	is.Equal(net.difference(), "")
	is.Equal(net.status(net.nodes[2], net.nodes[3]), "alive")
}

// A node that is given more seeds while it fetches the state must not restart
// the fetch midway, which then ends early and leaves the state incomplete but
// marked complete.
func TestJoinDuringFetch(t *testing.T) {
	is := is.New(t)
	net := convergedNet(150, oneRegion)
	for net.difference() != "" {
		net.run(time.Second) // until all members know each other, none can serve the whole state
	}
	n := net.start(testRecord(500, "bkk", "z0"), net.nodes[0])
	for !n.s.join.wrapped {
		net.run(20 * time.Millisecond)
	}
	is.True(!n.s.Complete())
	n.s.Join([]Peer{{ControlAddr: net.nodes[1].rec.ControlAddr}}, []request.Service{"svc1.tenant"})
	for !n.s.Complete() {
		net.run(200 * time.Millisecond)
	}
	is.Equal(len(n.s.tab.members), 151)
	is.Equal(len(n.s.missing.list), 0)
}
