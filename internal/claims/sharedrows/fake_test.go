package sharedrows

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"peardrift/internal/claims"
	"peardrift/internal/core/claim"
	"peardrift/internal/core/claim/batch"
	"peardrift/internal/port"
	"peardrift/internal/port/porttest"
	"peardrift/internal/status"
)

// slowTable is a table with latency before and after each operation.
type slowTable struct {
	*porttest.Table
	puts, gets *rateLimiter // nil: unlimited
}

const latency = 5 * time.Millisecond

// rateLimiter models a platform that serves operations in order at a limited rate.
type rateLimiter struct {
	mu    sync.Mutex
	rate  int           // operations per second; 0: unlimited
	pause time.Duration // additional latency of each operation
	next  time.Time     // when the next operation is served
}

// wait returns true when an operation is served, or false if its context ends
// first. A cancelled operation still uses capacity.
func (l *rateLimiter) wait(ctx context.Context) bool {
	if l == nil {
		time.Sleep(latency)
		return true
	}
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	at := l.next.Add(latency + l.pause)
	if l.rate > 0 {
		l.next = l.next.Add(time.Second / time.Duration(l.rate))
	}
	l.mu.Unlock()
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s slowTable) Get(ctx context.Context, key string) (port.Item, error) {
	if !s.gets.wait(ctx) {
		return port.Item{}, port.ErrUnavailable
	}
	defer time.Sleep(latency)
	return s.Table.Get(ctx, key)
}

func (s slowTable) Put(ctx context.Context, p port.Put) error {
	if !s.puts.wait(ctx) {
		_ = s.Table.Put(context.WithoutCancel(ctx), p) // the platform still executes it
		return port.ErrAmbiguous
	}
	defer time.Sleep(latency)
	return s.Table.Put(ctx, p)
}

// errLost reports a lost answer.
var errLost = status.New(status.CodeConnectionLost, "lost")

// fleet is a set of nodes that share a table. transport, if set, carries ops
// between nodes; deliver passes the op to its node.
type fleet struct {
	t          *testing.T
	table      *porttest.Table
	puts, gets *rateLimiter // rate limits of the table; may be nil
	rows       []*Rows
	nodes      []*claims.Runner
	pools      []*ants.Pool
	transport  func(ctx context.Context, to int, deliver func() Answer) (Answer, error)
}

// Submit implements Peers; addresses are indexes.
func (f *fleet) Submit(ctx context.Context, addr string, op *Op) (Answer, error) {
	to, err := strconv.Atoi(addr)
	if err != nil {
		return Answer{}, err
	}
	time.Sleep(time.Millisecond)
	deliver := func() Answer { return f.rows[to].Serve(context.WithoutCancel(ctx), op) }
	if f.transport == nil {
		return deliver(), nil
	}
	return f.transport(ctx, to, deliver)
}

// newFleet returns n nodes that know each other. Keys generated from now on are in
// shared rows.
func newFleet(t *testing.T, n int, cfg Config) *fleet {
	t.Helper()
	f := &fleet{t: t, table: porttest.NewTable(), puts: &rateLimiter{}, gets: &rateLimiter{}}
	if _, err := Announce(t.Context(), f.table, cfg.Batch); err != nil {
		t.Fatal(err)
	}
	time.Sleep(batch.AnnounceLead)
	f.addNodes(n, cfg)
	return f
}

func (f *fleet) addNodes(n int, cfg Config) {
	var all []Member
	for i := range n {
		pool, err := ants.NewPool(512, ants.WithNonblocking(true))
		if err != nil {
			f.t.Fatal(err)
		}
		f.pools = append(f.pools, pool)
		r := New(slowTable{f.table, f.puts, f.gets}, f, uint64(i), pool, cfg, tally.NoopScope)
		f.rows = append(f.rows, r)
		f.nodes = append(f.nodes, claims.New(r, pool, claims.DefaultConfig(), zap.NewNop(), tally.NoopScope))
		all = append(all, Member{ID: uint64(i), Addr: strconv.Itoa(i)})
	}
	for _, r := range f.rows {
		r.SetMembers(all)
	}
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for i := range f.nodes {
			if err := f.nodes[i].Close(ctx); err != nil {
				f.t.Error(err)
			}
		}
		for _, r := range f.rows {
			if err := r.Close(ctx); err != nil {
				f.t.Error(err)
			}
		}
		for _, p := range f.pools {
			if err := p.ReleaseTimeout(time.Minute); err != nil {
				f.t.Error(err)
			}
		}
	})
}

// batchingNode returns the node that batches a payout's row, and one that does not.
func (f *fleet) batchingNode(req claims.Request) (batching, calling int) {
	slot, ok, err := f.rows[0].slot(f.t.Context(), claims.Ref{Row: claim.RowKey(req.Scope, req.Key), Key: req.Key})
	if err != nil || !ok {
		f.t.Fatal("not a shared key", err)
	}
	ids := make([]uint64, len(f.rows))
	for i := range ids {
		ids[i] = uint64(i)
	}
	batching = batch.PickNode(slot.Row, ids, nil)
	return batching, (batching + 1) % len(f.rows)
}

// target is a fake target that counts its runs.
type target struct{ runs atomic.Int32 }

func (t *target) pay(context.Context) claims.Result {
	t.runs.Add(1)
	time.Sleep(100 * time.Millisecond)
	return claims.Answered(201, "text/plain", []byte("paid"))
}

// payout returns a request with a new dated key and a deadline of one second.
func payout() claims.Request {
	return claims.Request{
		Scope: claim.Scope{Tenant: "kalahari", Service: "settleworks.kalahari", Class: "payout"},
		Key:   newKey(), Method: "POST", Path: "/payouts",
		Body: claim.Sum([]byte("100 NAD")), Deadline: time.Now().Add(time.Second),
	}
}

// newKey generates a dated key. uuid.NewV7 is unsuitable: it keeps the latest time
// across tests, but each test has its own clock.
func newKey() string {
	id := uuid.New()
	for i, ms := 0, uint64(time.Now().UnixMilli()); i < 6; i++ {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

// repeat returns the request as its caller repeats it later.
func repeat(req claims.Request) claims.Request {
	req.Deadline = time.Now().Add(time.Second)
	return req
}

func code(r claims.Result) status.Code {
	if r.Err == nil {
		return ""
	}
	return r.Err.Code
}

// randomFaults injects a random fault into each table operation with the given
// probability.
func randomFaults(r *rand.Rand, odds float64) porttest.Script {
	return func(porttest.Op, string) porttest.Fault {
		if r.Float64() >= odds {
			return porttest.None
		}
		return porttest.Fault(1 + r.IntN(int(porttest.Delayed)))
	}
}
