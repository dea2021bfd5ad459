// Package e2e_test runs real engines and real HTTP between stand-in targets in
// one process, with views published by the test in the place of control.
package e2e_test

import (
	"context"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"peardrift/bench/standin/target"
	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/claims"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/core/route"
	"peardrift/internal/dataplane"
	"peardrift/internal/faultproxy"
	"peardrift/internal/status"
)

// host is one instance: a target and its node.
type host struct {
	name   string
	svc    request.Service
	down   bool // its node sees that the target takes no calls
	leaves bool // its node knows that the target leaves, and others don't yet
	target *target.Server
	engine *dataplane.Engine
	nodes  *hertzhttp.Server
	egress *hertzhttp.Server
	entry  *hertzhttp.Server
	links  links
}

// links are the networks around a host, by who connects to whom.
type links struct {
	entry  *faultproxy.Proxy // a caller to the face for callers
	node   *faultproxy.Proxy // other nodes to the face for nodes
	target *faultproxy.Proxy // the node to its target
	egress *faultproxy.Proxy // the target to its node
}

type cluster struct {
	t     *testing.T
	hosts []*host
	idx   *configset.Index
	gen   uint64
	tune  func(*dataplane.Config)                       // may be nil
	wrap  func(dataplane.Transport) dataplane.Transport // may be nil
	local func(*hertzhttp.ClientConfig)                 // of clients of targets; may be nil
	bare  bool                                          // answers of earlier calls are not kept
	obs   dataplane.Observer                            // of all engines; may be nil
}

// claimAll runs every request: claims have tests of their own.
type claimAll struct{}

func (claimAll) Do(ctx context.Context, _ claims.Request, run func(context.Context) claims.Result) claims.Result {
	return run(ctx)
}

func (claimAll) Explain(_ context.Context, _ claims.Request, refusal *status.Error) claims.Result {
	return claims.Failure(refusal)
}

func newCluster(t *testing.T, idx *configset.Index) *cluster { return &cluster{t: t, idx: idx} }

// add starts an instance of a service.
func (c *cluster) add(name string, cfg target.Config, cl dataplane.Claims) *host {
	h := &host{name: name, svc: request.Service(cfg.Service)}
	var relay relayHandler
	h.egress = c.listen(relay.serve)
	h.links.egress = c.link(h.egress.Addr())
	cfg.Node = "http://" + h.links.egress.Addr()
	h.target = target.New(cfg)
	if err := h.target.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = h.target.Close() })
	c.join(h, h.target.Addr(), cl)
	relay.h = h.engine.ServeTarget
	return h
}

// join starts a node beside the target at an address.
func (c *cluster) join(h *host, target string, cl dataplane.Claims) {
	h.links.target = c.link(target)
	if cl == nil {
		cl = claimAll{}
	}
	h.engine = c.engine(h, cl)
	h.nodes = c.listen(h.engine.ServeNode)
	h.links.node = c.link(h.nodes.Addr())
	h.entry = c.listen(h.engine.ServeCaller)
	h.links.entry = c.link(h.entry.Addr())
	c.hosts = append(c.hosts, h)
}

func (c *cluster) engine(h *host, cl dataplane.Claims) *dataplane.Engine {
	self := dataplane.Self{
		Name: h.name, ID: request.TargetIDOf(h.name), Service: h.svc, Tenant: "khaosan",
		Place:  route.Locality{Caller: uint64(request.TargetIDOf(h.name)), Region: "r", Zone: "z"},
		Target: h.links.target.Addr(),
	}
	dc := dataplane.DefaultConfig()
	if c.tune != nil {
		c.tune(&dc)
	}
	cc := hertzhttp.DefaultClientConfig()
	toTarget := cc
	if c.local != nil {
		c.local(&toTarget)
	}
	local := hertzhttp.NewClient(toTarget)
	cc.Prober = dataplane.Prober{}
	peers := hertzhttp.NewClient(cc)
	c.t.Cleanup(func() {
		peers.Close()
		local.Close()
	})
	if c.wrap != nil {
		return dataplane.New(dc, self, c.wrap(peers), c.wrap(local), cl, c.obs)
	}
	return dataplane.New(dc, self, peers, local, cl, c.obs)
}

func (c *cluster) link(to string) *faultproxy.Proxy {
	l, err := faultproxy.Listen(to)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(l.Close)
	return l
}

// relayHandler lets a listener start before its engine is there.
type relayHandler struct{ h hertzhttp.Handler }

func (r *relayHandler) serve(ctx context.Context, c *app.RequestContext) { r.h(ctx, c) }

func (c *cluster) listen(h hertzhttp.Handler) *hertzhttp.Server {
	s, err := hertzhttp.Listen("127.0.0.1:0", hertzhttp.DefaultServerConfig(), h)
	if err != nil {
		c.t.Fatal(err)
	}
	s.Start()
	c.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s
}

// publish gives all engines the view of all hosts.
func (c *cluster) publish() {
	c.gen++
	peers := map[request.Service][]dataplane.Peer{}
	for _, h := range c.hosts {
		info, _ := c.idx.Service(h.svc)
		peers[h.svc] = append(peers[h.svc], dataplane.Peer{
			Target: route.Target{ID: request.TargetIDOf(h.name), Incarnation: 1, Region: "r", Zone: "z", Slots: info.Slots, Conns: info.Connections},
			Addr:   h.links.node.Addr(),
		})
	}
	v := dataplane.View{
		Gen: c.gen, Index: c.idx, Ready: true,
		Peers:   func(s request.Service) []dataplane.Peer { return peers[s] },
		Callers: func(request.Service) int { return 0 },
	}
	for _, h := range c.hosts {
		own := v
		own.TargetUp, own.Leaving = !h.down, h.leaves
		h.engine.Publish(&own)
	}
}
