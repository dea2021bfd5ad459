package e2e_test

import (
	"context"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/dataplane"
	"peardrift/internal/faultproxy"
)

// assumeNotSent treats a broken connection as proof that nothing ran.
type assumeNotSent struct{ dataplane.Transport }

func (n assumeNotSent) Do(ctx context.Context, addr string, req *protocol.Request, resp *protocol.Response) (hertzhttp.Result, error) {
	res, err := n.Transport.Do(ctx, addr, req, resp)
	if err != nil {
		res.Sent = false
	}
	return res, err
}

// retryOnBreak retries a call when its connection breaks, as HTTP clients do.
type retryOnBreak struct{ dataplane.Transport }

func (n retryOnBreak) Do(ctx context.Context, addr string, req *protocol.Request, resp *protocol.Response) (hertzhttp.Result, error) {
	res, err := n.Transport.Do(ctx, addr, req, resp)
	if err != nil {
		return n.Transport.Do(ctx, addr, req, resp)
	}
	return res, err
}

// Checks that the enumeration of cuts detects unsafe transports, so that its
// passing with the real client is meaningful.
func TestCutsDetectUnsafeTransports(t *testing.T) {
	for name, wrap := range map[string]func(dataplane.Transport) dataplane.Transport{
		"a break proves that nothing ran": func(tr dataplane.Transport) dataplane.Transport { return assumeNotSent{tr} },
		"a break is repeated":             func(tr dataplane.Transport) dataplane.Transport { return retryOnBreak{tr} },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, threeServices())
			c.tuneEngine, c.wrapTransport = retryBrokenPeersAtOnce, wrap
			c.startChain(300)
			q := query{method: "POST", host: "media.khaosan", path: "/pay", keyed: true, body: 300}
			for _, l := range []*faultproxy.Proxy{c.hosts[2].proxies.node, c.hosts[2].proxies.target} {
				err := c.testCuts(l, faultproxy.Answer, faultproxy.Reset, q)
				if err == nil {
					t.Fatal("no violation detected")
				}
				t.Log(err)
				c.restore(l, q, "next")
			}
		})
	}
}
