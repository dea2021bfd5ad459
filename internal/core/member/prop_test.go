package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peardrift/internal/core/request"
)

// leftIncarnations records which incarnations each process saw leaving. A
// restarted process may receive an outdated announcement from a member that is
// behind, and has nothing yet that contradicts it.
type leftIncarnations map[*testNode]map[incarnation]bool

type incarnation struct {
	id  request.TargetID
	inc uint32
}

// check fails if a member takes an incarnation for alive that it once saw
// leaving.
func (l leftIncarnations) check(t *rapid.T, net *testNet) {
	for _, n := range net.nodes {
		seen := l[n]
		if seen == nil {
			seen = make(map[incarnation]bool)
			l[n] = seen
		}
		for i := range n.s.tab.members {
			e := &n.s.tab.members[i]
			key := incarnation{e.id, e.inc}
			switch {
			case e.status == Leaving || e.status == Dead:
				seen[key] = true
			case seen[key]:
				t.Fatalf("%s: %s of incarnation %d is %s after it left", n.rec.Name, e.id, e.inc, e.status)
			}
		}
	}
}

func checkBounds(t *rapid.T, net *testNet) {
	for _, n := range net.nodes {
		s := n.s
		if len(s.linkOrder) > maxLinks || len(s.links) != len(s.linkOrder) ||
			len(s.queue.items) > len(s.tab.members)+len(s.tab.facts)+8 ||
			len(s.missing.list) > len(s.tab.members) || s.tab.dead > s.cfg.MaxTombstones+1 {
			t.Fatalf("%s: state is out of bounds", n.rec.Name)
		}
		var root uint64
		for _, sum := range s.tab.bucketSums {
			root += sum
		}
		if root != s.tab.root {
			t.Fatalf("%s: sums and root differ", n.rec.Name)
		}
	}
}

// otherUpNode returns a node other than the i-th that is up and has joined.
func (t *testNet) otherUpNode(i int) *testNode {
	for j := range t.nodes {
		n := t.nodes[(i+1+j)%len(t.nodes)]
		if !n.down && n != t.nodes[i] && n.s.Joined() && n.frozenUntil <= t.Now {
			return n
		}
	}
	return nil
}

// injectFault injects one random fault or event.
func injectFault(t *rapid.T, net *testNet, version *uint64) {
	i := rapid.IntRange(0, len(net.nodes)-1).Draw(t, "node")
	n := net.nodes[i]
	switch rapid.SampledFrom([]string{"leave", "depart", "kill", "restart", "freeze", "fact", "update", "cut", "split", "heal", "loss"}).Draw(t, "what") {
	case "leave":
		n.s.Leave(net.Now)
	case "depart":
		n.s.Depart(net.Now)
		net.run(time.Second)
		n.down = true
	case "kill":
		n.down = true
	case "restart":
		if seed := net.otherUpNode(i); seed != nil {
			net.restart(i, seed)
		}
	case "freeze":
		n.frozenUntil = net.Now + time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds"))*time.Second
	case "fact":
		*version++
		n.s.PutFact(net.Now, Fact{Kind: ConfigHead, Key: 1, Version: *version})
	case "update":
		rec := n.rec
		rec.Slots = uint32(net.Now / time.Second)
		n.s.Update(net.Now, rec)
	case "cut":
		net.partitioned = func(a, b *testNode) bool { return a.rec.Region != b.rec.Region }
	case "split":
		net.partitioned = func(a, b *testNode) bool { return (a.rec.Zone == "z0") != (b.rec.Zone == "z0") }
	case "heal":
		net.partitioned = nil
	case "loss":
		net.loss = float64(rapid.IntRange(0, 20).Draw(t, "percent")) / 100
		net.dup = float64(rapid.IntRange(0, 20).Draw(t, "duplicates")) / 100
	}
}

// Under any sequence of faults, a leave is never undone in its incarnation and
// the state stays bounded. Once the faults end, the members that are up agree,
// including on the newest fact.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newTestNet(DefaultConfig(), rapid.Uint64().Draw(t, "seed"))
		region := rapid.SampledFrom([]func(int) string{oneRegion, twoRegions}).Draw(t, "regions")
		net.startCluster(rapid.IntRange(2, 20).Draw(t, "members"), region)
		net.run(20 * time.Second)
		seen := make(leftIncarnations)
		var version uint64
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			injectFault(t, net, &version)
			for range rapid.IntRange(1, 10).Draw(t, "wait") {
				net.run(2 * time.Second)
				seen.check(t, net)
				checkBounds(t, net)
			}
		}
		net.partitioned, net.loss, net.dup = nil, 0, 0
		for _, n := range net.nodes {
			n.frozenUntil = min(n.frozenUntil, net.Now)
		}
		for range 30 {
			if net.run(10 * time.Second); net.difference() == "" {
				break
			}
			seen.check(t, net)
		}
		if why := net.difference(); why != "" {
			t.Fatal(why)
		}
		checkConverged(t, net, version)
	})
}

// checkConverged fails unless all members that are up agree on each other's
// status, and no fact version is newer than those put.
func checkConverged(t *rapid.T, net *testNet, version uint64) {
	for _, a := range net.nodes {
		if a.down {
			continue
		}
		for _, b := range net.nodes {
			want := b.s.status.String()
			if got := net.status(a, b); !b.down && got != want {
				t.Fatalf("%s has %s as %s, want %s", a.rec.Name, b.rec.Name, got, want)
			}
		}
	}
	var newest uint64
	for _, n := range net.nodes {
		if f, ok := n.s.Fact(ConfigHead, 1); ok && !n.down {
			newest = max(newest, f.Version)
		}
	}
	if newest > version {
		t.Fatalf("version %d was never put", newest)
	}
}

// With up to a tenth of the messages lost, freezes of up to 5 s and real
// deaths, no live member may be declared dead on the report of one observer or
// after a short silence.
func TestNoFalseDeaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newTestNet(DefaultConfig(), rapid.Uint64().Draw(t, "seed"))
		net.startCluster(rapid.IntRange(4, 20).Draw(t, "members"), twoRegions)
		net.run(20 * time.Second)
		net.loss = float64(rapid.IntRange(0, 10).Draw(t, "percent")) / 100
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			n := net.nodes[rapid.IntRange(1, len(net.nodes)-1).Draw(t, "node")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				n.down = true
			} else {
				n.frozenUntil = net.Now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond
			}
			net.run(time.Duration(rapid.IntRange(1, 15).Draw(t, "wait")) * time.Second)
			for _, a := range net.nodes {
				for _, b := range net.nodes {
					if st := net.status(a, b); !a.down && !b.down && st != "alive" {
						t.Fatal(fmt.Sprintf("%s has %s as %s, want alive", a.rec.Name, b.rec.Name, st))
					}
				}
			}
		}
	})
}
