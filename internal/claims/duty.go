package claims

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"peardrift/internal/core/claim"
)

// chore is a duty that waits for the platform.
type chore struct {
	place Place
	duty  claim.Duty
	back  *backoff.ExponentialBackOff
}

// maxSteps bounds the operations of one try of a duty.
const maxSteps = 8

// settle tries a duty while the answer may wait for it, and leaves the rest to
// the pool.
func (r *Runner) settle(ctx context.Context, p Place, d claim.Duty) {
	if !d.Pending() {
		return
	}
	if d.Records() && r.rows.HeldBack(p) {
		c := r.postpone(p, d)
		if err := r.pool.Submit(func() { r.attend(c) }); err != nil {
			r.sleep(c)
		}
		return
	}
	if d.Urgent() && r.allow() && r.try(ctx, p, &d, r.cfg.RecordWait) {
		return
	}
	r.sleep(r.postpone(p, d))
}

// try does one try of a duty within most, and reports whether it is finished.
func (r *Runner) try(ctx context.Context, p Place, d *claim.Duty, most time.Duration) bool {
	end := wall() + most
	var ev claim.Event = claim.Begin{}
	for range maxSteps {
		act := d.Step(wall(), ev)
		switch act := act.(type) {
		case claim.Finished:
			if act.Lost {
				r.stats.lost()
				r.log.Error("outcome not in the table", zap.String("row", p.Row))
			}
			return true
		case claim.Later:
			return false
		}
		left := end - wall()
		if left <= 0 {
			return false
		}
		ev = r.do(ctx, p, act, left)
	}
	return false
}

func (r *Runner) allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaker.Allow(wall())
}

// postpone counts a duty that the answer doesn't wait for.
func (r *Runner) postpone(p Place, d claim.Duty) *chore {
	back := backoff.NewExponentialBackOff()
	back.InitialInterval, back.MaxInterval = r.cfg.RetryMin, r.cfg.RetryMax
	back.Reset()
	r.work.Add(1) // the call that leaves the duty is still counted, so Wait can't be over
	r.mu.Lock()
	r.pending++
	r.stats.duties(r.pending)
	r.mu.Unlock()
	return &chore{place: p, duty: d, back: back}
}

// sleep wakes the chore after its next pause, at least the breaker's.
func (r *Runner) sleep(c *chore) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		r.drop()
		return
	}
	pause := max(c.back.NextBackOff(), r.breaker.Wait(wall()))
	if r.closed {
		pause = r.cfg.RetryMin
	}
	r.waiting[c] = time.AfterFunc(pause, func() { r.wake(c) })
}

// wake gives the chore to the pool, or back to sleep if the pool is full.
func (r *Runner) wake(c *chore) {
	r.mu.Lock()
	_, ok := r.waiting[c]
	delete(r.waiting, c)
	r.mu.Unlock()
	if !ok {
		return // another took it
	}
	if err := r.pool.Submit(func() { r.attend(c) }); err != nil {
		r.sleep(c)
	}
}

// attend tries the chore's duty.
func (r *Runner) attend(c *chore) {
	if !r.allow() || !r.try(context.Background(), c.place, &c.duty, maxSteps*r.cfg.Claim.OpWait) {
		r.sleep(c)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drop()
}

// drop forgets a duty. mu is held.
func (r *Runner) drop() {
	r.pending--
	r.stats.duties(r.pending)
	r.work.Done()
}

// hurry wakes all duties: a node that closes has no time for their pauses.
func (r *Runner) hurry() {
	for _, c := range r.sleeping() {
		r.wake(c)
	}
}

func (r *Runner) sleeping() []*chore {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cs []*chore
	for c, t := range r.waiting {
		t.Stop()
		cs = append(cs, c)
	}
	return cs
}

// abandon drops the duties that sleep and stops those under way from sleeping
// again. It returns how many there were.
func (r *Runner) abandon() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	left := r.pending
	for c, t := range r.waiting {
		t.Stop()
		delete(r.waiting, c)
		r.drop()
	}
	return left
}
