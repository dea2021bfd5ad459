// Package e2e_test runs real data-plane engines over real HTTP between stand-in
// targets in one process. The tests publish the views in place of the control
// plane.
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
	name          string
	svc           request.Service
	targetDown    bool // the node considers the target down
	targetLeaving bool // the node knows that the target is leaving; other nodes don't yet
	target        *target.Server
	engine        *dataplane.Engine
	nodes         *hertzhttp.Server
	egress        *hertzhttp.Server
	entry         *hertzhttp.Server
	proxies       hostProxies
}

// hostProxies are the proxies around a host, by connecting and accepting side.
type hostProxies struct {
	entry  *faultproxy.Proxy // callers to the node's caller listener
	node   *faultproxy.Proxy // other nodes to the node's peer listener
	target *faultproxy.Proxy // the node to its target's listener
	egress *faultproxy.Proxy // the target to the node's egress listener
}

type cluster struct {
	t                *testing.T
	hosts            []*host
	index            *configset.Index
	gen              uint64
	tuneEngine       func(*dataplane.Config)                       // may be nil
	wrapTransport    func(dataplane.Transport) dataplane.Transport // may be nil
	tuneTargetClient func(*hertzhttp.ClientConfig)                 // for the clients that call targets; may be nil
	compressHeaders  bool                                          // between nodes
	answersNotKept   bool                                          // answers of completed calls are not kept for repeats
	observer         dataplane.Observer                            // for all engines; may be nil
}

// noClaims runs every request without a claim; claims are tested separately.
type noClaims struct{}

func (noClaims) Do(ctx context.Context, _ claims.Request, run func(context.Context) claims.Result) claims.Result {
	return run(ctx)
}

func (noClaims) Explain(_ context.Context, _ claims.Request, refusal *status.Error) claims.Result {
	return claims.Failure(refusal)
}

func newCluster(t *testing.T, idx *configset.Index) *cluster { return &cluster{t: t, index: idx} }

// addHost starts a host: a stand-in target and its node.
func (c *cluster) addHost(name string, cfg target.Config, cl dataplane.Claims) *host {
	h := &host{name: name, svc: request.Service(cfg.Service)}
	var relay relayHandler
	h.egress = c.listen(relay.serve, false)
	h.proxies.egress = c.startProxy(h.egress.Addr())
	cfg.Node = "http://" + h.proxies.egress.Addr()
	h.target = target.New(cfg)
	if err := h.target.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = h.target.Close() })
	c.addNode(h, h.target.Addr(), cl)
	relay.h = h.engine.ServeTarget
	return h
}

// addNode starts a node for the target at an address.
func (c *cluster) addNode(h *host, target string, cl dataplane.Claims) {
	h.proxies.target = c.startProxy(target)
	if cl == nil {
		cl = noClaims{}
	}
	h.engine = c.engine(h, cl)
	h.nodes = c.listen(h.engine.ServeNode, c.compressHeaders)
	h.proxies.node = c.startProxy(h.nodes.Addr())
	h.entry = c.listen(h.engine.ServeCaller, false)
	h.proxies.entry = c.startProxy(h.entry.Addr())
	c.hosts = append(c.hosts, h)
}

func (c *cluster) engine(h *host, cl dataplane.Claims) *dataplane.Engine {
	self := dataplane.Self{
		Name: h.name, ID: request.TargetIDOf(h.name), Service: h.svc, Tenant: "khaosan",
		Place:  route.Locality{Caller: uint64(request.TargetIDOf(h.name)), Region: "r", Zone: "z"},
		Target: h.proxies.target.Addr(),
	}
	dc := dataplane.DefaultConfig()
	if c.tuneEngine != nil {
		c.tuneEngine(&dc)
	}
	cc := hertzhttp.DefaultClientConfig()
	toTarget := cc
	if c.tuneTargetClient != nil {
		c.tuneTargetClient(&toTarget)
	}
	local := hertzhttp.NewClient(toTarget)
	cc.Prober = dataplane.Prober{}
	cc.CompressHeaders = c.compressHeaders
	peers := hertzhttp.NewClient(cc)
	c.t.Cleanup(func() {
		peers.Close()
		local.Close()
	})
	if c.wrapTransport != nil {
		return dataplane.New(dc, self, c.wrapTransport(peers), c.wrapTransport(local), cl, c.observer)
	}
	return dataplane.New(dc, self, peers, local, cl, c.observer)
}

func (c *cluster) startProxy(to string) *faultproxy.Proxy {
	l, err := faultproxy.Listen(to)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(l.Close)
	return l
}

// relayHandler lets a listener start before its engine exists.
type relayHandler struct{ h hertzhttp.Handler }

func (r *relayHandler) serve(ctx context.Context, c *app.RequestContext) { r.h(ctx, c) }

func (c *cluster) listen(h hertzhttp.Handler, compressHeaders bool) *hertzhttp.Server {
	cfg := hertzhttp.DefaultServerConfig()
	cfg.CompressHeaders = compressHeaders
	s, err := hertzhttp.Listen("127.0.0.1:0", cfg, h)
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

// publish publishes a view of all hosts to every engine.
func (c *cluster) publish() {
	c.gen++
	peers := map[request.Service][]dataplane.Peer{}
	for _, h := range c.hosts {
		info, _ := c.index.Service(h.svc)
		peers[h.svc] = append(peers[h.svc], dataplane.Peer{
			Target: route.Target{ID: request.TargetIDOf(h.name), Incarnation: 1, Region: "r", Zone: "z", Slots: info.Slots, Conns: info.Connections},
			Addr:   h.proxies.node.Addr(),
		})
	}
	v := dataplane.View{
		Gen: c.gen, Index: c.index, Ready: true,
		Peers:   func(s request.Service) []dataplane.Peer { return peers[s] },
		Callers: func(request.Service) int { return 0 },
	}
	for _, h := range c.hosts {
		own := v
		own.TargetUp, own.Leaving = !h.targetDown, h.targetLeaving
		h.engine.Publish(&own)
	}
}
