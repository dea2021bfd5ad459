package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

func TestNodesConvergeOnAcceptedSet(t *testing.T) {
	is := is.New(t)
	c := newCluster(8, t.Fatalf)
	c.runFor(10 * time.Second)
	for _, n := range c.nodes {
		is.True(n.state.Ready()) // no set has been accepted yet
	}
	c.apply("khaosan", 1, 0)
	c.apply("kalahari", 1, 0)
	c.runFor(10 * time.Second)
	c.apply("khaosan", 2, 1)
	c.runFor(10 * time.Second)
	byDelta := 0
	for _, n := range c.nodes {
		is.Equal(n.state.InForce("khaosan"), int64(2))
		is.Equal(n.state.InForce("kalahari"), int64(1))
		byDelta += n.state.Stats().ByDelta
	}
	is.Equal(byDelta, len(c.nodes)-DefaultConfig().Roots) // all but the roots
}

// Guards against a replaced node that installs an outdated version: the
// platform is down, and the peer that answers first was frozen during the last
// change.
func TestStartDuringOutageInstallsHighestVersion(t *testing.T) {
	for i := range 100 { // other nodes and other orders of answers
		is := is.New(t)
		c := newCluster(5, t.Fatalf)
		c.seed = uint64(100 * i)
		stale, started := c.nodes[i%5], c.nodes[(i%5+1+i/5%4)%5]
		c.apply("khaosan", 1, 0)
		c.runFor(15 * time.Second)
		stale.frozen = true
		c.apply("khaosan", 2, 1)
		c.runFor(10 * time.Second)
		c.platformDown = true
		c.queue = nil
		stale.frozen = false
		is.Equal(stale.state.InForce("khaosan"), int64(1))
		started.restart()
		started.execute(started.state.Tick(c.now))
		for len(c.queue) > 0 {
			c.deliver(0)
		}
		for range 100 {
			is.True(started.state.InForce("khaosan") != 1) // never the old version
			c.runFor(100 * time.Millisecond)
		}
		is.Equal(started.state.InForce("khaosan"), int64(2))
		is.Equal(stale.state.InForce("khaosan"), int64(2)) // so does the node that was frozen
	}
}

// Guards against the same downgrade when the node knows the newest version but
// fetches from a peer that does not have it and replies with an older set.
func TestStartRejectsOlderThanAnnounced(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, t.Fatalf)
	c.apply("khaosan", 1, 0)
	c.runFor(15 * time.Second)
	old := c.nodes[0].state.tenants["khaosan"]
	c.nodes[1].restart()
	s := c.nodes[1].state
	want := configset.Head{Tenant: "khaosan", Version: 2}
	for _, a := range s.Tick(c.now) {
		if ask, ok := a.(AskPeer); ok {
			s.HandleReply(c.now, ask.ID, Reply{Informed: true, Heads: []configset.Head{want}})
		}
	}
	is.True(s.startup.informed)
	s.handleFetchReply(c.now, s.tenants["khaosan"], Reply{Head: old.held.Head(), Whole: old.compressed()})
	is.Equal(s.InForce("khaosan"), int64(0))
	is.True(!s.Ready())
}

// Guards against two faults when all nodes start at once: nodes believe "there
// is no configuration" from peers that are not informed and refuse calls as of
// unknown services, or all of them read the platform.
func TestWholeFleetStartsAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(150, t.Fatalf)
	c.apply("khaosan", 1, 0)
	for range 100 {
		c.runFor(100 * time.Millisecond)
		for _, n := range c.nodes {
			is.True(!n.state.Ready() || n.state.InForce("khaosan") == 1)
		}
	}
	reads := 0
	for _, n := range c.nodes {
		is.True(n.state.Ready())
		reads += n.state.Stats().Reads
	}
	is.True(reads < len(c.nodes)) // the first few inform the others
}

// Guards against nodes that lose power together and then wait for each other, although
// some of them have read the platform.
func TestFleetThatStartsAtOnceIsReadySoon(t *testing.T) {
	const step = 2 * time.Second // after one step 0.7 are ready, after two 0.9
	for _, size := range []int{6, 70, 85} {
		is := is.New(t)
		c := newCluster(size, t.Fatalf)
		c.apply("khaosan", 1, 0)
		c.runFor(15 * time.Second)
		for _, n := range c.nodes {
			n.restart()
		}
		for _, part := range []float64{0.7, 0.9} {
			c.runFor(step)
			ready := 0
			for _, n := range c.nodes {
				if n.state.Ready() {
					ready++
				}
			}
			t.Logf("%d of %d nodes are ready", ready, size)
			is.True(float64(ready) >= part*float64(size))
		}
	}
}

