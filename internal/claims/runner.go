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

// Pool runs the tries of follow-ups; *ants.Pool implements it.
type Pool interface {
	Submit(task func()) error
}

// Runner claims keys and runs the requests that hold their claim.
type Runner struct {
	rows  Rows
	pool  Pool
	cfg   Config
	log   *zap.Logger
	stats stats
	slots chan struct{} // one token per call in the claim phase

	work sync.WaitGroup // calls and pending follow-ups

	mu        sync.Mutex
	breaker   claim.Breaker
	pending   int
	scheduled map[*retryTask]*time.Timer
	closed    bool // refuses new calls
	stopped   bool // also schedules no further tries
}

// New returns a Runner. pool should not serve traffic, because tries of follow-ups
// wait for the platform.
func New(rows Rows, pool Pool, cfg Config, log *zap.Logger, scope tally.Scope) *Runner {
	return &Runner{
		rows: rows, pool: pool, cfg: cfg, log: log, stats: newStats(scope),
		slots:     make(chan struct{}, cfg.MaxClaims),
		breaker:   claim.NewBreaker(cfg.Breaker),
		scheduled: make(map[*retryTask]*time.Timer),
	}
}

// Do runs the request unless a call under the same key may have run, and returns
// the known outcome. ctx is the caller's: if it ends before the run starts nothing
// runs; a run that has started continues.
func (r *Runner) Do(ctx context.Context, req Request, run func(context.Context) Result) Result {
	res := r.call(ctx, req, run)
	r.stats.call(res)
	return res
}

func (r *Runner) call(ctx context.Context, req Request, run func(context.Context) Result) Result {
	if err := claim.CheckKey(req.Key); err != nil {
		return Result{Err: err, Outcome: claim.Outcome{Kind: err.Outcome, Code: err.Code}, NotRunByCall: true}
	}
	if err := r.enter(); err != nil {
		return resultOf(claim.Answer{Outcome: claim.Outcome{Code: err.Code}, RetryAfter: err.RetryAfter, NotRunByCall: true})
	}
	defer r.work.Done()
	c := &call{runner: r, ref: refOf(req), slot: true}
	defer c.freeSlot()
	attempt := claim.New(r.cfg.Claim, requestOf(req))
	return c.drive(ctx, &attempt, run)
}

// Explain returns the Result of a call that was refused before Do: the refusal,
// with its outcome corrected for earlier calls under the key, or the outcome of
// such a call. It costs one read and runs nothing.
func (r *Runner) Explain(ctx context.Context, req Request, refusal *status.Error) Result {
	unknown := claim.Answer{Outcome: claim.Outcome{Code: refusal.Code}, RetryAfter: refusal.RetryAfter, NotRunByCall: true}
	if err := r.enter(); err != nil {
		return resultOf(unknown)
	}
	defer r.work.Done()
	c := &call{runner: r, ref: refOf(req), slot: true}
	defer c.freeSlot()
	req.Deadline = time.Now().Add(r.cfg.ExplainTimeout)
	attempt := claim.NewReadOnly(r.cfg.Claim, requestOf(req), refusal)
	return c.drive(ctx, &attempt, nil)
}

// enter acquires a slot of the claim phase or returns why it is refused. It never
// waits, because a waiting call would hold its admission slot.
func (r *Runner) enter() *status.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return status.Refuse(status.CodeDraining, r.cfg.Claim.RetryAfter, "closing")
	}
	if r.pending >= r.cfg.MaxPending {
		return status.Refuse(status.CodePlatformDown, r.cfg.RetryMin, "too many claims wait for the platform")
	}
	if len(r.slots) == cap(r.slots) {
		return status.Refuse(status.CodePlatformDown, r.cfg.Claim.RetryAfter, "too many concurrent claims")
	}
	if !r.breaker.Allow(wallNow()) {
		return status.Refuse(status.CodePlatformDown, r.breaker.Wait(wallNow()), "the platform is down")
	}
	r.slots <- struct{}{} // cannot block: mu is held and there is room
	r.work.Add(1)
	return nil
}

// call is a Do or Explain in progress.
type call struct {
	runner *Runner
	ref    Ref
	slot   bool
}

func (c *call) freeSlot() {
	if c.slot {
		<-c.runner.slots
		c.slot = false
	}
}

// drive carries out the attempt's actions until it returns its answer.
func (c *call) drive(ctx context.Context, attempt *claim.Attempt, run func(context.Context) Result) Result {
	var ran Result
	var ev claim.Event = claim.Begin{}
	for {
		if ctx.Err() != nil {
			attempt.Step(wallNow(), claim.CallerCanceled{})
		}
		switch act := attempt.Step(wallNow(), ev).(type) {
		case claim.Run:
			c.freeSlot()
			ran = runOnce(ctx, act.Until, run)
			ev = ran.event()
		case claim.Answer:
			c.freeSlot()
			c.runner.handleFollowUp(ctx, c.ref, act.FollowUp)
			if act.Origin != claim.FromRun {
				return resultOf(act)
			}
			ran.Origin, ran.NotRunByCall = act.Origin, act.NotRunByCall
			return ran
		default:
			ev = c.runner.execute(ctx, c.ref, act, c.runner.cfg.Claim.OpTimeout)
		}
	}
}

func refOf(req Request) Ref {
	return Ref{Row: claim.RowKey(req.Scope, req.Key), Key: req.Key}
}

func requestOf(req Request) claim.Request {
	keyTime, _ := claim.KeyTime(req.Key)
	return claim.Request{
		Token:       uuid.NewString(),
		Fingerprint: claim.Fingerprint(req.Method, req.Path, req.Body),
		Deadline:    time.Duration(req.Deadline.UnixNano()),
		KeyTime:     keyTime,
		Retention:   req.Retention,
	}
}

// runOnce calls run with its own context and recovers a panic, which would
// otherwise skip recording the outcome and leave the key "in progress" until the
// run's deadline.
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

// Close refuses new calls and waits for active runs and their follow-ups until ctx
// ends. It then fails with status.CodeDeadlineExceeded: the keys of unfinished
// follow-ups stay claimed, and repeats are answered "unknown".
func (r *Runner) Close(ctx context.Context) error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.retryAll()
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
		return status.New(status.CodeDeadlineExceeded, "%d claims left without a recorded outcome", left)
	}
}
