package main

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"peardrift/bench/harness"
	"peardrift/bench/standin/platform"
	"peardrift/internal/adapter/awstable"
	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/adapter/rpc"
	"peardrift/internal/claims"
	"peardrift/internal/claims/sharedrows"
	"peardrift/internal/core/claim/batch"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// fleet is a set of nodes, reduced to their claims, and a platform.
type fleet struct {
	platform   *platform.Server
	nodes      []*node
	sharedRows bool
}

// node is the part of a node that handles claims.
type node struct {
	table   *awstable.Table
	pool    *ants.Pool
	peers   *rpc.ClaimPeers
	server  *rpc.Server
	rows    *sharedrows.Rows
	control net.Listener
	claims  *claims.Runner
}

// poolSize is the size of a node's worker pool, as in peardriftd.
const poolSize = 512

// largeFleetSize is a node count at which nodes open a connection for each op.
const largeFleetSize = 1000

func newFleet(ctx context.Context, o options, sharedRows bool) (*fleet, error) {
	f := &fleet{platform: platform.New(), sharedRows: sharedRows}
	if err := f.platform.Start("127.0.0.1:0"); err != nil {
		return nil, status.Wrap(harness.CodeHarness, err, "start the stand-in platform")
	}
	var ms []sharedrows.Member
	for i := range o.Nodes {
		n, err := newNode(f.platform.URL(), uint64(i))
		if err != nil {
			return f, err
		}
		if o.Once {
			n.peers.SetNodeCount(largeFleetSize)
		}
		f.nodes = append(f.nodes, n)
		ms = append(ms, sharedrows.Member{ID: uint64(i), Addr: n.control.Addr().String()})
	}
	for _, n := range f.nodes {
		n.rows.SetMembers(ms)
	}
	if sharedRows {
		if err := f.writeLayout(ctx); err != nil {
			return f, err
		}
	}
	f.platform.SetFaults(platform.Faults{DelayMS: o.Platform})
	return f, nil
}

// writeLayout writes a layout for all keys before any key is used.
func (f *fleet) writeLayout(ctx context.Context) error {
	cfg := batch.DefaultConfig()
	value, err := batch.Layouts{{From: 1, Slot: cfg.Slot, Shards: cfg.Shards}}.Encode()
	if err != nil {
		return err
	}
	item := port.Item{Key: batch.LayoutKey, Version: 1, Value: value, Token: "claims"}
	return f.nodes[0].table.Put(ctx, port.Put{Item: item})
}

func newNode(platformURL string, id uint64) (*node, error) {
	cfg := awscall.DefaultConfig()
	cfg.Endpoint, cfg.AccessKey, cfg.SecretKey = platformURL, "access", "secret"
	n := &node{
		table:  awstable.New(cfg, "peardrift"),
		peers:  rpc.NewClaimPeers(rpc.DefaultConfig()),
		server: rpc.NewServer(rpc.DefaultConfig(), &rpc.Meter{}),
	}
	var err error
	if n.pool, err = ants.NewPool(poolSize, ants.WithNonblocking(true)); err != nil {
		return nil, status.Wrap(harness.CodeHarness, err, "create a node's worker pool")
	}
	n.rows = sharedrows.New(n.table, n.peers, id, n.pool, sharedrows.DefaultConfig(), tally.NoopScope)
	n.claims = claims.New(n.rows, n.pool, claims.DefaultConfig(), zap.NewNop(), tally.NoopScope)
	if err := n.server.Register(rpc.ClaimsName, rpc.NewClaimsService(n.rows.Serve, &rpc.Meter{})); err != nil {
		return nil, err
	}
	if n.control, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, status.Wrap(harness.CodeHarness, err, "open a node's listener")
	}
	go func() { _ = n.server.Serve(n.control) }()
	return n, nil
}

// closeTimeout bounds the wait for outcomes that are not recorded yet.
const closeTimeout = 10 * time.Second

// closeClaims waits until all outcomes are recorded.
func (f *fleet) closeClaims() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, n := range f.nodes {
		if err := n.claims.Close(ctx); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := n.rows.Close(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.server.Close()
		n.peers.Close()
		n.table.Close()
		n.pool.Release()
	}
	_ = f.platform.Close()
}
