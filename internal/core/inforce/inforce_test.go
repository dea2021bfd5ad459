package inforce

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

func TestNodesComeToTheAcceptedSet(t *testing.T) {
	is := is.New(t)
	w := newWorld(8, t.Fatalf)
	w.settle(10 * time.Second)
	for _, n := range w.nodes {
		is.True(n.state.Ready()) // there is nothing to have in force yet
	}
	w.apply("khaosan", 1, 0)
	w.apply("kalahari", 1, 0)
	w.settle(10 * time.Second)
	w.apply("khaosan", 2, 1)
	w.settle(10 * time.Second)
	byDelta := 0
	for _, n := range w.nodes {
		is.Equal(n.state.InForce("khaosan"), int64(2))
		is.Equal(n.state.InForce("kalahari"), int64(1))
		byDelta += n.state.Stats().ByDelta
	}
	is.Equal(byDelta, len(w.nodes)-DefaultConfig().Roots) // all but the roots
}

// Symptom: a node that was replaced serves by a version that the fleet left
// behind. Events: the platform is down; the new node asks its peers, and the one
// that answers first was frozen for the last change. Cause: the first answer
// was taken for the newest.
func TestStartDuringOutageTakesTheHighest(t *testing.T) {
	for i := range 100 { // other nodes, and answers in other orders
		is := is.New(t)
		w := newWorld(5, t.Fatalf)
		w.seed = uint64(100 * i)
		stale, started := w.nodes[i%5], w.nodes[(i%5+1+i/5%4)%5]
		w.apply("khaosan", 1, 0)
		w.settle(15 * time.Second)
		stale.frozen = true
		w.apply("khaosan", 2, 1)
		w.settle(10 * time.Second)
		w.down = true
		w.waiting = nil
		stale.frozen = false
		is.Equal(stale.state.InForce("khaosan"), int64(1))
		started.restart()
		started.do(started.state.Tick(w.now))
		for len(w.waiting) > 0 {
			w.deliver(0)
		}
		for range 100 {
			is.True(started.state.InForce("khaosan") != 1) // never the old one
			w.settle(100 * time.Millisecond)
		}
		is.Equal(started.state.InForce("khaosan"), int64(2))
		is.Equal(stale.state.InForce("khaosan"), int64(2)) // the thawed one too
	}
}

// Symptom: as above. Events: the node was told the newest version, and the peer
// that it fetches from can't reach it and answers with what it has. Cause: an
// older set was better than none, as it is for a node that is only behind.
func TestStartTakesNothingOlderThanTold(t *testing.T) {
	is := is.New(t)
	w := newWorld(2, t.Fatalf)
	w.apply("khaosan", 1, 0)
	w.settle(15 * time.Second)
	old := w.nodes[0].state.tenants["khaosan"]
	w.nodes[1].restart()
	s := w.nodes[1].state
	want := confset.Head{Tenant: "khaosan", Version: 2}
	for _, a := range s.Tick(w.now) {
		if ask, ok := a.(AskPeer); ok {
			s.HandleReply(w.now, ask.ID, Reply{Informed: true, Heads: []confset.Head{want}})
		}
	}
	is.True(s.start.informed)
	s.fetched(w.now, s.tenants["khaosan"], Reply{Head: old.held.Head(), Whole: old.compressed()})
	is.Equal(s.InForce("khaosan"), int64(0))
	is.True(!s.Ready())
}

// Symptom: after a power cut nodes take calls and refuse them as of unknown
// services, or the platform is flooded with reads. Events: all nodes start at
// once, and each asks others that know nothing either. Cause: "there is no
// configuration" was believed from nodes that had not been told themselves, or
// all of them went to the platform for want of an answer.
func TestWholeFleetStartsAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(150, t.Fatalf)
	w.apply("khaosan", 1, 0)
	for range 100 {
		w.settle(100 * time.Millisecond)
		for _, n := range w.nodes {
			is.True(!n.state.Ready() || n.state.InForce("khaosan") == 1)
		}
	}
	reads := 0
	for _, n := range w.nodes {
		is.True(n.state.Ready())
		reads += n.state.Stats().Reads
	}
	is.True(reads < len(w.nodes)) // the first few inform the others
}

