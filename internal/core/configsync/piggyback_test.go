package configsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/budget"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// nodesOverBudget returns two nodes with an exhausted budget that hold version
// 1 of two tenants, and versions 1 to 4 of the first tenant's set, each with
// the history of the previous one.
func nodesOverBudget(t testing.TB) (a, b *State, versions []*configset.EncodedSet) {
	peers := manyPeers(2, 1)
	pack := func(tenant request.Tenant, v int64) *configset.EncodedSet {
		set := testSet(tenant, int(2*v))
		set.Version = v
		p, err := configset.Pack(set)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	for v := int64(1); v <= 4; v++ {
		p := pack("khaosan", v)
		if v > 1 {
			p = p.WithHistoryOf(versions[v-2])
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
		for _, p := range []*configset.EncodedSet{versions[0], other} {
			s.Learn(1, p.Head())
			x := s.tenants[p.Head().Tenant]
			s.install(1, x, p, ByWatch)
		}
		s.startup.informed = true
		a, b = b, s
	}
	return a, b, versions
}

// Guards against a node that stays behind until it can afford connections: its
// budget is exhausted, and a peer with which it exchanges heartbeats has a
// newer version that the node has not heard of.
func TestNodesOverBudgetPiggyback(t *testing.T) {
	is := is.New(t)
	a, b, versions := nodesOverBudget(t)
	const now = time.Minute
	b.install(now, b.tenants["khaosan"], versions[2], ByWatch)
	for _, action := range a.Learn(now, versions[1].Head()) {
		_, asks := action.(AskPeer)
		is.True(!asks) // waits for a heartbeat
	}
	answer := b.PiggybackAnswer(a.PiggybackQuery(200), 700)
	again := b.PiggybackAnswer(a.PiggybackQuery(200), 700)
	a.HandlePiggyback(now, answer)
	is.Equal(a.InForce("khaosan"), int64(3))
	is.Equal(a.Stats().ByPiggyback, 1)
	a.HandlePiggyback(now, again) // duplicate answer
	is.Equal(a.Stats(), Stats{Installed: 3, ByPiggyback: 1})
	is.Equal(b.PiggybackAnswer(a.PiggybackQuery(200), 700), nil) // nothing newer
	is.Equal(b.PiggybackAnswer(a.PiggybackQuery(0), 700), nil)   // no room
}

// Guards against a node that waits for heartbeats forever: its peers are as far
// behind as it is, or have lost their state.
func TestPiggybackTimesOut(t *testing.T) {
	is := is.New(t)
	a, _, versions := nodesOverBudget(t)
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
	a.tenants["khaosan"].failures = parentAttempts // skips the parents, as the node may be a root
	a.Tick(now + DefaultConfig().MinFetchInterval)
	is.Equal(asked(a.Tick(now+DefaultConfig().PiggybackTimeout-1)), 0)
	is.Equal(asked(a.Tick(now+DefaultConfig().PiggybackTimeout+DefaultConfig().MinFetchInterval)), 1)
}

// Guards against downgrades, panics and unaccepted sets caused by a piggybacked
// answer with another base, another digest or other tenants.
func TestInvalidPiggybackIsIgnored(t *testing.T) {
	is := is.New(t)
	a, _, versions := nodesOverBudget(t)
	d, _ := versions[1].DeltaSince(1)
	delta, err := d.Encode()
	is.NoErr(err)
	right := versions[1].Head().Digest
	for _, p := range []tenantDelta{
		{Tenant: 1, Version: 2, Digest: right[:], Delta: delta[:len(delta)-1]},
		{Tenant: 1, Version: 2, Digest: make([]byte, len(right)), Delta: delta},
		{Tenant: 1, Version: 2, Digest: right[:3], Delta: delta},
		{Tenant: 1, Version: 3, Digest: right[:], Delta: delta},
		{Tenant: 0, Version: 2, Digest: right[:], Delta: delta},
		{Tenant: -1, Version: 2, Digest: right[:], Delta: delta},
		{Tenant: 2, Version: 2, Digest: right[:], Delta: delta},
		{Tenant: 1, Version: 1, Digest: right[:], Delta: delta},
	} {
		a.HandlePiggyback(time.Minute, encodeArray([]tenantDelta{p}))
		is.Equal(a.InForce("khaosan"), int64(1))
		is.Equal(a.InForce("kalahari"), int64(1))
	}
	a.HandlePiggyback(time.Minute, encodeArray([]tenantDelta{{Tenant: 1, Version: 2, Digest: right[:], Delta: delta}}))
	is.Equal(a.InForce("khaosan"), int64(2))
}

// FuzzPiggyback: no piggybacked message makes a node panic or install a set
// other than the announced one.
func FuzzPiggyback(f *testing.F) {
	a, b, versions := nodesOverBudget(f)
	query := a.PiggybackQuery(200)
	b.install(1, b.tenants["khaosan"], versions[1], ByWatch)
	f.Add(query)
	f.Add(b.PiggybackAnswer(query, 700))
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff}) // array header announcing 2^32-1 elements
	f.Fuzz(func(t *testing.T, body []byte) {
		a, b, versions := nodesOverBudget(t)
		a.Learn(time.Minute, versions[1].Head())
		b.install(1, b.tenants["khaosan"], versions[3], ByWatch)
		a.HandlePiggyback(time.Minute, body)
		if a.InForce("khaosan") == 2 && a.tenants["khaosan"].held.Head() != versions[1].Head() {
			t.Fatal("version 2 in force is not the announced set")
		}
		if len(b.PiggybackAnswer(body, 700)) > 700 {
			t.Fatal("answer exceeds the available room")
		}
	})
}
