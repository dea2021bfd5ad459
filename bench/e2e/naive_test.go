package e2e_test

import (
	"context"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/dataplane"
	"peardrift/internal/faultproxy"
)

// trusting takes a broken connection for proof that nothing ran.
type trusting struct{ dataplane.Transport }

func (n trusting) Do(ctx context.Context, addr string, req *protocol.Request, resp *protocol.Response) (hertzhttp.Result, error) {
	res, err := n.Transport.Do(ctx, addr, req, resp)
	if err != nil {
		res.Sent = false
	}
	return res, err
}

// repeating sends a call again when its connection breaks, as HTTP clients do.
type repeating struct{ dataplane.Transport }

func (n repeating) Do(ctx context.Context, addr string, req *protocol.Request, resp *protocol.Response) (hertzhttp.Result, error) {
	res, err := n.Transport.Do(ctx, addr, req, resp)
	if err != nil {
		return n.Transport.Do(ctx, addr, req, resp)
	}
	return res, err
}

// The enumeration of cuts finds each of these, so that its silence about the
// real client means something.
func TestNaiveTransportsAreFound(t *testing.T) {
	for name, wrap := range map[string]func(dataplane.Transport) dataplane.Transport{
		"a break proves that nothing ran": func(tr dataplane.Transport) dataplane.Transport { return trusting{tr} },
		"a break is repeated":             func(tr dataplane.Transport) dataplane.Transport { return repeating{tr} },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, threeServices())
			c.tune, c.wrap = eager, wrap
			c.startChain(300)
			q := query{method: "POST", host: "media.khaosan", path: "/pay", keyed: true, body: 300}
			for _, l := range []*faultproxy.Proxy{c.hosts[2].links.node, c.hosts[2].links.target} {
				err := c.cutEverywhere(l, faultproxy.Answer, faultproxy.Reset, q)
				if err == nil {
					t.Fatal("not found")
				}
				t.Log(err)
				c.recover(l, q, "next")
			}
		})
	}
}
