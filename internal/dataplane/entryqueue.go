package dataplane

import (
	"context"
	"sync"
	"time"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/pace"
	"peardrift/internal/core/request"
	"peardrift/internal/core/waiting"
	"peardrift/internal/status"
)

// pacer says when root requests may start; *pace.Table implements it.
type pacer interface {
	waiting.Pacer
	Arrived(now time.Duration, k earlyrefusal.Key, imp request.Importance)
	// DrawLevel returns the level above which the identity of a request that starts is
	// drawn.
	DrawLevel(k earlyrefusal.Key, imp request.Importance) request.Level
}

// entryQueue makes the waiting core usable from traffic goroutines: it holds the mutex,
// the timer and the channels on which root requests wait for their start.
type entryQueue struct {
	now func() time.Duration

	mu      sync.Mutex
	core    *waiting.Queue
	pacer   pacer
	index   *configset.Index // in force
	last    waiting.Ticket
	waiting undecided[waiting.Ticket, waiting.Decision]
	actions []waiting.Action
}

func newEntryQueue(cfg waiting.Config, p pacer, now func() time.Duration) *entryQueue {
	q := &entryQueue{now: now, core: waiting.New(cfg, p, newRand()), pacer: p}
	q.waiting = newUndecided[waiting.Ticket, waiting.Decision](q.tick)
	return q
}

// newPacedQueue returns the queue of an engine, paced by the levels it learns; nil if no
// request may wait.
func newPacedQueue(cfg *Config, l *levels) *entryQueue {
	if cfg.Waiting.MaxWaiting <= 0 {
		return nil
	}
	return newEntryQueue(cfg.Waiting, pace.New(cfg.Pace, l), l.now)
}

// enter returns the decision on a request, Start, Refuse or Bypass, and how long the
// request waited for it. idx is the index that the request was prepared with.
func (q *entryQueue) enter(ctx context.Context, idx *configset.Index, r waiting.Request) (waiting.Decision, time.Duration) {
	d, t, wait := q.arrive(idx, &r)
	if d.Verdict != waiting.Wait {
		return d, 0
	}
	began := q.now()
	select {
	case d = <-wait:
	case <-ctx.Done():
		d = q.cancel(t, wait)
	}
	now := q.now()
	if d.Reason == status.CodeCanceled && now >= r.Deadline {
		d.Reason = status.CodeDeadline
	}
	if d.Verdict == waiting.Start && now > d.StartBy+startTolerance {
		// The process was suspended after the decision.
		d = waiting.Decision{Reason: status.CodeOverloaded, RetryAfter: retryDelay()}
	}
	return d, max(now-began, 1)
}

// startTolerance is how long after the latest start a request may still be started: the
// time that its goroutine takes to run on a busy machine.
const startTolerance = 20 * time.Millisecond

func (q *entryQueue) arrive(idx *configset.Index, r *waiting.Request) (waiting.Decision, waiting.Ticket, chan waiting.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if idx != q.index && objectiveOf(q.index, r.Key) <= 0 {
		return waiting.Decision{Verdict: waiting.Bypass}, 0, nil
	}
	now := q.now()
	q.last++
	r.Ticket = q.last
	q.pacer.Arrived(now, r.Key, r.Importance)
	var d waiting.Decision
	d, q.actions = q.core.Arrive(now, *r, q.actions[:0])
	var wait chan waiting.Decision
	if d.Verdict == waiting.Wait {
		wait = q.waiting.add(r.Ticket)
	}
	q.deliver()
	return d, r.Ticket, wait
}

// cancel withdraws a request whose caller has left. It must not run even if it was told
// to start just before.
func (q *entryQueue) cancel(t waiting.Ticket, wait chan waiting.Decision) waiting.Decision {
	q.mu.Lock()
	q.actions = q.core.Cancel(q.now(), t, q.actions[:0])
	q.deliver()
	q.mu.Unlock()
	<-wait
	return waiting.Decision{Reason: status.CodeCanceled}
}

// drawLevel returns the level above which the identity of a request that starts is drawn.
func (q *entryQueue) drawLevel(k earlyrefusal.Key, imp request.Importance) request.Level {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pacer.DrawLevel(k, imp)
}

// finished records how long the chain of a completed request took.
func (q *entryQueue) finished(k earlyrefusal.Key, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Finished(q.now(), k, took)
}