// Guards against a starting node that takes one peer's word for the newest versions,
// although the platform may have had a newer one in force here before the start.
func TestOneAnswerFromBeforeTheStartIsNotEnough(t *testing.T) {
	is := is.New(t)
	peers := manyPeers(12, 1)
	for _, tc := range []struct {
		age      time.Duration // of what the peer read from the platform
		informed bool
	}{{0, false}, {time.Second, false}, {2 * time.Second, false}, {900 * time.Millisecond, true}} {
		start := time.Minute
		s := New(DefaultConfig(), peers[0], rand.New(rand.NewPCG(1, 1)), start)
		s.SetPeers(peers, peers, true)
		now := start + time.Second
		for _, a := range s.Tick(now) {
			if ask, ok := a.(AskPeer); ok {
				s.HandleReply(now+100*time.Millisecond, ask.ID, Reply{Informed: true, PlatformAge: tc.age})
				break
			}
		}
		is.Equal(s.startup.informed, tc.informed)
	}
}

// Guards against a downgrade by an answer that was delayed by a pause and
// arrives after a newer one.
func TestOlderSetIsIgnored(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, t.Fatalf)
	c.apply("khaosan", 1, 0)
	c.runFor(5 * time.Second)
	s := c.nodes[0].state
	old := s.tenants["khaosan"].held
	c.apply("khaosan", 2, 1)
	c.runFor(5 * time.Second)
	s.completeFetch(c.now, s.tenants["khaosan"], old, ByPeer)
	is.Equal(s.InForce("khaosan"), int64(2))
	is.Equal(s.Index().Version("khaosan"), int64(2))
}

// Guards against immediate retries that overload a recovering platform: the
// object of a known version can't be read for ten minutes.
func TestFailedFetchesBackOff(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, t.Fatalf)
	c.runFor(5 * time.Second)
	c.platformDown = true
	n := c.nodes[0]
	n.execute(n.state.Learn(c.now, configset.Head{Tenant: "khaosan", Version: 1}))
	c.runFor(10 * time.Minute)
	rounds := n.state.Stats().Failed / sourceCount
	is.True(rounds >= 20 && rounds <= 60) // one round per 15 to 30 s, and a few before
}

// Guards against requests that are never answered because the parent can't get
// the version: each child would wait until its own timeout, for each change.
func TestWaitingPeersAreAnswered(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, t.Fatalf)
	c.runFor(5 * time.Second)
	c.platformDown = true
	s := c.nodes[0].state
	want := configset.Head{Tenant: "khaosan", Version: 1}
	s.HandleAsk(c.now, 7, Ask{Want: want})
	answered := func(actions []Action) bool {
		return slices.ContainsFunc(actions, func(a Action) bool {
			answer, ok := a.(Answer)
			return ok && answer.ID == 7 && answer.Reply.Whole == nil
		})
	}
	is.True(!answered(s.Tick(c.now + DefaultConfig().ServeWait - 1)))
	is.True(answered(s.Tick(c.now + DefaultConfig().ServeWait)))
	for i := range uint64(2 * DefaultConfig().MaxWaiters) {
		s.HandleAsk(c.now, i, Ask{Want: want})
	}
	is.Equal(len(s.tenants["khaosan"].waiters), DefaultConfig().MaxWaiters)
	for _, hostile := range []Ask{{}, {Want: configset.Head{Tenant: "khaosan", Version: -1}}, {Want: configset.Head{Version: 1}}} {
		is.Equal(len(s.HandleAsk(c.now, 9, hostile)), 1) // answered without a set
	}
}

// Guards against installing a set that was never accepted: a peer answers with
// another set's bytes or with corrupted ones.
func TestDigestMismatchIsRejected(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, t.Fatalf)
	c.runFor(5 * time.Second)
	s := c.nodes[0].state
	p, err := configset.Pack(testSet("khaosan", 3))
	is.NoErr(err)
	body, err := p.Bytes()
	is.NoErr(err)
	h := p.Head()
	h.Version = 1
	h.Digest[0] ^= 1
	for _, a := range s.Learn(c.now, h) {
		if load, ok := a.(LoadObject); ok {
			s.HandleLoaded(c.now, load.ID, body)
		}
	}
	is.Equal(s.InForce("khaosan"), int64(0))
	is.Equal(s.Stats().Refused, 1)
}

// Guards against a flood of hints for versions and tenants that don't exist: it
// must neither cause a read per hint nor fill the node's memory.
func TestHintCostIsBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, t.Fatalf)
	c.apply("khaosan", 1, 0)
	c.runFor(5 * time.Second)
	s := c.nodes[0].state
	reads := s.Stats().Reads
	for range 1000 {
		c.nodes[0].execute(s.Hint(c.now, "khaosan", 99))
		for len(c.queue) > 0 {
			c.deliver(0)
		}
	}
	is.Equal(s.Stats().Reads, reads+1)
	for i := range 2 * maxTenants {
		s.Hint(c.now, request.Tenant("tenant-"+string(rune('a'+i%26))+time.Duration(i).String()), 1)
	}
	is.True(len(s.tenantNames) <= maxTenants)
	s.Hint(c.now, request.Tenant(make([]byte, configset.MaxTenantName+1)), 1)
	is.True(len(s.tenantNames) <= maxTenants)
}

func TestHintIsFollowedAtOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(6, t.Fatalf)
	c.runFor(15 * time.Second)
	c.apply("khaosan", 1, 0)
	n := c.nodes[3]
	n.execute(n.state.Hint(c.now, "khaosan", 1))
	for len(c.queue) > 0 {
		c.deliver(0) // without advancing the clock
	}
	is.Equal(n.state.InForce("khaosan"), int64(1))
}

func TestFact(t *testing.T) {
	is := is.New(t)
	h := configset.Head{Tenant: "khaosan", Version: 7, Digest: configset.Digest{1, 2, 3}}
	key, version, value := FactOf(h)
	is.True(len(value) <= 64)
	got, err := HeadOf(key, version, value)
	is.NoErr(err)
	is.Equal(got, h)
	for _, bad := range []struct {
		key, version uint64
		value        []byte
	}{{key + 1, version, value}, {key, 0, value}, {key, 1 << 63, value}, {key, version, value[:32]}, {key, version, nil}} {
		_, err := HeadOf(bad.key, bad.version, bad.value)
		is.Equal(status.CodeOf(err), status.CodeProtocol)
	}
}

// TestRandomInterleavings checks the guarantees under message loss, delay,
// duplication and partitions, node restarts and freezes, and concurrent applies
// by operators. No version in force decreases or differs from the accepted one
// (cluster checks each install), and once the faults end all nodes reach the
// newest version.
func TestRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rapid.IntRange(2, 5).Draw(rt, "nodes"), rt.Fatalf)
		ops := []*operator{{tenant: "khaosan", slots: 1}, {tenant: "khaosan", slots: 1001}, {tenant: "kalahari", slots: 1}}
		pick := func() *node { return rapid.SampledFrom(c.nodes).Draw(rt, "node") }
		rt.Repeat(map[string]func(*rapid.T){
			"deliver": func(rt *rapid.T) {
				if n := len(c.queue); n > 0 {
					c.deliver(rapid.IntRange(0, n-1).Draw(rt, "message"))
				}
			},
			"deliver all": func(*rapid.T) {
				for n := len(c.queue); n > 0; n-- {
					c.deliver(0)
				}
			},
			"lose": func(rt *rapid.T) {
				if n := len(c.queue); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(rt, "message")
					c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
				}
			},
			"repeat": func(rt *rapid.T) {
				if n := len(c.queue); n > 0 {
					c.queue = append(c.queue, c.queue[rapid.IntRange(0, n-1).Draw(rt, "message")])
				}
			},
			"time":     func(rt *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond) },
			"gossip":   func(*rapid.T) { c.gossip(pick(), pick()) },
			"restart":  func(*rapid.T) { pick().restart() },
			"freeze":   func(*rapid.T) { n := pick(); n.frozen = !n.frozen },
			"cut off":  func(*rapid.T) { n := pick(); n.partition = 1 - n.partition },
			"platform": func(*rapid.T) { c.platformDown = !c.platformDown },
			"operate":  func(rt *rapid.T) { rapid.SampledFrom(ops).Draw(rt, "operator").readOrApply(c) },
			"hint": func(rt *rapid.T) {
				n := pick()
				n.execute(n.state.Hint(c.now, "khaosan", rapid.Int64Range(0, 5).Draw(rt, "version")))
			},
		})
		c.platformDown = false
		for _, n := range c.nodes {
			n.frozen, n.partition = false, 0
		}
		c.runFor(2 * time.Minute)
		for _, n := range c.nodes {
			for _, tenant := range []request.Tenant{"khaosan", "kalahari"} {
				head, _ := c.store.Head(context.Background(), tenant) // zero record if none was applied
				if got := n.state.InForce(tenant); got != head.Version {
					rt.Fatalf("%s has version %d of %s in force, want %d", n.peer.Addr, got, tenant, head.Version)
				}
			}
		}
	})
}

// operator reads the head and later applies on it, so that two operators race.
type operator struct {
	tenant request.Tenant
	slots  int
	base   int64
	read   bool
}

func (o *operator) readOrApply(c *cluster) {
	ctx := context.Background()
	if !o.read {
		head, _ := c.store.Head(ctx, o.tenant) // zero record if there is none
		o.base, o.read = head.Version, true
		return
	}
	o.read = false
	o.slots++
	before, _ := c.store.Head(ctx, o.tenant)
	_, err := c.store.Apply(ctx, testSet(o.tenant, o.slots), o.base, "ada")
	after, _ := c.store.Head(ctx, o.tenant)
	won := after.Version == before.Version+1
	if won != (o.base == before.Version) || won != (err == nil) {
		c.fatal("applied on base %d at version %d: version now %d, error %v", o.base, before.Version, after.Version, err)
	}
}
