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
