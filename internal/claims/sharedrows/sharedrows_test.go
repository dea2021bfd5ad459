package sharedrows

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/claims"
	"peardrift/internal/core/claim"
	"peardrift/internal/core/claim/batch"
	"peardrift/internal/core/request"
	"peardrift/internal/port/porttest"
	"peardrift/internal/status"
)

// Guards against a second run, and against answering a repeat "not run", when a
// batching node trusts its cached row. A caller uses three nodes concurrently and
// again later; the nodes agree on the members, or each knows only itself, so that
// all three batch the row.
func TestSharedKeyRunsOnce(t *testing.T) {
	for name, alone := range map[string]bool{"members agreed": false, "members seen differently": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, tgt, req := newFleet(t, 3, DefaultConfig()), &target{}, payout()
				for i := range f.rows {
					if alone {
						f.rows[i].SetMembers([]Member{{ID: uint64(i)}})
					}
				}
				var wg sync.WaitGroup
				codes := make([]status.Code, len(f.nodes))
				for i, n := range f.nodes {
					wg.Go(func() { codes[i] = code(n.Do(t.Context(), req, tgt.pay)) })
				}
				wg.Wait()
				time.Sleep(time.Second)
				for _, n := range f.nodes {
					res := n.Do(t.Context(), repeat(req), tgt.pay)
					is.Equal(code(res), status.CodeAnswerNotKept)
					is.Equal(res.Outcome.Kind, request.Completed)
					is.Equal(res.Outcome.Sum, claim.Sum([]byte("paid")))
				}
				is.Equal(tgt.runs.Load(), int32(1))
				is.Equal(len(codes), 3)
			})
		})
	}
}

// Guards against a refused request or a second run when a lost answer between
// nodes is taken for a written or a failed claim. The batching node is unreachable,
// killed after its write, paused until after the call, stopping, without the
// platform, or of a newer version.
func TestBatchingNodeFails(t *testing.T) {
	type transport = func(context.Context, int, func() Answer) (Answer, error)
	for name, w := range map[string]transport{
		"unreachable": func(context.Context, int, func() Answer) (Answer, error) { return Answer{}, errLost },
		"killed between write and answer": func(_ context.Context, _ int, deliver func() Answer) (Answer, error) {
			deliver()
			return Answer{}, errLost
		},
		"answer lost at once, written later": func(_ context.Context, _ int, deliver func() Answer) (Answer, error) {
			time.AfterFunc(time.Millisecond, func() { deliver() })
			return Answer{}, errLost
		},
		"frozen and resumed": func(ctx context.Context, _ int, deliver func() Answer) (Answer, error) {
			time.AfterFunc(3*time.Second, func() { deliver() })
			<-ctx.Done()
			return Answer{}, ctx.Err()
		},
		"stopping": func(context.Context, int, func() Answer) (Answer, error) {
			return Answer{Code: status.CodeDraining}, nil
		},
		"without the platform": func(context.Context, int, func() Answer) (Answer, error) {
			return Answer{Result: batch.Unavailable}, nil
		},
		"of a newer kind": func(_ context.Context, _ int, deliver func() Answer) (Answer, error) {
			deliver()
			return Answer{Result: batch.Full + 1}, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, tgt, req := newFleet(t, 3, DefaultConfig()), &target{}, payout()
				batching, calling := f.batchingNode(req)
				f.transport = func(ctx context.Context, to int, deliver func() Answer) (Answer, error) {
					if to == batching {
						return w(ctx, to, deliver)
					}
					return deliver(), nil
				}
				start := time.Now()
				is.Equal(code(f.nodes[calling].Do(t.Context(), req, tgt.pay)), status.Code(""))
				is.True(time.Since(start) < 100*time.Millisecond+claims.DefaultConfig().Claim.ClaimTimeout)
				time.Sleep(10 * time.Second)
				for _, n := range f.nodes {
					is.Equal(code(n.Do(t.Context(), repeat(req), tgt.pay)), status.CodeAnswerNotKept)
				}
				is.Equal(tgt.runs.Load(), int32(1))
			})
		})
	}
}

