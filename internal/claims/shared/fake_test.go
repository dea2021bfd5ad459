package shared

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

// slow is a table that takes its time, before and after each operation.
type slow struct {
	*porttest.Table
	puts, gets *line // nil: any number
}

const latency = 5 * time.Millisecond

// line is a platform that serves so many operations a second, in their order; 0:
// any number.
type line struct {
	mu    sync.Mutex
	rate  int
	pause time.Duration // of each operation, more
	next  time.Time
}

// wait returns after an operation's turn; false if its caller has gone before.
// The turn is spent all the same.
func (l *line) wait(ctx context.Context) bool {
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

func (s slow) Get(ctx context.Context, key string) (port.Item, error) {
	if !s.gets.wait(ctx) {
		return port.Item{}, port.ErrUnavailable
	}
	defer time.Sleep(latency)
	return s.Table.Get(ctx, key)
}

func (s slow) Put(ctx context.Context, p port.Put) error {
	if !s.puts.wait(ctx) {
		_ = s.Table.Put(context.WithoutCancel(ctx), p) // it is in the line
		return port.ErrAmbiguous
	}
	defer time.Sleep(latency)
	return s.Table.Put(ctx, p)
}

// errLost is an answer that does not come.
var errLost = status.New(status.CodeConnectionLost, "lost")

// fleet is some nodes over one table. Ops between nodes go by way, if set;
// deliver gives the op to its node.
type fleet struct {
	t          *testing.T
	table      *porttest.Table
	puts, gets *line // of the table; may be nil
	rows       []*Rows
	nodes      []*claims.Runner
	pools      []*ants.Pool
	way        func(ctx context.Context, to int, deliver func() Answer) (Answer, error)
}

// Submit implements Peers; addresses are indexes.
func (f *fleet) Submit(ctx context.Context, addr string, op *Op) (Answer, error) {
	to, err := strconv.Atoi(addr)
	if err != nil {
		return Answer{}, err
	}
	time.Sleep(time.Millisecond)
	deliver := func() Answer { return f.rows[to].Serve(context.WithoutCancel(ctx), op) }
	if f.way == nil {
		return deliver(), nil
	}
	return f.way(ctx, to, deliver)
}

// newFleet returns n nodes that know each other. Keys drawn now are shared.
func newFleet(t *testing.T, n int, cfg Config) *fleet {
	t.Helper()
	f := &fleet{t: t, table: porttest.NewTable(), puts: &line{}, gets: &line{}}
	if _, err := Announce(t.Context(), f.table, cfg.Batch); err != nil {
		t.Fatal(err)
	}
	time.Sleep(batch.Lead)
	f.grow(n, cfg)
	return f
}

func (f *fleet) grow(n int, cfg Config) {
	var all []Member
	for i := range n {
		pool, err := ants.NewPool(512, ants.WithNonblocking(true))
		if err != nil {
			f.t.Fatal(err)
		}
		f.pools = append(f.pools, pool)
		r := New(slow{f.table, f.puts, f.gets}, f, uint64(i), pool, cfg, tally.NoopScope)
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

// other returns the node that batches a payout's row, and one that doesn't.
func (f *fleet) other(req claims.Request) (batching, calling int) {
	slot, ok, err := f.rows[0].slot(f.t.Context(), claims.Place{Row: claim.RowKey(req.Scope, req.Key), Key: req.Key})
	if err != nil || !ok {
		f.t.Fatal("not a shared key", err)
	}
	ids := make([]uint64, len(f.rows))
	for i := range ids {
		ids[i] = uint64(i)
	}
	batching = batch.Pick(slot.Row, ids, nil)
	return batching, (batching + 1) % len(f.rows)
}

// target counts its runs.
type target struct{ runs atomic.Int32 }

func (t *target) pay(context.Context) claims.Result {
	t.runs.Add(1)
	time.Sleep(100 * time.Millisecond)
	return claims.Answered(201, "text/plain", []byte("paid"))
}

// payout returns a call that its caller gives a second, under a new dated key.
func payout() claims.Request {
	return claims.Request{
		Scope: claim.Scope{Tenant: "kalahari", Service: "settleworks.kalahari", Class: "payout"},
		Key:   newKey(), Method: "POST", Path: "/payouts",
		Body: claim.Sum([]byte("100 NAD")), Deadline: time.Now().Add(time.Second),
	}
}

// newKey draws a dated key. uuid.NewV7 remembers the latest time over all tests,
// each of which has a clock of its own.
func newKey() string {
	id := uuid.New()
	for i, ms := 0, uint64(time.Now().UnixMilli()); i < 6; i++ {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	return id.String()
}

// again returns the call as its caller repeats it later.
func again(req claims.Request) claims.Request {
	req.Deadline = time.Now().Add(time.Second)
	return req
}

func code(r claims.Result) status.Code {
	if r.Err == nil {
		return ""
	}
	return r.Err.Code
}

// faults gives each operation at the table a fault with the given odds.
func faults(r *rand.Rand, odds float64) porttest.Script {
	return func(porttest.Op, string) porttest.Fault {
		if r.Float64() >= odds {
			return porttest.None
		}
		return porttest.Fault(1 + r.IntN(int(porttest.Late)))
	}
}
