package apply

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/port/porttest"
	"peardrift/internal/status"
)

// interruptingTable runs a hook before each call. The hook runs other applies, so that
// applies interleave in one goroutine.
type interruptingTable struct {
	port.Table
	before      func()
	beforeWrite func() // may be nil
}

func (i *interruptingTable) Get(ctx context.Context, key string) (port.Item, error) {
	i.before()
	return i.Table.Get(ctx, key)
}

func (i *interruptingTable) PutAll(ctx context.Context, ps []port.Put) error {
	i.before()
	if i.beforeWrite != nil {
		i.beforeWrite()
	}
	return i.Table.PutAll(ctx, ps)
}

var tenants = []request.Tenant{"khaosan", "kalahari"}

// applyCall is one apply with its result.
type applyCall struct {
	set  configset.Set
	base int64
	acc  Result
	err  error
}

// Guards against two applies on one base that both report success, or a conflict reported
// for an apply that took effect. Applies for two tenants interleave at random, with lost
// and delayed writes, lost responses and outages.
func TestExactlyOneApplyWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, objects := porttest.NewTable(), porttest.NewObjects()
		faulty := true
		script := func(op porttest.Op, _ string) porttest.Fault {
			if !faulty {
				return porttest.None
			}
			return rapid.SampledFrom([]porttest.Fault{porttest.None, porttest.None, porttest.None, porttest.None,
				porttest.Unavailable, porttest.LostResponse, porttest.LostRequest, porttest.Delayed}).Draw(rt, "fault")
		}
		table.SetScript(script)
		objects.SetScript(script)

		ops := drawApplies(rt)
		next := 0
		via := &interruptingTable{Table: table}
		s := testStore(via, objects)
		runNext := func() {
			op := ops[next]
			next++
			op.acc, op.err = s.Apply(context.Background(), op.set, op.base, "ada")
		}
		via.before = func() {
			if next < len(ops) && rapid.IntRange(0, 3).Draw(rt, "interrupt") == 0 {
				runNext()
			}
		}
		for next < len(ops) {
			runNext()
		}
		table.Flush()
		faulty = false
		checkOutcomes(rt, s, ops)
	})
}

func drawApplies(rt *rapid.T) []*applyCall {
	ops := make([]*applyCall, rapid.IntRange(2, 6).Draw(rt, "operators"))
	for i := range ops {
		tenant := rapid.SampledFrom(tenants).Draw(rt, "tenant")
		share := rapid.SampledFrom([]float64{0.4, 0.5, 0.7}).Draw(rt, "share")
		ops[i] = &applyCall{
			set:  testSet(tenant, share, i+1),
			base: rapid.Int64Range(0, 2).Draw(rt, "base"),
		}
	}
	return ops
}

func checkOutcomes(rt *rapid.T, s *Store, ops []*applyCall) {
	ctx := context.Background()
	winners := make(map[string]bool)
	for i, op := range ops {
		_, digest, err := configset.Encode(op.set)
		if err != nil {
			rt.Fatal(err)
		}
		won := false
		r, err := s.Version(ctx, op.set.Tenant, op.base+1)
		if err == nil {
			won = r.Digest == digest
		} else if !errors.Is(err, port.ErrNotFound) {
			rt.Fatal(err)
		}
		switch code := codeOf(op.err); {
		case code == "" && (!won || op.acc.Version != op.base+1):
			rt.Fatalf("operator %d was told that it won", i)
		case code != "" && code != status.CodeOutcomeUnknown && won:
			rt.Fatalf("operator %d won and was told %v", i, op.err)
		}
		key := fmt.Sprint(op.set.Tenant, op.base)
		if won && winners[key] {
			rt.Fatalf("two operators won on %s", key)
		}
		winners[key] = winners[key] || won
		repeated, err := s.Apply(ctx, op.set, op.base, "ada")
		if won && (err != nil || repeated.Version != op.base+1) {
			rt.Fatalf("operator %d won, asking again says %v %v", i, repeated, err)
		}
	}
	checkLedger(rt, s)
}

// checkLedger verifies that the ledger matches the heads and that its sum is at most 1.
func checkLedger(rt *rapid.T, s *Store) {
	_, shares, err := s.Tenants(context.Background())
	if err != nil {
		rt.Fatal(err)
	}
	sum := 0.0
	for _, t := range tenants {
		head, err := s.Head(context.Background(), t) // a zero record if nothing was accepted
		if err != nil && !errors.Is(err, port.ErrNotFound) || head.Share != shares[t] {
			rt.Fatalf("the ledger has %v for %s, its head %v (%v)", shares[t], t, head.Share, err)
		}
		sum += head.Share
	}
	if sum > 1+shareTolerance {
		rt.Fatalf("shares of %v in all", sum)
	}
}

func codeOf(err error) status.Code {
	if err == nil {
		return ""
	}
	return status.CodeOf(err)
}

// Guards against shares in force that exceed 1: two tenants apply their first sets with
// 0.6 each, and the second is accepted between the first one's check of the sum and its
// write, which must be conditional on an unchanged ledger.
func TestConcurrentAppliesKeepShareBound(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	via := &interruptingTable{Table: porttest.NewTable()}
	s := testStore(via, porttest.NewObjects())
	interrupt := true
	via.before = func() {}
	via.beforeWrite = func() {
		if interrupt {
			interrupt = false
			_, err := s.Apply(ctx, testSet("kalahari", 0.6, 1), 0, "grace")
			is.NoErr(err)
		}
	}
	_, err := s.Apply(ctx, testSet("khaosan", 0.6, 1), 0, "ada")
	is.Equal(codeOf(err), CodeSharesExceeded)
	_, err = s.Apply(ctx, testSet("khaosan", 0.4, 1), 0, "ada")
	is.NoErr(err)
}
