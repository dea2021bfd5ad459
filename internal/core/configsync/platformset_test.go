package configsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
)

func packedSet(t *testing.T, version int64) *configset.EncodedSet {
	p, err := configset.Pack(configset.Set{Tenant: "t", Version: version, Share: 1, Services: []configset.Service{
		{Name: "a", Slots: 1, Connections: 1, Routes: []configset.Route{{
			Name: "r", Host: "x", Prefix: "/", Weight: int(version), Deadline: time.Second, Runs: 1,
		}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a downgrade: the watch of the store gets a stale read, and the
// last set read is taken for the newest.
func TestPlatformSetNeverLowersVersion(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig(), Peer{ID: 1}, rand.New(rand.NewPCG(1, 2)), 0)
	is.True(!s.Ready())
	s.HandlePlatformSet(0, packedSet(t, 5))
	is.True(s.Ready()) // no peer can know more than the store
	is.Equal(s.InForce("t"), int64(5))
	s.HandlePlatformSet(1, packedSet(t, 4))
	is.Equal(s.InForce("t"), int64(5))
	spread := 0
	for _, a := range s.HandlePlatformSet(2, packedSet(t, 7)) {
		if _, ok := a.(GossipHead); ok {
			spread++
		}
	}
	is.Equal(s.InForce("t"), int64(7))
	is.Equal(spread, 1) // the others learn of it, even those that the store rejects
}

// Guards against a node that has read the platform itself and still asks as a
// starting node.
func TestEmptyPlatformMarksNodeInformed(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig(), Peer{ID: 1}, rand.New(rand.NewPCG(1, 1)), 0)
	s.SetPeers([]Peer{{ID: 1}}, []Peer{{ID: 1}}, true)
	s.HandlePlatformEmpty(0)
	is.True(s.Ready())
	s.tickStartup(time.Hour)
	is.Equal(len(s.takeActions()), 0)
}

// Guards against a lagging parent that sends an old set to a starting node.
func TestStartingNodeRejectsParentSet(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, t.Fatalf)
	c.apply("khaosan", 1, 0)
	c.runFor(5 * time.Second)
	given := c.nodes[0].state.ReplySince(c.now, "khaosan", 0)
	is.True(given != nil)
	s := New(DefaultConfig(), Peer{ID: 9}, rand.New(rand.NewPCG(1, 1)), 0)
	s.HandlePush(0, "khaosan", *given)
	is.Equal(s.InForce("khaosan"), int64(0))
	s.HandlePlatformEmpty(0)
	s.HandlePush(0, "khaosan", *given)
	is.Equal(s.InForce("khaosan"), int64(1))
	is.Equal(s.ReplySince(0, "khaosan", 1) == nil, true) // nothing newer to send
}

// Guards against requesting a delta again from a version for which one was
// rejected.
func TestRejectedDeltaTriggersWholeSet(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, t.Fatalf)
	c.apply("khaosan", 1, 0)
	c.runFor(5 * time.Second)
	s := c.nodes[0].state
	is.Equal(s.DeltaBase("khaosan"), int64(1))
	s.HandlePush(c.now, "khaosan", Reply{Head: configset.Head{Tenant: "khaosan", Version: 2}, Delta: []byte{1}})
	is.Equal(s.InForce("khaosan"), int64(1))
	is.Equal(s.DeltaBase("khaosan"), int64(0))
}
