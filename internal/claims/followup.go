package claims

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"peardrift/internal/core/claim"
)

// retryTask is a follow-up that is retried in the background.
type retryTask struct {
	ref      Ref
	followUp claim.FollowUp
	backoff  *backoff.ExponentialBackOff
}

// maxSteps bounds the operations of one try of a follow-up.
const maxSteps = 8

// handleFollowUp tries an urgent follow-up once before the answer, for at most
// RecordTimeout, and leaves all other follow-ups to the pool.
func (r *Runner) handleFollowUp(ctx context.Context, ref Ref, d claim.FollowUp) {
	if !d.Pending() {
		return
	}
	if d.RecordsOutcome() && r.rows.Deferred(ref) {
		c := r.postpone(ref, d)
		if err := r.pool.Submit(func() { r.retry(c) }); err != nil {
			r.scheduleRetry(c)
		}
		return
	}
	if d.BeforeAnswer() && r.breakerAllows() && r.tryFollowUp(ctx, ref, &d, r.cfg.RecordTimeout) {
		return
	}
	r.scheduleRetry(r.postpone(ref, d))
}

// tryFollowUp makes one try of a follow-up within timeout and reports whether it is
// finished.
func (r *Runner) tryFollowUp(ctx context.Context, ref Ref, d *claim.FollowUp, timeout time.Duration) bool {
	end := wallNow() + timeout
	var ev claim.Event = claim.Begin{}
	for range maxSteps {
		act := d.Step(wallNow(), ev)
		switch act := act.(type) {
		case claim.Finished:
			if act.Lost {
				r.stats.lost()
				r.log.Error("outcome not in the table", zap.String("row", ref.Row))
			}
			return true
		case claim.RetryLater:
			return false
		}
		left := end - wallNow()
		if left <= 0 {
			return false
		}
		ev = r.execute(ctx, ref, act, left)
	}
	return false
}

func (r *Runner) breakerAllows() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaker.Allow(wallNow())
}

// postpone registers a follow-up that is completed after the answer.
func (r *Runner) postpone(ref Ref, d claim.FollowUp) *retryTask {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = r.cfg.RetryMin, r.cfg.RetryMax
	policy.Reset()
	r.work.Add(1) // the call that owns the follow-up is still counted, so Wait cannot have returned
	r.mu.Lock()
	r.pending++
	r.stats.followUps(r.pending)
	r.mu.Unlock()
	return &retryTask{ref: ref, followUp: d, backoff: policy}
}

// scheduleRetry retries the task after its backoff, but not before the breaker
// allows an operation.
func (r *Runner) scheduleRetry(c *retryTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		r.removeFollowUp()
		return
	}
	pause := max(c.backoff.NextBackOff(), r.breaker.Wait(wallNow()))
	if r.closed {
		pause = r.cfg.RetryMin
	}
	r.scheduled[c] = time.AfterFunc(pause, func() { r.submitRetry(c) })
}

// submitRetry passes the task to the pool, or reschedules it if the pool is full.
func (r *Runner) submitRetry(c *retryTask) {
	r.mu.Lock()
	_, ok := r.scheduled[c]
	delete(r.scheduled, c)
	r.mu.Unlock()
	if !ok {
		return // already submitted or abandoned
	}
	if err := r.pool.Submit(func() { r.retry(c) }); err != nil {
		r.scheduleRetry(c)
	}
}

// retry tries the task's follow-up.
func (r *Runner) retry(c *retryTask) {
	if !r.breakerAllows() || !r.tryFollowUp(context.Background(), c.ref, &c.followUp, maxSteps*r.cfg.Claim.OpTimeout) {
		r.scheduleRetry(c)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeFollowUp()
}

// removeFollowUp removes a follow-up from the count. r.mu must be held.
func (r *Runner) removeFollowUp() {
	r.pending--
	r.stats.followUps(r.pending)
	r.work.Done()
}

// retryAll retries all scheduled follow-ups immediately, because a closing node does
// not wait for their backoff.
func (r *Runner) retryAll() {
	for _, c := range r.stopTimers() {
		r.submitRetry(c)
	}
}

func (r *Runner) stopTimers() []*retryTask {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cs []*retryTask
	for c, t := range r.scheduled {
		t.Stop()
		cs = append(cs, c)
	}
	return cs
}

// abandon drops the scheduled follow-ups and prevents those in progress from being
// rescheduled. It returns the number of pending follow-ups.
func (r *Runner) abandon() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	left := r.pending
	for c, t := range r.scheduled {
		t.Stop()
		delete(r.scheduled, c)
		r.removeFollowUp()
	}
	return left
}
