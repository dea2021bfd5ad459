package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"peardrift/internal/core/claim"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// target is a fake target that counts its runs.
type target struct{ runs atomic.Int32 }

// pay runs for 200 ms.
func (t *target) pay(context.Context) Result {
	n := t.runs.Add(1)
	time.Sleep(200 * time.Millisecond)
	return Answered(201, "text/plain", fmt.Appendf(nil, "paid %d", n))
}

// shed refuses the request without running it.
func (t *target) shed(context.Context) Result {
	return Failure(status.Refuse(status.CodeOverloaded, time.Second, "shed"))
}

func code(r Result) status.Code {
	if r.Err == nil {
		return ""
	}
	return r.Err.Code
}

// Guards against a second run when a caller sends one key through three nodes
// concurrently and once more later, as each node knows only its own calls.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ns, tgt := newRunners(t, newTable(), 3), &target{}
		res := make([]Result, len(ns))
		var wg sync.WaitGroup
		for i, n := range ns {
			wg.Go(func() { res[i] = n.Do(t.Context(), payout("k"), tgt.pay) })
		}
		wg.Wait()
		codes := map[status.Code]int{}
		for _, r := range res {
			codes[code(r)]++
		}
		is.Equal(codes, map[status.Code]int{"": 1, status.CodeInProgress: 2})
		again := ns[0].Do(t.Context(), payout("k"), tgt.pay)
		is.Equal(again.Outcome.Body, "paid 1")
		is.Equal(again.Origin, claim.FromRow)
		other := payout("k")
		other.Body = claim.Sum([]byte("200 NAD"))
		is.Equal(code(ns[1].Do(t.Context(), other, tgt.pay)), status.CodeKeyReused)
		is.Equal(code(ns[1].Do(t.Context(), payout(""), tgt.pay)), status.CodeKeyMissing)
		is.Equal(tgt.runs.Load(), int32(1))
	})
}

// Guards against a second run or a permanently refused key when the answer to the
// claim's write is lost and taken for a success or a failure. The write is
// applied, dropped, or applied a second later.
func TestLostClaimAnswersAreResolved(t *testing.T) {
	for name, fates := range map[string][]fault{
		"applied":                       {applied},
		"dropped":                       {dropped},
		"late":                          {late},
		"applied, read back fails once": {applied, down},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tab := newTable()
				tab.setFaults(firstFaults(fates...))
				ns, tgt := newRunners(t, tab, 2), &target{}
				is.Equal(code(ns[0].Do(t.Context(), payout("k"), tgt.pay)), status.Code(""))
				time.Sleep(2 * time.Second)
				is.Equal(ns[1].Do(t.Context(), payout("k"), tgt.pay).Outcome.Body, "paid 1")
				is.Equal(tgt.runs.Load(), int32(1))
			})
		})
	}
}

// Guards against a key that stays unusable after an outage: the claim's write is
// applied, the platform fails before the node can read it back, and the node gives
// up, so a claim without a run stays in the table.
func TestAbandonedClaimIsFreedWhenPlatformReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		op := 0
		tab.setFaults(func(string) fault {
			if op++; op == 1 {
				return applied
			}
			return down
		})
		ns, tgt := newRunners(t, tab, 2), &target{}
		res := ns[0].Do(t.Context(), payout("k"), tgt.pay)
		is.Equal(code(res), status.CodePlatformDown)
		is.Equal(res.Outcome.Kind, request.Unknown)
		is.True(res.NotRunByCall)
		time.Sleep(10 * time.Minute)
		tab.setFaults(nil)
		is.Equal(code(ns[1].Do(t.Context(), payout("k"), tgt.pay)), status.CodeOutcomeUnknown)
		time.Sleep(time.Minute)
		is.Equal(code(ns[1].Do(t.Context(), payout("k"), tgt.pay)), status.Code(""))
		is.Equal(tgt.runs.Load(), int32(1))
	})
}

