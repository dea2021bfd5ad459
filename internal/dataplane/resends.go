package dataplane

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/core/resend"
	"peardrift/internal/status"
)

// resends makes the core that decides on further sends of rejected calls usable from
// traffic goroutines. It does nothing without a ratio. Safe for concurrent use.
type resends struct {
	now     func() time.Duration
	cfg     resend.Config
	enabled bool

	mu     sync.Mutex
	budget *resend.Budget
	starts *resend.Starts
}

func newResends(cfg resend.Config, now func() time.Duration) *resends {
	r := &resends{now: now, cfg: cfg, enabled: cfg.Enabled()}
	if r.enabled {
		r.budget = resend.NewBudget(cfg, now())
		r.starts = resend.NewStarts(cfg.Starts)
	}
	return r
}

// sent records a send that has reached the own target, and its result. retries is how much
// callers' nodes may spend on retries for each such call.
func (r *resends) sent(s *inboundCall, retries float64, rejected bool) {
	if !r.enabled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.hop.Sends == 1 {
		r.budget.First(r.now(), s.running.priority, retries)
	}
	r.budget.Ended(rejected)
}

// take takes a further send from the budget; sends is how often the call was sent.
func (r *resends) take(p request.Priority, sends int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Take(r.now(), p, sends-1)
}

// wait returns a time to wait before the next send.
func (r *resends) wait() time.Duration {
	return r.cfg.Wait/2 + rand.N(r.cfg.Wait)
}

// checkStart refuses a root request of a class of which nearly none can be finished.
func (r *resends) checkStart(c *outboundCall) *status.Error {
	if !r.enabled {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.starts.Start(r.now(), c.key()) {
		return nil
	}
	return status.Refuse(status.CodeOverloaded, retryDelay(), detailNotStarted)
}

// detailNotStarted is the detail of a refusal by checkStart.
const detailNotStarted = "targets below reject nearly all requests of this class"

// ended records the result of a root request that was sent.
func (r *resends) ended(c *outboundCall, res *result) {
	if !r.enabled || c.parent != nil || res.attempts == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts.Ended(r.now(), c.key(), res.cause() == status.CodeTargetShed)
}

// Values of Hop.Resend: reasons for which a rejected call is not sent again.
const (
	resendLeaving  = "leaving"  // the target accepts no calls
	resendStreamed = "streamed" // the body is a stream, which can be sent only once
	resendRate     = "rate"     // the target names a rate of calls that it accepts
	resendSlots    = "slots"    // all usable slots of the target are taken
	resendDeadline = "deadline" // the call would not end in time
	ResendBudget   = "budget"   // the budget does not cover the call's priority
	resendCaller   = "caller"   // the caller left while the call waited
)

// sendAgain decides whether a call goes to the own target again, and waits for the time of
// the next send. Only a send that the target says not to have run is followed by another.
func (e *Engine) sendAgain(ctx context.Context, s *inboundCall, r *result) bool {
	if !e.resends.enabled || !r.rejected {
		return false
	}
	wait := e.resends.wait()
	if s.hop.Resend = e.resendObstacle(s, wait); s.hop.Resend != "" {
		return false
	}
	if !e.resends.take(s.running.priority, s.hop.Sends) {
		s.hop.Resend = ResendBudget
		return false
	}
	if !sleep(ctx, wait) {
		s.hop.Resend = resendCaller
		return false
	}
	e.gate.rejected()
	return true
}

// resendObstacle returns why a rejected call can't be sent again, whatever the budget;
// empty if it can.
func (e *Engine) resendObstacle(s *inboundCall, wait time.Duration) string {
	v, st := e.view.Load(), e.gate.stats()
	switch {
	case v.Leaving || !e.acceptsCalls(v):
		return resendLeaving
	case s.body.stream != nil:
		return resendStreamed
	case st.Rate > 0:
		return resendRate
	case st.Running >= e.usableSlots(v):
		return resendSlots
	case s.running.deadline-e.now() <= wait+st.Service:
		return resendDeadline
	}
	return ""
}

// usableSlots returns how many of the slots that the target declares the gate may use.
func (e *Engine) usableSlots(v *View) int {
	slots := e.self.Slots
	if l := e.targetState.Load(); l != nil {
		slots = l.Slots
	} else if info, ok := v.Index.Service(e.self.Service); ok && slots == 0 {
		slots = info.Slots
	}
	return e.cfg.Gate.Limit.Usable(slots)
}
