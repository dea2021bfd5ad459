package inforce

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/confset"
)

func packedSet(t *testing.T, version int64) *confset.Packed {
	p, err := confset.Pack(confset.Set{Tenant: "t", Version: version, Share: 1, Services: []confset.Service{
		{Name: "a", Slots: 1, Connections: 1, Routes: []confset.Route{{
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
func TestOfferNeverLowersVersion(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig(), Peer{ID: 1}, rand.New(rand.NewPCG(1, 2)), 0)
	is.True(!s.Ready())
	s.Offer(0, packedSet(t, 5))
	is.True(s.Ready()) // no peer can know more than the store
	is.Equal(s.InForce("t"), int64(5))
	s.Offer(1, packedSet(t, 4))
	is.Equal(s.InForce("t"), int64(5))
	spread := 0
	for _, a := range s.Offer(2, packedSet(t, 7)) {
		if _, ok := a.(Spread); ok {
			spread++
		}
	}
	is.Equal(s.InForce("t"), int64(7))
	is.Equal(spread, 1) // the others learn of it, even those that the store rejects
}

// Guards against a node that has read the platform itself and still asks as a
// starting node.
func TestOfferNoneMarksNodeInformed(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig(), Peer{ID: 1}, rand.New(rand.NewPCG(1, 1)), 0)
	s.SetPeers([]Peer{{ID: 1}}, []Peer{{ID: 1}}, true)
	s.OfferNone(0)
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
	given := c.nodes[0].state.Since(c.now, "khaosan", 0)
	is.True(given != nil)
	s := New(DefaultConfig(), Peer{ID: 9}, rand.New(rand.NewPCG(1, 1)), 0)
	s.Give(0, "khaosan", *given)
	is.Equal(s.InForce("khaosan"), int64(0))
	s.OfferNone(0)
	s.Give(0, "khaosan", *given)
	is.Equal(s.InForce("khaosan"), int64(1))
	is.Equal(s.Since(0, "khaosan", 1) == nil, true) // nothing newer to send
}

// Guards against requesting a delta again from a version for which one was
// rejected.
func TestRejectedDeltaTriggersWholeSet(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, t.Fatalf)
	c.apply("khaosan", 1, 0)
	c.runFor(5 * time.Second)
	s := c.nodes[0].state
	is.Equal(s.Base("khaosan"), int64(1))
	s.Give(c.now, "khaosan", Reply{Head: confset.Head{Tenant: "khaosan", Version: 2}, Delta: []byte{1}})
	is.Equal(s.InForce("khaosan"), int64(1))
	is.Equal(s.Base("khaosan"), int64(0))
}
