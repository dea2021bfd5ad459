package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/adapter/rpc"
	"peardrift/internal/core/configwatch"
)

type stubParent struct{}

func (stubParent) Next(_ *WatchArgs, out *WatchReply) error {
	*out = WatchReply{Reply: configwatch.PollReply{Version: 12345, HasWatermark: true, WatermarkOffset: -700 * time.Millisecond}}
	return nil
}

// Guards against charging a node's membership budget for its children's requests, or
// crediting it for them.
func TestExcludedBytesMatchTheCostOfARequest(t *testing.T) {
	is := is.New(t)
	served, called := &rpc.Meter{}, &rpc.Meter{}
	s := rpc.NewServer(rpc.DefaultConfig(), served)
	is.NoErr(s.Register(configName, stubParent{}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	p := rpc.NewPool(rpc.DefaultConfig(), called)
	defer p.Close()
	ask := func() {
		args := WatchArgs{Request: configwatch.PollRequest{Version: 12345}, Base: 12345}
		is.NoErr(p.Call(context.Background(), ln.Addr().String(), methodNext, &args, &WatchReply{}))
	}
	ask() // opens the connection
	for _, m := range []*rpc.Meter{served, called} {
		m.TakeBytes()
		before := m.Total()
		ask()
		cost := int(m.Total() - before)
		const more = 9
		for range more {
			ask()
			m.Exclude(nextBytes)
		}
		left := m.TakeBytes() // the cost of the one request that was not excluded
		is.True(left > cost/2 && left < cost*3/2)
	}
}
