package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peardrift/internal/core/request"
)

// left remembers which incarnations each process saw leaving. A process that
// restarted may hear old news from a member that is behind; it has nothing that
// could contradict it yet.
type left map[*testNode]map[incarnation]bool

type incarnation struct {
	id  request.TargetID
	inc uint32
}

// check fails if a member takes an incarnation for alive that it once saw
// leaving.
func (l left) check(t *rapid.T, net *testNet) {
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
		if len(s.order) > maxLinks || len(s.links) != len(s.order) ||
			len(s.queue.items) > len(s.tab.members)+len(s.tab.facts)+8 ||
			len(s.lacks.list) > len(s.tab.members) || s.tab.dead > s.cfg.MaxDead+1 {
			t.Fatalf("%s: state is out of bounds", n.rec.Name)
		}
		var root uint64
		for _, sum := range s.tab.sums {
			root += sum
		}
		if root != s.tab.root {
			t.Fatalf("%s: sums and root differ", n.rec.Name)
		}
	}
}

// upOther returns an up and joined node other than the i-th.
func (t *testNet) upOther(i int) *testNode {
	for j := range t.nodes {
		n := t.nodes[(i+1+j)%len(t.nodes)]
		if !n.down && n != t.nodes[i] && n.s.Joined() && n.frozen <= t.Now {
			return n
		}
	}
	return nil
}

// disturb does one random thing to the net.
func disturb(t *rapid.T, net *testNet, version *uint64) {
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
		if seed := net.upOther(i); seed != nil {
			net.restart(i, seed)
		}
	case "freeze":
		n.frozen = net.Now + time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds"))*time.Second
	case "fact":
		*version++
		n.s.PutFact(net.Now, Fact{Kind: ConfigHead, Key: 1, Version: *version})
	case "update":
		rec := n.rec
		rec.Slots = uint32(net.Now / time.Second)
		n.s.Update(net.Now, rec)
	case "cut":
		net.cut = func(a, b *testNode) bool { return a.rec.Region != b.rec.Region }
	case "split":
		net.cut = func(a, b *testNode) bool { return (a.rec.Zone == "z0") != (b.rec.Zone == "z0") }
	case "heal":
		net.cut = nil
	case "loss":
		net.loss = float64(rapid.IntRange(0, 20).Draw(t, "percent")) / 100
		net.dup = float64(rapid.IntRange(0, 20).Draw(t, "duplicates")) / 100
	}
}

// TestRandomFaults: whatever fails in whatever order, a leave is never undone in
// its incarnation, the state stays bounded, and once the faults end the members
// that are up agree, on the newest fact as well.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newTestNet(DefaultConfig(), rapid.Uint64().Draw(t, "seed"))
		region := rapid.SampledFrom([]func(int) string{oneRegion, twoRegions}).Draw(t, "regions")
		net.cluster(rapid.IntRange(2, 20).Draw(t, "members"), region)
		net.run(20 * time.Second)
		seen := make(left)
		var version uint64
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			disturb(t, net, &version)
			for range rapid.IntRange(1, 10).Draw(t, "wait") {
				net.run(2 * time.Second)
				seen.check(t, net)
				checkBounds(t, net)
			}
		}
		net.cut, net.loss, net.dup = nil, 0, 0
		for _, n := range net.nodes {
			n.frozen = min(n.frozen, net.Now)
		}
		for range 30 {
			if net.run(10 * time.Second); net.disagree() == "" {
				break
			}
			seen.check(t, net)
		}
		if why := net.disagree(); why != "" {
			t.Fatal(why)
		}
		checkHeld(t, net, version)
	})
}

// checkHeld fails unless all up members hold each other alive or leaving, and
// the newest fact if any survived.
func checkHeld(t *rapid.T, net *testNet, version uint64) {
	for _, a := range net.nodes {
		if a.down {
			continue
		}
		for _, b := range net.nodes {
			want := b.s.stat.String()
			if got := net.status(a, b); !b.down && got != want {
				t.Fatalf("%s holds %s to be %s, not %s", a.rec.Name, b.rec.Name, got, want)
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

// TestNoFalseDeaths: symptom: healthy members are dropped by all callers at once.
// Events: messages are lost, members freeze for up to 5 s, some really die.
// Cause: one observer's word, or a short silence, is taken for a death. With up
// to a tenth of the messages lost no live member may be declared dead.
func TestNoFalseDeaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newTestNet(DefaultConfig(), rapid.Uint64().Draw(t, "seed"))
		net.cluster(rapid.IntRange(4, 20).Draw(t, "members"), twoRegions)
		net.run(20 * time.Second)
		net.loss = float64(rapid.IntRange(0, 10).Draw(t, "percent")) / 100
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			n := net.nodes[rapid.IntRange(1, len(net.nodes)-1).Draw(t, "node")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				n.down = true
			} else {
				n.frozen = net.Now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond
			}
			net.run(time.Duration(rapid.IntRange(1, 15).Draw(t, "wait")) * time.Second)
			for _, a := range net.nodes {
				for _, b := range net.nodes {
					if st := net.status(a, b); !a.down && !b.down && st != "alive" {
						t.Fatal(fmt.Sprintf("%s holds %s to be %s", a.rec.Name, b.rec.Name, st))
					}
				}
			}
		}
	})
}
