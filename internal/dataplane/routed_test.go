package dataplane

import (
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// Symptom: for half a second after a node has restarted, each request that runs
// beside it fails. Events: its target reports before the node knows the others;
// the requests that it lets in make calls that it can't carry. Cause: a gate that
// opens with the target, not with the node.
func TestNodeThatCannotCarryCallsTakesNone(t *testing.T) {
	is := is.New(t)
	e, _ := caller(t)
	e.SetLifetime(Lifetime{Instance: "i", Slots: 10, Takes: true})
	s := &serving{meta: wire.Meta{Service: e.self.Service, Route: "r"}}
	is.Equal(e.acceptRouted(s, &View{}).Code, status.CodeNotReady)
	other := &serving{meta: wire.Meta{Service: "other-than.t", Route: "r"}}
	is.Equal(e.acceptRouted(other, &View{Ready: true}).Code, status.CodeNotReady)
	is.Equal(e.acceptRouted(s, &View{Ready: true, Leaving: true}).Code, status.CodeDraining)
	e.SetLifetime(Lifetime{Instance: "i", Slots: 10})
	is.Equal(e.acceptRouted(s, &View{Ready: true}).Code, status.CodeNotReady)
}