// Random faults at the table and between nodes, while callers repeat keys through
// four nodes, two of which have different membership views.
func TestRandomFaultsOverSharedRows(t *testing.T) {
	const keys, repeats = 40, 10
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, DefaultConfig())
		f.rows[2].SetMembers([]Member{{ID: 2, Addr: "2"}, {ID: 3, Addr: "3"}})
		f.rows[3].SetMembers([]Member{{ID: 0, Addr: "0"}, {ID: 3, Addr: "3"}})
		f.table.SetScript(randomFaults(rand.New(rand.NewPCG(3, 4)), 0.2))
		rnd := rand.New(rand.NewPCG(5, 6))
		var mu sync.Mutex
		over := false
		f.transport = func(ctx context.Context, _ int, deliver func() Answer) (Answer, error) {
			mu.Lock()
			fault, pause := rnd.IntN(8), time.Duration(rnd.IntN(400))*time.Millisecond
			if over {
				fault = 7
			}
			mu.Unlock()
			switch fault {
			case 0:
				return Answer{}, errLost
			case 1:
				deliver()
				return Answer{}, errLost
			case 2:
				time.AfterFunc(pause, func() { deliver() })
				<-ctx.Done()
				return Answer{}, ctx.Err()
			}
			return deliver(), nil
		}
		var targets [keys]target
		var reqs [keys]claims.Request
		for i := range reqs {
			reqs[i] = payout()
		}
		var wg sync.WaitGroup
		for i := range keys * repeats {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				before := targets[i%keys].runs.Load()
				res := f.nodes[i%4].Do(t.Context(), repeat(reqs[i%keys]), targets[i%keys].pay)
				if res.Outcome.Kind == request.Refused && before > 0 {
					t.Errorf("key %d is told %s, not run", i%keys, code(res))
				}
			})
		}
		wg.Wait()
		f.table.SetScript(nil)
		mu.Lock()
		over = true
		mu.Unlock()
		time.Sleep(2 * time.Minute)
		for i := range targets {
			ran := targets[i].runs.Load()
			res := f.nodes[0].Do(t.Context(), repeat(reqs[i]), targets[i].pay)
			if ran > 1 || targets[i].runs.Load() != 1 || res.Outcome.Kind != request.Completed {
				t.Errorf("key %d ran %d times in the storm and ends as %v %v", i, ran, res.Outcome.Kind, res.Err)
			}
		}
	})
}

func TestPlatformDownAnswersUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, tgt, req := newFleet(t, 3, DefaultConfig()), &target{}, payout()
		_, calling := f.batchingNode(req)
		is.Equal(code(f.nodes[calling].Do(t.Context(), req, tgt.pay)), status.Code(""))
		time.Sleep(time.Second)
		f.table.SetScript(func(porttest.Op, string) porttest.Fault { return porttest.Unavailable })
		res := f.nodes[calling].Do(t.Context(), repeat(req), tgt.pay)
		is.Equal(code(res), status.CodePlatformDown)
		is.Equal(res.Outcome.Kind, request.Unknown)
		is.True(res.NotRunByCall)
		f.table.SetScript(nil)
		is.Equal(code(f.nodes[calling].Do(t.Context(), repeat(req), tgt.pay)), status.CodeAnswerNotKept)
		is.Equal(tgt.runs.Load(), int32(1))
	})
}

