package inforce

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/confset"
)

func offered(t *testing.T, version int64) *confset.Packed {
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

// Symptom: a node serves by an older version than before. Events: its watch of the
// store gets a read that lags behind. Cause: what was read last is taken for what
// is newest.
func TestOffersOnlyRise(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig(), Peer{ID: 1}, rand.New(rand.NewPCG(1, 2)), 0)
	is.True(!s.Ready())
	s.Offer(0, offered(t, 5))
	is.True(s.Ready()) // nobody could tell it anything newer than the store
	is.Equal(s.InForce("t"), int64(5))
	s.Offer(1, offered(t, 4))
	is.Equal(s.InForce("t"), int64(5))
	spread := 0
	for _, a := range s.Offer(2, offered(t, 7)) {
		if _, ok := a.(Spread); ok {
			spread++
		}
	}
	is.Equal(s.InForce("t"), int64(7))
	is.Equal(spread, 1) // the others are told, also those that the store turns away
}

// Guards against a node that has asked the platform itself and asks again as one that
// starts.
func TestAPlatformWithoutASetInforms(t *testing.T) {
	is := is.New(t)
	s := New(DefaultConfig(), Peer{ID: 1}, rand.New(rand.NewPCG(1, 1)), 0)
	s.SetPeers([]Peer{{ID: 1}}, []Peer{{ID: 1}}, true)
	s.OfferNone(0)
	is.True(s.Ready())
	s.tickStart(time.Hour)
	is.Equal(len(s.take()), 0)
}

// Guards against a parent that is behind bringing back an old set to a node that starts.
func TestANodeThatStartsTakesNoSetFromItsParent(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, t.Fatalf)
	w.apply("khaosan", 1, 0)
	w.settle(5 * time.Second)
	given := w.nodes[0].state.Since(w.now, "khaosan", 0)
	is.True(given != nil)
	s := New(DefaultConfig(), Peer{ID: 9}, rand.New(rand.NewPCG(1, 1)), 0)
	s.Give(0, "khaosan", *given)
	is.Equal(s.InForce("khaosan"), int64(0))
	s.OfferNone(0)
	s.Give(0, "khaosan", *given)
	is.Equal(s.InForce("khaosan"), int64(1))
	is.Equal(s.Since(0, "khaosan", 1) == nil, true) // nothing newer
}

// Guards against a delta being asked for again from the version at which one was wrong.
func TestAfterAWrongDeltaTheWholeSetIsAskedFor(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, t.Fatalf)
	w.apply("khaosan", 1, 0)
	w.settle(5 * time.Second)
	s := w.nodes[0].state
	is.Equal(s.Base("khaosan"), int64(1))
	s.Give(w.now, "khaosan", Reply{Head: confset.Head{Tenant: "khaosan", Version: 2}, Delta: []byte{1}})
	is.Equal(s.InForce("khaosan"), int64(1))
	is.Equal(s.Base("khaosan"), int64(0))
}
