package dataplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peardrift/internal/core/admission"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// gate makes the admission core usable from traffic goroutines: it holds the mutex,
// the timer and the channels on which queued calls wait.
type gate struct {
	now func() time.Duration

	mu      sync.Mutex
	core    *admission.Gate
	last    admission.Ticket
	queued  undecided[admission.Ticket, admission.Decision]
	actions []admission.Action
}

func newGate(cfg admission.Config, rng *rand.Rand, now func() time.Duration) *gate {
	g := &gate{now: now, core: admission.New(cfg, rng)}
	g.queued = newUndecided[admission.Ticket, admission.Decision](g.tick)
	return g
}

// acquire requests a slot of the target. It returns when the call may run, or with a
// typed refusal. An admitted call must be released with its ticket.
func (g *gate) acquire(ctx context.Context, a admission.Arrival) (admission.Ticket, *status.Error) {
	d, t, wait := g.arrive(&a)
	if d.Verdict == admission.Queue {
		d = g.await(ctx, t, wait)
	}
	if d.Verdict != admission.Admit {
		return 0, refusal(d)
	}
	return t, nil
}

func (g *gate) arrive(a *admission.Arrival) (admission.Decision, admission.Ticket, chan admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last++
	a.Ticket = g.last
	var d admission.Decision
	d, g.actions = g.core.Arrive(g.now(), *a, g.actions[:0])
	var wait chan admission.Decision
	if d.Verdict == admission.Queue {
		wait = g.queued.add(a.Ticket)
	}
	g.deliver()
	return d, a.Ticket, wait
}

// await waits for a queued call's decision or for its caller to cancel.
func (g *gate) await(ctx context.Context, t admission.Ticket, wait chan admission.Decision) admission.Decision {
	select {
	case d := <-wait:
		return d
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.actions = g.core.Cancel(g.now(), t, g.actions[:0])
	g.deliver()
	g.mu.Unlock()
	// The call may have been admitted just before: Cancel has then already released
	// its slot, and it must not run.
	d := <-wait
	d.Verdict = admission.Refuse
	d.Reason = status.CodeCanceled
	return d
}

// release frees the slot. blocked is how long the target could only wait for others.
func (g *gate) release(t admission.Ticket, r admission.Result, blocked time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = g.core.Finish(g.now(), t, r, blocked, g.actions[:0])
	g.deliver()
}

// rejected records that the target has rejected a call that is sent again.
func (g *gate) rejected() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Rejected()
}

func (g *gate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queued.fired() {
		return
	}
	g.actions = g.core.Tick(g.now(), g.actions[:0])
	g.deliver()
}

// deliver sends decisions to the waiting calls and sets the timer.
func (g *gate) deliver() {
	for _, a := range g.actions {
		g.queued.decide(a.Ticket, a.Decision)
	}
	g.queued.arm(g.core.Next(), g.now)
}

func (g *gate) setSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetCapacity(slots)
}

func (g *gate) setRateLimit(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetRateLimit(g.now(), perSecond)
}

func (g *gate) setTimeFactor(f float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetTimeFactor(f)
}

func (g *gate) setShares(weights []float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetShares(weights)
}

func (g *gate) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.actions = g.core.Drain(g.now(), g.actions[:0])
	g.deliver()
}

func (g *gate) resume(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Resume(slots)
}

func (g *gate) level(tenant uint16) (level request.Level, exempt []request.Level) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.TenantLevel(tenant)
}

func (g *gate) stats() admission.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Stats()
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queued.close()
}

func refusal(d admission.Decision) *status.Error {
	return status.Refuse(d.Reason, d.RetryAfter, "refused by the target's admission gate")
}
