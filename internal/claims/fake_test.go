package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"peardrift/internal/core/claim"
	"peardrift/internal/port"
)

// fault is the behaviour of the fake table for one operation.
type fault int

const (
	none    fault = iota
	down          // refused immediately, nothing written
	applied       // written, answer lost
	dropped       // not written, answer lost
	late          // answer lost, written a second later
	slow          // blocks until its context ends, nothing written
)

const latency = 5 * time.Millisecond

// table is a fake of the platform's table. next, if set, selects the fault of each
// operation.
type table struct {
	mu   sync.Mutex
	rows map[string]port.Item
	next func(op string) fault
	ops  int
}

func newTable() *table { return &table{rows: map[string]port.Item{}} }

func (t *table) nextFault(op string) fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ops++
	if t.next == nil {
		return none
	}
	return t.next(op)
}

// setFaults replaces next.
func (t *table) setFaults(next func(op string) fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = next
}

func always(f fault) func(string) fault { return func(string) fault { return f } }

// firstFaults applies these faults to the first operations and none to the rest.
func firstFaults(fs ...fault) func(string) fault {
	return func(string) fault {
		if len(fs) == 0 {
			return none
		}
		f := fs[0]
		fs = fs[1:]
		return f
	}
}

func (t *table) apply(p port.Put) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[p.Item.Key].Version != p.IfVersion {
		return port.ErrConditionFailed
	}
	t.rows[p.Item.Key] = p.Item
	return nil
}

func (t *table) Put(ctx context.Context, p port.Put) error {
	f := t.nextFault("put")
	if f == down {
		return port.ErrUnavailable
	}
	time.Sleep(latency)
	switch f {
	case applied:
		_ = t.apply(p) // the answer is lost in any case
		return port.ErrAmbiguous
	case dropped:
		return port.ErrAmbiguous
	case late:
		time.AfterFunc(time.Second, func() { _ = t.apply(p) })
		return port.ErrAmbiguous
	case slow:
		<-ctx.Done()
		return port.ErrAmbiguous
	}
	return t.apply(p)
}

func (t *table) Get(ctx context.Context, key string) (port.Item, error) {
	f := t.nextFault("get")
	if f == down {
		return port.Item{}, port.ErrUnavailable
	}
	time.Sleep(latency)
	switch f {
	case applied, dropped, late:
		return port.Item{}, port.ErrUnavailable
	case slow:
		<-ctx.Done()
		return port.Item{}, port.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if item, ok := t.rows[key]; ok {
		return item, nil
	}
	return port.Item{}, port.ErrNotFound
}

func (t *table) PutAll(context.Context, []port.Put) error { return port.ErrUnavailable }

// randomFaults injects a random fault into each operation with the given
// probability.
func randomFaults(r *rand.Rand, odds float64) func(string) fault {
	return func(string) fault {
		if r.Float64() >= odds {
			return none
		}
		return fault(1 + r.IntN(int(slow)))
	}
}

// newRunners returns n runners that share a table. They are closed when the test
// ends.
func newRunners(t *testing.T, tab *table, n int) []*Runner {
	t.Helper()
	pool, err := ants.NewPool(16)
	if err != nil {
		t.Fatal(err)
	}
	var rs []*Runner
	for range n {
		rs = append(rs, New(SingleRows{tab}, pool, DefaultConfig(), zap.NewNop(), tally.NoopScope))
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for _, r := range rs {
			if err := r.Close(ctx); err != nil {
				t.Error(err)
			}
		}
		if err := pool.ReleaseTimeout(time.Minute); err != nil {
			t.Error(err)
		}
	})
	return rs
}

// payout returns a request with a deadline of one second.
func payout(key string) Request {
	return Request{
		Scope: claim.Scope{Tenant: "kalahari", Service: "settleworks.kalahari", Class: "payout"},
		Key:   key, Method: "POST", Path: "/payouts", Body: claim.Sum([]byte("100 NAD")),
		Deadline: time.Now().Add(time.Second),
	}
}
