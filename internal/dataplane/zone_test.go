package dataplane

import (
	"context"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
)

// named is a transport that carries nothing.
type named string

func (named) Do(context.Context, string, *protocol.Request, *protocol.Response) (hertzhttp.Result, error) {
	return hertzhttp.Result{}, nil
}

func (named) Reachable(string) bool { return true }

// Symptom: processor time rises though hardly a call leaves its zone.
// Events: all calls between nodes are packed, also those within a zone, where bytes
// cost nothing. Cause: one transport for both.
func TestCallsWithinAZoneHaveATransportOfTheirOwn(t *testing.T) {
	is := is.New(t)
	e, _ := caller(t)
	e.peers = named("near")
	e.SetFar(named("far"))
	is.Equal(e.toZone(e.self.Place.Zone), Transport(named("near")))
	is.Equal(e.toZone("elsewhere"), Transport(named("far")))
}
