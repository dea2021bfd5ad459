package inforce

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/budget"
	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
)

// riders returns two nodes without budget that hold version 1 of two tenants, and
// the versions 1 to 4 of the first one's set, each known from the one before.
func riders(t testing.TB) (a, b *State, versions []*confset.Packed) {
	peers := manyPeers(2, 1)
	pack := func(tenant request.Tenant, v int64) *confset.Packed {
		set := testSet(tenant, int(2*v))
		set.Version = v
		p, err := confset.Pack(set)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	for v := int64(1); v <= 4; v++ {
		p := pack("khaosan", v)
		if v > 1 {
			p = p.Following(versions[v-2])
		}
		versions = append(versions, p)
	}
	other := pack("kalahari", 1)
	for i := range peers {
		s := New(DefaultConfig(), peers[i], rand.New(rand.NewPCG(uint64(i), 1)), 0)
		s.SetPeers(peers, peers, true)
		empty := budget.New(1000, time.Second, 0)
		empty.Spend(1000)
		s.SetBudget(empty)
		for _, p := range []*confset.Packed{versions[0], other} {
			s.Learn(1, p.Head())
			x := s.tenants[p.Head().Tenant]
			s.install(1, x, p, ByWatch)
		}
		s.start.informed = true
		a, b = b, s
	}
	return a, b, versions
}

// Symptom: in a busy minute a node is behind until it can pay for connections.
// Events: its budget is short; a peer with which it exchanges heartbeats has a
// newer version, of which it has not heard. Cause: what changed, and the head,
// travel in messages of their own only.
func TestShortNodesRide(t *testing.T) {
	is := is.New(t)
	a, b, versions := riders(t)
	const now = time.Minute
	b.install(now, b.tenants["khaosan"], versions[2], ByWatch)
	for _, action := range a.Learn(now, versions[1].Head()) {
		_, asks := action.(AskPeer)
		is.True(!asks) // it waits for a heartbeat
	}
	answer := b.RideAnswer(a.RideAsk(200), 700)
	again := b.RideAnswer(a.RideAsk(200), 700)
	a.RideTake(now, answer)
	is.Equal(a.InForce("khaosan"), int64(3))
	is.Equal(a.Stats().ByRide, 1)
	a.RideTake(now, again) // it comes again
	is.Equal(a.Stats(), Stats{Installed: 3, ByRide: 1})
	is.Equal(b.RideAnswer(a.RideAsk(200), 700), nil) // nothing newer
	is.Equal(b.RideAnswer(a.RideAsk(0), 700), nil)   // no room
}

// Symptom: a node stays behind though its peers ask and answer. Events: its
// neighbours are as far behind, or lost what they held. Cause: it goes on waiting
// for heartbeats.
func TestRidingIsGivenUp(t *testing.T) {
	is := is.New(t)
	a, _, versions := riders(t)
	const now = time.Minute
	a.Learn(now, versions[1].Head())
	asked := func(actions []Action) (n int) {
		for _, action := range actions {
			switch action.(type) {
			case AskPeer, LoadObject:
				n++
			}
		}
		return n
	}
	a.tenants["khaosan"].attempt = parentTries // not the root that it may be
	a.Tick(now + DefaultConfig().Spacing)
	is.Equal(asked(a.Tick(now+DefaultConfig().RideFor-1)), 0)
	is.Equal(asked(a.Tick(now+DefaultConfig().RideFor+DefaultConfig().Spacing)), 1)
}

// Symptom: a node goes back, crashes, or holds what nobody accepted. Events: an
// answer for another base, with another digest, or of other tenants rides along.
// Cause: it is believed.
func TestWrongRidesChangeNothing(t *testing.T) {
	is := is.New(t)
	a, _, versions := riders(t)
	d, _ := versions[1].Since(1)
	delta, err := d.Encode()
	is.NoErr(err)
	right := versions[1].Head().Digest
	for _, p := range []part{
		{Tenant: 1, Version: 2, Digest: right[:], Delta: delta[:len(delta)-1]},
		{Tenant: 1, Version: 2, Digest: make([]byte, len(right)), Delta: delta},
		{Tenant: 1, Version: 2, Digest: right[:3], Delta: delta},
		{Tenant: 1, Version: 3, Digest: right[:], Delta: delta},
		{Tenant: 0, Version: 2, Digest: right[:], Delta: delta},
		{Tenant: -1, Version: 2, Digest: right[:], Delta: delta},
		{Tenant: 2, Version: 2, Digest: right[:], Delta: delta},
		{Tenant: 1, Version: 1, Digest: right[:], Delta: delta},
	} {
		a.RideTake(time.Minute, encode([]part{p}))
		is.Equal(a.InForce("khaosan"), int64(1))
		is.Equal(a.InForce("kalahari"), int64(1))
	}
	a.RideTake(time.Minute, encode([]part{{Tenant: 1, Version: 2, Digest: right[:], Delta: delta}}))
	is.Equal(a.InForce("khaosan"), int64(2))
}

// FuzzRide: whatever rides along, a node neither ends nor takes another set than
// the one that was announced.
func FuzzRide(f *testing.F) {
	a, b, versions := riders(f)
	question := a.RideAsk(200)
	b.install(1, b.tenants["khaosan"], versions[1], ByWatch)
	f.Add(question)
	f.Add(b.RideAnswer(question, 700))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}) // announces four thousand million parts
	f.Fuzz(func(t *testing.T, body []byte) {
		a, b, versions := riders(t)
		a.Learn(time.Minute, versions[1].Head())
		b.install(1, b.tenants["khaosan"], versions[3], ByWatch)
		a.RideTake(time.Minute, body)
		if a.InForce("khaosan") == 2 && a.tenants["khaosan"].held.Head() != versions[1].Head() {
			t.Fatal("another set came in force as version 2")
		}
		if len(b.RideAnswer(body, 700)) > 700 {
			t.Fatal("an answer exceeds its room")
		}
	})
}