// Guards against slowing down unrelated requests in an outage of the platform:
// at-most-once calls that wait for it would hold their admission slots.
func TestSlowPlatformDoesNotBlockCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		tab.setFaults(always(slow))
		n, tgt := newRunners(t, tab, 1)[0], &target{}
		var wg sync.WaitGroup
		for i := range DefaultConfig().MaxClaims {
			wg.Go(func() { n.Do(t.Context(), payout(fmt.Sprint(i)), tgt.pay) })
		}
		synctest.Wait()
		start := time.Now()
		is.Equal(code(n.Do(t.Context(), payout("more-than-fit"), tgt.pay)), status.CodePlatformDown)
		is.Equal(time.Since(start), time.Duration(0))
		wg.Wait()
		is.True(time.Since(start) <= DefaultConfig().Claim.ClaimTimeout+latency)

		start, waited := time.Now(), 0
		ops := tab.ops
		for time.Since(start) < time.Minute {
			before := time.Now()
			n.Do(t.Context(), payout("in-the-outage"), tgt.pay)
			if time.Since(before) > 0 {
				waited++
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(waited <= 15) // only the probes, of about 6000 calls
		t.Logf("%d calls waited, %d operations in a minute of outage", waited, tab.ops-ops)
		tab.setFaults(nil)
		time.Sleep(DefaultConfig().Breaker.MaxProbeInterval)
		is.Equal(code(n.Do(t.Context(), payout("after-it"), tgt.pay)), status.Code(""))
		is.Equal(tgt.runs.Load(), int32(1))
	})
}

// Guards against cancelling a run with its caller, which interrupts the payout and
// leaves its outcome unknown permanently. The caller leaves during the run and
// then repeats.
func TestRunOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, tgt := newRunners(t, newTable(), 1)[0], &target{}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		n.Do(ctx, payout("k"), func(run context.Context) Result {
			<-ctx.Done()
			is.NoErr(run.Err())
			return tgt.pay(run)
		})
		is.Equal(n.Do(t.Context(), payout("k"), tgt.pay).Outcome.Body, "paid 1")
		res := n.Do(ctx, payout("never-begun"), tgt.pay)
		is.Equal(code(res), status.CodeCanceled)
		is.Equal(tgt.runs.Load(), int32(1))
	})
}

// Guards against a shed request that cannot be retried because its claim was kept,
// and against one that runs after it was reported as not run. The answer to the
// release is lost or the platform is down; then the caller retries.
func TestNotRunReleasesClaim(t *testing.T) {
	for name, fates := range map[string][]fault{
		"fine": nil, "applied": {none, applied}, "dropped": {none, dropped}, "down": {none, down, down},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tab := newTable()
				tab.setFaults(firstFaults(fates...))
				ns, tgt := newRunners(t, tab, 2), &target{}
				res := ns[0].Do(t.Context(), payout("k"), tgt.shed)
				is.Equal(res.Err.Outcome, request.Refused)
				is.True(res.NotRunByCall)
				time.Sleep(time.Minute)
				is.Equal(code(ns[1].Do(t.Context(), payout("k"), tgt.pay)), status.Code(""))
				is.Equal(tgt.runs.Load(), int32(1))
			})
		})
	}
}

func TestOutcomesAreRecorded(t *testing.T) {
	big := strings.Repeat("x", claim.DefaultConfig().MaxStoredBody+1)
	for name, c := range map[string]struct {
		run  func(context.Context) Result
		code status.Code
		kind request.Outcome
	}{
		"too large": {func(context.Context) Result { return Answered(200, "", []byte(big)) },
			status.CodeAnswerNotKept, request.Completed},
		"streamed": {func(context.Context) Result { return Streamed(200, "", 9, claim.Digest{}) },
			status.CodeAnswerNotKept, request.Completed},
		"cut": {func(context.Context) Result { return Failure(status.New(status.CodeConnectionLost, "cut")) },
			status.CodeConnectionLost, request.Unknown},
		"panic": {func(context.Context) Result { panic("in the node") },
			status.CodeInternal, request.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n, tgt := newRunners(t, newTable(), 1)[0], &target{}
				n.Do(t.Context(), payout("k"), c.run)
				res := n.Do(t.Context(), payout("k"), tgt.pay)
				is.Equal(res.Err.Code, c.code)
				is.Equal(res.Err.Outcome, c.kind)
				is.Equal(res.Outcome.Body, "")
				is.Equal(tgt.runs.Load(), int32(0))
			})
		})
	}
}