// Symptom: a version in force falls after a pause. Events: an answer that was on
// its way before the pause arrives after a newer one. Cause: what arrives last
// was taken for the newest.
func TestOlderSetChangesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, t.Fatalf)
	w.apply("khaosan", 1, 0)
	w.settle(5 * time.Second)
	s := w.nodes[0].state
	old := s.tenants["khaosan"].held
	w.apply("khaosan", 2, 1)
	w.settle(5 * time.Second)
	s.fetchDone(w.now, s.tenants["khaosan"], old, ByPeer)
	is.Equal(s.InForce("khaosan"), int64(2))
	is.Equal(s.Index().Version("khaosan"), int64(2))
}

// Symptom: the platform comes back and goes down again under reads. Events: a
// version is known whose object can't be read for ten minutes. Cause: a fetch
// that failed was made again at once.
func TestFailedFetchesBackOff(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, t.Fatalf)
	w.settle(5 * time.Second)
	w.down = true
	n := w.nodes[0]
	n.do(n.state.Learn(w.now, confset.Head{Tenant: "khaosan", Version: 1}))
	w.settle(10 * time.Minute)
	rounds := n.state.Stats().Failed / sources
	is.True(rounds >= 20 && rounds <= 60) // one in 15 to 30 s, and a few before
}

// Symptom: a node waits for its parent until its own timeout, for each change.
// Events: the parent can't get the version that it was asked for. Cause: a
// peer's question was kept, and never answered.
func TestWaitingPeersAreAnswered(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, t.Fatalf)
	w.settle(5 * time.Second)
	w.down = true
	s := w.nodes[0].state
	want := confset.Head{Tenant: "khaosan", Version: 1}
	s.HandleAsk(w.now, 7, Ask{Want: want})
	answered := func(actions []Action) bool {
		return slices.ContainsFunc(actions, func(a Action) bool {
			answer, ok := a.(Answer)
			return ok && answer.ID == 7 && answer.Reply.Whole == nil
		})
	}
	is.True(!answered(s.Tick(w.now + DefaultConfig().ServeWait - 1)))
	is.True(answered(s.Tick(w.now + DefaultConfig().ServeWait)))
	for i := range uint64(2 * DefaultConfig().MaxWaiters) {
		s.HandleAsk(w.now, i, Ask{Want: want})
	}
	is.Equal(len(s.tenants["khaosan"].waiters), DefaultConfig().MaxWaiters)
	for _, hostile := range []Ask{{}, {Want: confset.Head{Tenant: "khaosan", Version: -1}}, {Want: confset.Head{Version: 1}}} {
		is.Equal(len(s.HandleAsk(w.now, 9, hostile)), 1) // answered without a set
	}
}

// Symptom: part of the fleet serves by a set that nobody accepted. Events: a
// peer answers with another set's bytes, or bytes damaged on the way. Cause: the
// answer was installed for what it was said to be.
func TestWrongDigestIsRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, t.Fatalf)
	w.settle(5 * time.Second)
	s := w.nodes[0].state
	p, err := confset.Pack(testSet("khaosan", 3))
	is.NoErr(err)
	body, err := p.Bytes()
	is.NoErr(err)
	h := p.Head()
	h.Version = 1
	h.Digest[0] ^= 1
	for _, a := range s.Learn(w.now, h) {
		if load, ok := a.(LoadObject); ok {
			s.HandleLoaded(w.now, load.ID, body)
		}
	}
	is.Equal(s.InForce("khaosan"), int64(0))
	is.Equal(s.Stats().Refused, 1)
}

// Symptom: the platform is flooded with reads, or a node's memory fills. Events:
// somebody sends hints by the thousand, for versions and tenants that are none.
// Cause: each hint was followed at once and remembered for good.
func TestHintsAreBounded(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, t.Fatalf)
	w.apply("khaosan", 1, 0)
	w.settle(5 * time.Second)
	s := w.nodes[0].state
	reads := s.Stats().Reads
	for range 1000 {
		w.nodes[0].do(s.Hint(w.now, "khaosan", 99))
		for len(w.waiting) > 0 {
			w.deliver(0)
		}
	}
	is.Equal(s.Stats().Reads, reads+1)
	for i := range 2 * maxTenants {
		s.Hint(w.now, request.Tenant("tenant-"+string(rune('a'+i%26))+time.Duration(i).String()), 1)
	}
	is.True(len(s.order) <= maxTenants)
	s.Hint(w.now, request.Tenant(make([]byte, confset.MaxTenantName+1)), 1)
	is.True(len(s.order) <= maxTenants)
}

func TestHintIsFollowedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(6, t.Fatalf)
	w.settle(15 * time.Second)
	w.apply("khaosan", 1, 0)
	n := w.nodes[3]
	n.do(n.state.Hint(w.now, "khaosan", 1))
	for len(w.waiting) > 0 {
		w.deliver(0) // no time passes
	}
	is.Equal(n.state.InForce("khaosan"), int64(1))
}

func TestFact(t *testing.T) {
	is := is.New(t)
	h := confset.Head{Tenant: "khaosan", Version: 7, Digest: confset.Digest{1, 2, 3}}
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

// TestAnyInterleaving is the guarantee itself: whatever is lost, late, repeated
// or cut off, whoever restarts or freezes, with operators that apply at the same
// time, no version in force falls or is another than the accepted one (checked
// by world at each install), and when all is well again all come to the newest.
func TestAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.IntRange(2, 5).Draw(rt, "nodes"), rt.Fatalf)
		ops := []*operator{{tenant: "khaosan", slots: 1}, {tenant: "khaosan", slots: 1001}, {tenant: "kalahari", slots: 1}}
		pick := func() *node { return rapid.SampledFrom(w.nodes).Draw(rt, "node") }
		rt.Repeat(map[string]func(*rapid.T){
			"deliver": func(rt *rapid.T) {
				if n := len(w.waiting); n > 0 {
					w.deliver(rapid.IntRange(0, n-1).Draw(rt, "message"))
				}
			},
			"deliver all": func(*rapid.T) {
				for n := len(w.waiting); n > 0; n-- {
					w.deliver(0)
				}
			},
			"lose": func(rt *rapid.T) {
				if n := len(w.waiting); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(rt, "message")
					w.waiting = append(w.waiting[:i:i], w.waiting[i+1:]...)
				}
			},
			"repeat": func(rt *rapid.T) {
				if n := len(w.waiting); n > 0 {
					w.waiting = append(w.waiting, w.waiting[rapid.IntRange(0, n-1).Draw(rt, "message")])
				}
			},
			"time":     func(rt *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond) },
			"gossip":   func(*rapid.T) { w.gossip(pick(), pick()) },
			"restart":  func(*rapid.T) { pick().restart() },
			"freeze":   func(*rapid.T) { n := pick(); n.frozen = !n.frozen },
			"cut off":  func(*rapid.T) { n := pick(); n.side = 1 - n.side },
			"platform": func(*rapid.T) { w.down = !w.down },
			"operate":  func(rt *rapid.T) { rapid.SampledFrom(ops).Draw(rt, "operator").step(w) },
			"hint": func(rt *rapid.T) {
				n := pick()
				n.do(n.state.Hint(w.now, "khaosan", rapid.Int64Range(0, 5).Draw(rt, "version")))
			},
		})
		w.down = false
		for _, n := range w.nodes {
			n.frozen, n.side = false, 0
		}
		w.settle(2 * time.Minute)
		for _, n := range w.nodes {
			for _, tenant := range []request.Tenant{"khaosan", "kalahari"} {
				head, _ := w.store.Head(context.Background(), tenant) // a zero record if none was applied
				if got := n.state.InForce(tenant); got != head.Version {
					rt.Fatalf("%s has version %d of %s in force, not %d", n.peer.Addr, got, tenant, head.Version)
				}
			}
		}
	})
}

// operator reads the head and later applies on it, so that two of them race.
type operator struct {
	tenant request.Tenant
	slots  int
	base   int64
	read   bool
}

func (o *operator) step(w *world) {
	ctx := context.Background()
	if !o.read {
		head, _ := w.store.Head(ctx, o.tenant) // a zero record if there is none
		o.base, o.read = head.Version, true
		return
	}
	o.read = false
	o.slots++
	before, _ := w.store.Head(ctx, o.tenant)
	_, err := w.store.Apply(ctx, testSet(o.tenant, o.slots), o.base, "ada")
	after, _ := w.store.Head(ctx, o.tenant)
	won := after.Version == before.Version+1
	if won != (o.base == before.Version) || won != (err == nil) {
		w.fatal("applied on %d at %d: now %d, %v", o.base, before.Version, after.Version, err)
	}
}