// failed records that a request which had started was not completed.
func (q *entryQueue) failed(k earlyrefusal.Key) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Failed(q.now(), k)
}

// setIndex puts a configuration into force. Requests whose class declares no objective in
// it stop waiting.
func (q *entryQueue) setIndex(idx *configset.Index) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if idx == q.index {
		return
	}
	q.index = idx
	q.actions = q.core.Retain(q.now(), func(k earlyrefusal.Key) bool { return objectiveOf(idx, k) > 0 }, q.actions[:0])
	q.deliver()
}

// objectiveOf returns the objective that a configuration declares for a class.
func objectiveOf(idx *configset.Index, k earlyrefusal.Key) time.Duration {
	info, ok := idx.Service(k.Service)
	if !ok {
		return 0
	}
	for i := range info.Routes {
		if info.Routes[i].Name == k.Class {
			return info.Routes[i].Objective
		}
	}
	if c, ok := info.Class(k.Class); ok {
		return c.Objective
	}
	return 0
}

// drain refuses the waiting requests; from now on none waits.
func (q *entryQueue) drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.actions = q.core.Drain(q.now(), q.actions[:0])
	q.deliver()
}

func (q *entryQueue) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.waiting.fired() {
		return
	}
	q.actions = q.core.Tick(q.now(), q.actions[:0])
	q.deliver()
}

// deliver sends decisions to the waiting requests and sets the timer.
func (q *entryQueue) deliver() {
	for _, a := range q.actions {
		q.waiting.decide(a.Ticket, a.Decision)
	}
	q.waiting.arm(q.core.Next(), q.now)
}

func (q *entryQueue) stats() waiting.Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Stats()
}

func (q *entryQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.close()
}

// mayWait reports whether the entry queue decides when a root request starts. A streamed
// body can't be held.
func (e *Engine) mayWait(c *outboundCall) bool {
	return e.entryQueue != nil && c.class.Objective > 0 && !c.singleAttempt
}

// awaitStart returns when a root request may start, or with a typed refusal. headBytes is
// the size of its head.
func (e *Engine) awaitStart(ctx context.Context, c *outboundCall, hop *Hop, headBytes int) *status.Error {
	d, waited := e.entryQueue.enter(ctx, c.index, waiting.Request{
		Key:        c.key(),
		Importance: c.meta.Importance,
		Arrived:    hop.Start.Sub(e.epoch),
		Objective:  c.class.Objective,
		Deadline:   c.deadline,
		Stated:     c.stated,
		Bytes:      waiting.RequestBytes + headBytes + len(c.req.BodyBytes()),
	})
	c.startedAt = e.now()
	hop.recordWait(d, waited)
	switch d.Verdict {
	case waiting.Start:
		e.drawIdentity(c, hop)
		return nil
	case waiting.Bypass:
		return e.levels.check(c)
	}
	if d.Reason == status.CodeDraining {
		return status.Refuse(d.Reason, d.RetryAfter, "the node is stopping; use another node")
	}
	return status.Refuse(d.Reason, d.RetryAfter, "%s has no capacity in time", c.info.Name)
}

// drawIdentity gives a request that starts while its callee, or a service below it,
// refuses a part of its importance an identity that they admit.
func (e *Engine) drawIdentity(c *outboundCall, hop *Hop) {
	c.knownLevel = e.levels.level(c)
	level := e.entryQueue.drawLevel(c.key(), c.meta.Importance)
	if c.priority >= level {
		return
	}
	c.id = request.Draw(c.meta.Importance, level, newID)
	c.priority = request.PriorityOf(c.meta.Importance, c.id)
	c.sampled = e.cfg.Sampled(c.id)
	hop.ID = c.id
}

// recordFinished tells the entry queue how long a completed request took from its start, and
// of others that were sent that their callers may return.
func (e *Engine) recordFinished(c *outboundCall, r *result) {
	switch {
	case !c.waits || r.attempts == 0:
	case r.outcome == request.Completed:
		e.entryQueue.finished(c.key(), e.now()-c.startedAt)
	default:
		e.entryQueue.failed(c.key())
	}
}

// WaitingStats returns a snapshot of the requests that wait for their start.
func (e *Engine) WaitingStats() waiting.Stats {
	if e.entryQueue == nil {
		return waiting.Stats{}
	}
	return e.entryQueue.stats()
}
