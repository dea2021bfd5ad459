package claims

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"peardrift/internal/core/claim"
	"peardrift/internal/status"
)

// Pool runs the duties' tries; *ants.Pool is one.
type Pool interface {
	Submit(task func()) error
}

// Runner claims keys and runs the winners.
type Runner struct {
	rows  Rows
	pool  Pool
	cfg   Config
	log   *zap.Logger
	stats stats
	slots chan struct{} // a token for each call in the claim phase

	work sync.WaitGroup // calls and duties

	mu      sync.Mutex
	breaker claim.Breaker
	pending int
	waiting map[*chore]*time.Timer
	closed  bool // no new calls
	stopped bool // no further tries either
}

// New returns a runner. pool should not run traffic: tries of duties wait for
// the platform.
func New(rows Rows, pool Pool, cfg Config, log *zap.Logger, scope tally.Scope) *Runner {
	return &Runner{
		rows: rows, pool: pool, cfg: cfg, log: log, stats: newStats(scope),
		slots:   make(chan struct{}, cfg.MaxClaims),
		breaker: claim.NewBreaker(cfg.Breaker),
		waiting: make(map[*chore]*time.Timer),
	}
}

// Do runs the request unless a call under the same key may have run, and
// returns what is known. ctx is the caller's: when it ends before the run
// begins nothing runs, after that the run goes on.
func (r *Runner) Do(ctx context.Context, req Request, run func(context.Context) Result) Result {
	res := r.call(ctx, req, run)
	r.stats.call(res)
	return res
}

func (r *Runner) call(ctx context.Context, req Request, run func(context.Context) Result) Result {
	if err := claim.CheckKey(req.Key); err != nil {
		return Result{Err: err, Outcome: claim.Outcome{Kind: err.Outcome, Code: err.Code}, NotRunHere: true}
	}
	if err := r.enter(); err != nil {
		return resultOf(claim.Answer{Outcome: claim.Outcome{Code: err.Code}, RetryAfter: err.RetryAfter, NotRunHere: true})
	}
	defer r.work.Done()
	c := &call{runner: r, place: placeOf(req), slot: true}
	defer c.freeSlot()
	attempt := claim.New(r.cfg.Claim, requestOf(req))
	return c.drive(ctx, &attempt, run)
}

// Explain returns what may be said of a call that was refused before it came to
// Do: the refusal with its outcome corrected for earlier calls under the key, or
// how such a call ended. It costs one read, and runs nothing.
func (r *Runner) Explain(ctx context.Context, req Request, refusal *status.Error) Result {
	unsure := claim.Answer{Outcome: claim.Outcome{Code: refusal.Code}, RetryAfter: refusal.RetryAfter, NotRunHere: true}
	if err := r.enter(); err != nil {
		return resultOf(unsure)
	}
	defer r.work.Done()
	c := &call{runner: r, place: placeOf(req), slot: true}
	defer c.freeSlot()
	req.Deadline = time.Now().Add(r.cfg.ExplainWait)
	attempt := claim.NewLook(r.cfg.Claim, requestOf(req), refusal)
	return c.drive(ctx, &attempt, nil)
}

// enter takes a slot of the claim phase, or says why there is none. It never
// waits: a call that did would hold its admission slot.
func (r *Runner) enter() *status.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return status.Refuse(status.CodeDraining, r.cfg.Claim.RetryAfter, "closing")
	}
	if r.pending >= r.cfg.MaxPending {
		return status.Refuse(status.CodePlatformDown, r.cfg.RetryMin, "too many duties wait")
	}
	if len(r.slots) == cap(r.slots) {
		return status.Refuse(status.CodePlatformDown, r.cfg.Claim.RetryAfter, "too many claims at a time")
	}
	if !r.breaker.Allow(wall()) {
		return status.Refuse(status.CodePlatformDown, r.breaker.Wait(wall()), "the platform is down")
	}
	r.slots <- struct{}{} // mu is held and there is room: it can't block
	r.work.Add(1)
	return nil
}

// call is one Do under way.
type call struct {
	runner *Runner
	place  Place
	slot   bool
}

func (c *call) freeSlot() {
	if c.slot {
		<-c.runner.slots
		c.slot = false
	}
}

// drive does what the attempt says until it has its answer.
func (c *call) drive(ctx context.Context, attempt *claim.Attempt, run func(context.Context) Result) Result {
	var ran Result
	var ev claim.Event = claim.Begin{}
	for {
		if ctx.Err() != nil {
			attempt.Step(wall(), claim.CallerGone{})
		}
		switch act := attempt.Step(wall(), ev).(type) {
		case claim.Run:
			c.freeSlot()
			ran = runOnce(ctx, act.Until, run)
			ev = ran.event()
		case claim.Answer:
			c.freeSlot()
			c.runner.settle(ctx, c.place, act.Duty)
			if act.Origin != claim.FromRun {
				return resultOf(act)
			}
			ran.Origin, ran.NotRunHere = act.Origin, act.NotRunHere
			return ran
		default:
			ev = c.runner.do(ctx, c.place, act, c.runner.cfg.Claim.OpWait)
		}
	}
}

func placeOf(req Request) Place {
	return Place{Row: claim.RowKey(req.Scope, req.Key), Key: req.Key}
}

func requestOf(req Request) claim.Request {
	keyTime, _ := claim.KeyTime(req.Key)
	return claim.Request{
		Token:    uuid.NewString(),
		Print:    claim.Fingerprint(req.Method, req.Path, req.Body),
		Deadline: time.Duration(req.Deadline.UnixNano()),
		KeyTime:  keyTime,
		Remember: req.Remember,
	}
}

// runOnce calls run under a context of its own. A panic in run would otherwise
// unwind past the record, and leave the key "in progress" until its time is up.
func runOnce(ctx context.Context, until time.Duration, run func(context.Context) Result) (res Result) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Unix(0, int64(until)))
	defer cancel()
	defer func() {
		if v := recover(); v != nil {
			res = Failure(status.New(status.CodeInternal, "the run panicked: %v", v))
		}
	}()
	return run(ctx)
}

// Close refuses new calls and waits for runs under way and for their duties,
// until ctx ends. It then fails with status.CodeDeadlineExceeded: the keys of
// duties that are left stay claimed, and repeats are told "unknown".
func (r *Runner) Close(ctx context.Context) error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.hurry()
	done := make(chan struct{})
	go func() {
		r.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		left := r.abandon()
		return status.New(status.CodeDeadlineExceeded, "%d claims left without their outcome", left)
	}
}
