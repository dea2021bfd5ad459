package e2e_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"peardrift/bench/standin/platform"
	"peardrift/bench/standin/target"
	"peardrift/internal/adapter/awstable"
	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/adapter/rpc"
	"peardrift/internal/claims"
	"peardrift/internal/claims/sharedrows"
	"peardrift/internal/core/claim/batch"
	"peardrift/internal/core/request"
	"peardrift/internal/faultproxy"
	"peardrift/internal/port"
)

// sharedPayments is a payments cluster whose claims share table rows; nodes exchange
// them over net/rpc.
type sharedPayments struct {
	*payments
	control []*faultproxy.Proxy // to each node's control listener
	rows    []*sharedrows.Rows
	meter   *rpc.Meter // bytes exchanged between the nodes
}

// startSharedPayments starts the cluster; all keys with a UUIDv7 share rows.
func startSharedPayments(t *testing.T) *sharedPayments {
	b := &sharedPayments{payments: &payments{cluster: newCluster(t, threeServices()), platform: platform.New()}, meter: &rpc.Meter{}}
	b.tuneEngine, b.answersNotKept = retryBrokenPeersAtOnce, true
	if err := b.platform.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.platform.Close() })
	b.writeLayout()
	b.addHost("feed-1", chainConfig("feed.khaosan", 10, target.Call{Service: "media.khaosan", Path: "/m", Required: true}), b.newNodeClaims("feed-1"))
	b.addHost("media-1", chainConfig("media.khaosan", 100), b.newNodeClaims("media-1"))
	b.addHost("media-2", chainConfig("media.khaosan", 100), b.newNodeClaims("media-2"))
	var ms []sharedrows.Member
	for i, h := range b.hosts {
		ms = append(ms, sharedrows.Member{ID: uint64(request.TargetIDOf(h.name)), Addr: b.control[i].Addr()})
	}
	for _, r := range b.rows {
		r.SetMembers(ms)
	}
	b.publish()
	return b
}

func (b *sharedPayments) table() *awstable.Table {
	cfg := awscall.DefaultConfig()
	cfg.Endpoint, cfg.AccessKey, cfg.SecretKey = b.platform.URL(), "access", "secret"
	table := awstable.New(cfg, "peardrift")
	b.t.Cleanup(table.Close)
	return table
}

// writeLayout writes a layout that applies to all keys, before any key is used.
func (b *sharedPayments) writeLayout() {
	cfg := batch.DefaultConfig()
	value, err := batch.Layouts{{From: 1, Slot: cfg.Slot, Shards: cfg.Shards}}.Encode()
	if err != nil {
		b.t.Fatal(err)
	}
	item := port.Item{Key: batch.LayoutKey, Version: 1, Value: value, Token: "test"}
	if err := b.table().Put(b.t.Context(), port.Put{Item: item}); err != nil {
		b.t.Fatal(err)
	}
}

// newNodeClaims returns a claims runner for one node and starts the node's control
// server.
func (b *sharedPayments) newNodeClaims(name string) *claims.Runner {
	pool, err := ants.NewPool(64, ants.WithNonblocking(true))
	if err != nil {
		b.t.Fatal(err)
	}
	peers, server := rpc.NewClaimPeers(rpc.DefaultConfig()), rpc.NewServer(rpc.DefaultConfig(), b.meter)
	rows := sharedrows.New(b.table(), peers, uint64(request.TargetIDOf(name)), pool, sharedrows.DefaultConfig(), tally.NoopScope)
	if err := server.Register(rpc.ClaimsName, rpc.NewClaimsService(rows.Serve, b.meter)); err != nil {
		b.t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	b.control, b.rows = append(b.control, b.startProxy(ln.Addr().String())), append(b.rows, rows)
	runner := claims.New(rows, pool, claims.DefaultConfig(), zap.NewNop(), tally.NoopScope)
	b.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = runner.Close(ctx), rows.Close(ctx) // work that a test left pending is dropped
		server.Close()
		peers.Close()
		pool.Release()
	})
	return runner
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// Guards against a payment running twice or its repeat being reported as not run:
// the claim goes to the node that batches the row, the operation, its answer or the
// call is cut at any hop, and a lost answer between nodes is taken as proof that
// the claim was not written. The caller resends through all nodes at once.
func TestResentPaymentWithSharedRowRunsOnce(t *testing.T) {
	b := startSharedPayments(t)
	places := append(b.cutPoints(), cutPoint{"node to batching node", b.control, true})
	for _, pl := range places {
		for _, w := range []faultproxy.Direction{faultproxy.Request, faultproxy.Answer} {
			for _, after := range []int{0, 2, 100, 300} {
				t.Run(fmt.Sprintf("%s/%s/%d", pl.name, w, after), func(t *testing.T) {
					b.t = t
					if err := b.cutAndResend(pl, faultproxy.Cut{Direction: w, After: after}, newKey()); err != nil {
						t.Fatal(err)
					}
				})
			}
		}
	}
	if b.meter.Total() == 0 {
		t.Error("no claim went to another node")
	}
}

func TestSharedRowsWithLostAnswersAndOutage(t *testing.T) {
	b := startSharedPayments(t)
	for every := 1; every <= 3; every++ {
		b.platform.SetFaults(platform.Faults{DropReplyEvery: every})
		for range 5 {
			key := newKey()
			if _, err := b.resendEverywhere(key); err != nil {
				t.Fatal(err)
			}
			b.waitIdle()
			b.platform.SetFaults(platform.Faults{})
			b.awaitCompleted(key)
			b.platform.SetFaults(platform.Faults{DropReplyEvery: every})
		}
	}
	b.platform.SetFaults(platform.Faults{Down: true})
	key := newKey()
	for _, h := range b.hosts {
		to, err := b.sendAndCheck(h, key)
		if err != nil || to.outcome == "completed" {
			t.Fatalf("reported %v in an outage, %v", to, err)
		}
	}
	b.platform.SetFaults(platform.Faults{})
	b.awaitCompleted(key)
}
