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

// countingTransport is a transport that sends nothing and counts the calls.
type countingTransport struct{ calls int }

func (c *countingTransport) Do(context.Context, string, *protocol.Request, *protocol.Response) (hertzhttp.Result, error) {
	c.calls++
	return hertzhttp.Result{}, status.New(status.CodeConnectFailed, "sends nothing")
}

func (c *countingTransport) Reachable(string) bool { return true }

// Guards against one transport for all zones: calls within a zone, where bytes are
// free, would be packed too and cost processor time.
func TestCallsWithinZoneUseSeparateTransport(t *testing.T) {
	is := is.New(t)
	e, info := newCaller(t)
	near, far := &countingTransport{}, &countingTransport{}
	e.peers = near
	e.SetCrossZoneTransport(far)
	c := &outboundCall{info: info, class: &info.Classes[0], req: protocol.AcquireRequest()}
	send := func(zone string) {
		var resp protocol.Response
		e.attempt(context.Background(), c, choice{zone: zone}, &retry.Grant{}, &c.callState, &resp)
	}
	send(e.self.Place.Zone)
	is.Equal([]int{near.calls, far.calls}, []int{1, 0})
	send("elsewhere")
	is.Equal([]int{near.calls, far.calls}, []int{1, 1})
}