// Guards against losing queued outcomes when a batching node stops, and against a
// stop that exceeds its grace period. The node stops while it delays an outcome
// for batching, with the platform available or not.
func TestCloseDrainsQueuedOps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, DefaultConfig())
		deferrable := func(row string) *Op {
			return &Op{Row: row, Key: "0123456789abcdef", Token: "t", Deferrable: true, Timeout: time.Second}
		}
		got := make(chan Answer, 2)
		r, idle := f.rows[0], newBatcher(slowTable{f.table, nil, nil}, f.rows[0].layouts.pool, DefaultConfig(), f.rows[0].stats)
		go func() { got <- r.Serve(t.Context(), deferrable("a")) }()
		synctest.Wait()
		start := time.Now()
		is.NoErr(r.Close(t.Context()))
		is.Equal(<-got, Answer{Result: batch.OK})
		is.Equal(time.Since(start), 4*latency) // a read, because the row is old, and the write
		is.Equal(r.Serve(t.Context(), deferrable("a")), Answer{Code: status.CodeDraining})

		stuck, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		go func() { got <- idle.Submit(t.Context(), deferrable("b")) }()
		synctest.Wait()
		is.Equal(status.CodeOf(idle.Close(stuck)), status.CodeDeadlineExceeded)
		is.Equal(<-got, Answer{Result: batch.Ambiguous})
	})
}

func TestBatcherEnforcesBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cfg := DefaultConfig()
		cfg.MaxOps, cfg.MaxRows = 2, 1
		cfg.Batch.MaxRow = 700 // room for two claims
		f := newFleet(t, 1, cfg)
		op := func(row, key string) *Op {
			return &Op{Row: row, Start: wallNow(), Key: key + "23456789abcdef", Token: "t", Timeout: time.Second}
		}
		large := op("a", "01")
		large.Value = make([]byte, cfg.Batch.ReservedValueSize+1)
		is.Equal(f.rows[0].Serve(t.Context(), large), Answer{Code: status.CodeMalformed})
		var wg sync.WaitGroup
		wg.Go(func() { is.Equal(f.rows[0].Serve(t.Context(), op("a", "01")), Answer{Result: batch.OK}) })
		synctest.Wait()
		is.Equal(f.rows[0].Serve(t.Context(), op("b", "01")), Answer{Code: status.CodeOverloaded})
		wg.Go(func() { is.Equal(f.rows[0].Serve(t.Context(), op("a", "02")), Answer{Result: batch.OK}) })
		synctest.Wait()
		is.Equal(f.rows[0].Serve(t.Context(), op("a", "03")), Answer{Code: status.CodeOverloaded})
		wg.Wait()
		is.Equal(f.rows[0].Serve(t.Context(), op("a", "04")), Answer{Result: batch.Full})
		time.Sleep(time.Minute)
		is.Equal(f.rows[0].Serve(t.Context(), op("b", "01")), Answer{Result: batch.OK}) // the idle row was evicted
	})
}

func TestOutcomesFitReservedSpace(t *testing.T) {
	is := is.New(t)
	long := make([]byte, 200)
	row := claim.Row{
		Version: 1 << 40, State: claim.Done, Since: wallNow(), Until: wallNow(), Expires: wallNow(),
		Outcome: claim.Outcome{
			Kind: request.Failed, Code: status.CodeSuspect, Status: 599, ContentType: string(long),
			Body: string(long), Size: 1 << 60, BodyStored: true,
		},
	}
	value, err := withoutBody(row).Encode()
	is.NoErr(err)
	is.True(len(value) <= DefaultConfig().Batch.ReservedValueSize)
	id := "0191d7a2-3c4d-7e5f-8a9b-0c1d2e3f4a5b"
	is.Equal(len(packToken(id)), 16)
	is.Equal(unpackToken(packToken(id)), id)
	is.Equal(unpackToken(packToken("not an id")), "not an id")
}

// Batching must reduce the writes of 300 calls per second on ten nodes; without it
// each call costs two writes.
func TestBatchingReducesWrites(t *testing.T) {
	const calls = 600
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 10, DefaultConfig())
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / 300)
				tgt := &target{}
				if res := f.nodes[i%10].Do(t.Context(), payout(), tgt.pay); res.Err != nil || tgt.runs.Load() != 1 {
					t.Error(res.Err)
				}
			})
		}
		wg.Wait()
		time.Sleep(time.Second)
		puts := f.table.Count(porttest.OpPut)
		t.Logf("%d writes and %d reads for %d calls", puts, f.table.Count(porttest.OpGet), calls)
		if puts > calls*2/3 {
			t.Errorf("%d writes for %d calls", puts, calls)
		}
	})
}
