package configsync

import (
	"math/rand/v2"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/configset"
)

// FuzzReply feeds a node arbitrary replies from a peer: it must not panic, and
// must install only the announced set.
func FuzzReply(f *testing.F) {
	pack := func(slots int, version int64) *configset.EncodedSet {
		set := testSet("khaosan", slots)
		set.Version = version
		p, err := configset.Pack(set)
		if err != nil {
			f.Fatal(err)
		}
		return p
	}
	old, next := pack(2, 1), pack(4, 2)
	d, _ := next.WithHistoryOf(old).DeltaSince(1)
	delta, err := d.Encode()
	if err != nil {
		f.Fatal(err)
	}
	for _, r := range []Reply{
		{Head: next.Head(), Delta: delta},
		{Head: next.Head(), Whole: (&tenant{held: next}).compressed()},
		{Head: next.Head(), Whole: (&tenant{held: old}).compressed()},
		{Heads: []configset.Head{next.Head(), old.Head()}, Informed: true},
	} {
		body, err := msgpack.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var r Reply
		if msgpack.Unmarshal(body, &r) != nil {
			return
		}
		peers := manyPeers(3, 1)
		s := New(DefaultConfig(), peers[0], rand.New(rand.NewPCG(1, 1)), 0)
		s.SetPeers(peers, peers, true)
		s.startup.informed = true
		s.Learn(1, next.Head())
		s.tenants["khaosan"].held = old
		s.handleFetchReply(1, s.tenants["khaosan"], r)
		if v := s.InForce("khaosan"); v == 2 && s.tenants["khaosan"].held.Head() != next.Head() {
			t.Fatal("version 2 in force is not the announced set")
		}
		s.handleKnownHeads(1, pendingCall{peer: peers[1].ID}, r)
	})
}
