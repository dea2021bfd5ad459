package dataplane

import (
	"context"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
)

// counted is a transport that carries nothing and counts what it is asked for.
type counted struct{ calls int }

func (c *counted) Do(context.Context, string, *protocol.Request, *protocol.Response) (hertzhttp.Result, error) {
	c.calls++
	return hertzhttp.Result{}, status.New(status.CodeConnectFailed, "carries nothing")
}

func (c *counted) Reachable(string) bool { return true }

// Symptom: processor time rises though hardly a call leaves its zone.
// Events: all calls between nodes are packed, also those within a zone, where bytes
// cost nothing. Cause: one transport for both.
func TestCallsWithinAZoneHaveATransportOfTheirOwn(t *testing.T) {
	is := is.New(t)
	e, info := caller(t)
	near, far := &counted{}, &counted{}
	e.peers = near
	e.SetFar(far)
	c := &outgoing{info: info, class: &info.Classes[0], req: protocol.AcquireRequest()}
	send := func(zone string) {
		var resp protocol.Response
		e.attempt(context.Background(), c, choice{zone: zone}, &retry.Grant{}, &c.sub, &resp)
	}
	send(e.self.Place.Zone)
	is.Equal([]int{near.calls, far.calls}, []int{1, 0})
	send("elsewhere")
	is.Equal([]int{near.calls, far.calls}, []int{1, 1})
}
