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

// batching is payments whose claims share rows, over net/rpc between the nodes.
type batching struct {
	*payments
	control []*faultproxy.Proxy // to each node's control listener
	rows    []*sharedrows.Rows
	meter   *rpc.Meter // of what went between the nodes
}

// startBatching starts them; all dated keys share rows.
func startBatching(t *testing.T) *batching {
	b := &batching{payments: &payments{cluster: newCluster(t, threeServices()), platform: platform.New()}, meter: &rpc.Meter{}}
	b.tune, b.bare = eager, true
	if err := b.platform.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.platform.Close() })
	b.announce()
	b.add("feed-1", chainConfig("feed.khaosan", 10, target.Call{Service: "media.khaosan", Path: "/m", Required: true}), b.node("feed-1"))
	b.add("media-1", chainConfig("media.khaosan", 100), b.node("media-1"))
	b.add("media-2", chainConfig("media.khaosan", 100), b.node("media-2"))
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

func (b *batching) table() *awstable.Table {
	cfg := awscall.DefaultConfig()
	cfg.Endpoint, cfg.AccessKey, cfg.SecretKey = b.platform.URL(), "access", "secret"
	table := awstable.New(cfg, "peardrift")
	b.t.Cleanup(table.Close)
	return table
}

// announce writes a layout that holds for all keys, before any is used.
func (b *batching) announce() {
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

// node returns the claims of one node and starts its control server.
func (b *batching) node(name string) *claims.Runner {
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
	b.control, b.rows = append(b.control, b.link(ln.Addr().String())), append(b.rows, rows)
	runner := claims.New(rows, pool, claims.DefaultConfig(), zap.NewNop(), tally.NoopScope)
	b.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = runner.Close(ctx), rows.Close(ctx) // what a test left undone ends with it
		server.Close()
		peers.Close()
		pool.Release()
	})
	return runner
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// Symptom: a payout is approved twice, or its repeat is told that it did not run.
// Events: its claim goes to another node that batches the row; the op or its
// answer is cut at any step, or the whole call is; the caller sends it again
// through all nodes at once.
// Cause: a lost answer between nodes taken for a claim that was not written.
func TestResentPayoutOfASharedRowRunsOnce(t *testing.T) {
	b := startBatching(t)
	places := append(b.places(), place{"node to batching node", b.control, true})
	for _, pl := range places {
		for _, w := range []faultproxy.Direction{faultproxy.Request, faultproxy.Answer} {
			for _, after := range []int{0, 2, 100, 300} {
				t.Run(fmt.Sprintf("%s/%s/%d", pl.name, w, after), func(t *testing.T) {
					b.t = t
					if err := b.lose(pl, faultproxy.Cut{Direction: w, After: after}, newKey()); err != nil {
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

func TestSharedRowsWithAnswersLostAndInAnOutage(t *testing.T) {
	b := startBatching(t)
	for every := 1; every <= 3; every++ {
		b.platform.SetFaults(platform.Faults{LoseAnswerEvery: every})
		for range 5 {
			key := newKey()
			if _, err := b.resend(key); err != nil {
				t.Fatal(err)
			}
			b.settle()
			b.platform.SetFaults(platform.Faults{})
			b.completes(key)
			b.platform.SetFaults(platform.Faults{LoseAnswerEvery: every})
		}
	}
	b.platform.SetFaults(platform.Faults{Down: true})
	key := newKey()
	for _, h := range b.hosts {
		to, err := b.send(h, key)
		if err != nil || to.outcome == "completed" {
			t.Fatalf("told %v in an outage, %v", to, err)
		}
	}
	b.platform.SetFaults(platform.Faults{})
	b.completes(key)
}