// Guards against losing outcomes in a planned stop: the platform fails as a run
// ends, and the node stops before its follow-ups are finished.
func TestCloseWaitsForFollowUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		ns, tgt := newRunners(t, tab, 2), &target{}
		tab.setFaults(firstFaults(none, down, down, down, down))
		is.Equal(code(ns[0].Do(t.Context(), payout("k"), tgt.pay)), status.Code(""))
		short, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		is.NoErr(ns[0].Close(short))
		is.Equal(code(ns[0].Do(t.Context(), payout("k"), tgt.pay)), status.CodeDraining)
		is.Equal(ns[1].Do(t.Context(), payout("k"), tgt.pay).Outcome.Body, "paid 1")

		is.Equal(code(ns[1].Do(t.Context(), payout("lost"), func(ctx context.Context) Result {
			tab.setFaults(always(down))
			return tgt.pay(ctx)
		})), status.Code(""))
		brief, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.Equal(status.CodeOf(ns[1].Close(brief)), status.CodeDeadlineExceeded)
		is.Equal(tgt.runs.Load(), int32(2))
	})
}

// Random faults at the table while callers repeat keys through four nodes.
func TestRandomFaultsRunEachKeyOnce(t *testing.T) {
	const keys, repeats = 40, 12
	synctest.Test(t, func(t *testing.T) {
		tab := newTable()
		tab.setFaults(randomFaults(rand.New(rand.NewPCG(1, 2)), 0.3))
		ns := newRunners(t, tab, 4)
		var targets [keys]target
		var wg sync.WaitGroup
		for i := range keys * repeats {
			key := i % keys
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				res := ns[i%len(ns)].Do(t.Context(), payout(fmt.Sprint(key)), targets[key].pay)
				if res.Err == nil && res.Outcome.Body != "paid 1" {
					t.Errorf("key %d: got %q", key, res.Outcome.Body)
				}
			})
		}
		wg.Wait()
		tab.setFaults(nil)
		time.Sleep(2 * time.Minute)
		ran := 0
		for key := range targets {
			n := targets[key].runs.Load()
			if n > 1 {
				t.Errorf("key %d ran %d times", key, n)
			}
			ran += int(n)
			res := ns[0].Do(t.Context(), payout(fmt.Sprint(key)), targets[key].pay)
			if res.Err != nil || res.Outcome.Body != "paid 1" {
				t.Errorf("key %d ends as %v %v", key, res.Outcome, res.Err)
			}
		}
		t.Logf("%d of %d keys ran during the storm", ran, keys)
	})
}

func TestTableOperationsPerCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab := newTable()
		n, tgt := newRunners(t, tab, 1)[0], &target{}
		start := time.Now()
		n.Do(t.Context(), payout("k"), tgt.pay)
		is.Equal(tab.ops, 2) // the claim and the outcome
		is.Equal(time.Since(start), 200*time.Millisecond+2*latency)
		n.Do(t.Context(), payout("k"), tgt.pay)
		is.Equal(tab.ops, 4) // the repeat adds a failed write and a read
	})
}

// BenchmarkDo measures the node's own cost of a call with a claim; the table
// answers immediately.
func BenchmarkDo(b *testing.B) {
	n := New(SingleRows{instantTable{newTable()}}, nil, DefaultConfig(), zap.NewNop(), tally.NoopScope)
	body := make([]byte, 1<<10)
	run := func(context.Context) Result { return Answered(201, "text/plain", body) }
	req := payout("")
	req.Deadline = time.Now().Add(time.Hour)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req.Key = strconv.Itoa(i)
		if res := n.Do(b.Context(), req, run); res.Err != nil {
			b.Fatal(res.Err)
		}
	}
}

// instantTable is a table without latency.
type instantTable struct{ *table }

func (t instantTable) Put(_ context.Context, p port.Put) error { return t.apply(p) }
