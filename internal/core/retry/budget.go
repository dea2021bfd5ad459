package retry

import (
	"math"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// ServiceBudget is the retry budget of one callee service at one node: a token bucket
// that successes fill.
//
// It prevents retry storms: when a service slows down, retries of all its callers
// multiply the load and keep it saturated after the cause is gone. Because the budget
// is tied to successes, it runs out as soon as attempts stop succeeding, on each node
// independently and without messages.
type ServiceBudget struct {
	cfg       *Config
	tokens    float64
	rate      float64 // tokens per second without any success
	burst     float64
	refused   float64 // load refusals, decayed over cfg.Window
	total     float64 // all attempts, decayed over cfg.Window
	updatedAt time.Duration
}

// NewServiceBudget returns a budget that holds one token, so that a restarted node
// can't add a burst of retries.
func NewServiceBudget(cfg *Config, now time.Duration) ServiceBudget {
	return ServiceBudget{cfg: cfg, tokens: min(1, cfg.Burst), rate: cfg.MinRate, burst: cfg.Burst, updatedAt: now}
}

// SetNodes sets this node's part of the fleet-wide budget, if there is one, given the
// number of nodes. The unspent part of a failed node is lost and never spent twice, so
// the total holds while nodes come and go.
func (b *ServiceBudget) SetNodes(nodes int) {
	if b.cfg.FleetBudget <= 0 || nodes <= 0 {
		return
	}
	share := b.cfg.FleetBudget / float64(nodes)
	b.rate = share * (1 - burstShare) / b.cfg.FleetWindow.Seconds()
	b.burst = max(share*burstShare, 1)
}

// burstShare is the fraction of a node's budget for one window that it may spend at
// once; the rest accrues evenly.
const burstShare = 0.5

// Observe records the result of one attempt at the service.
func (b *ServiceBudget) Observe(now time.Duration, o request.Outcome, code status.Code) {
	b.observe(now, o, code, b.cfg.Ratio)
}

// ObserveCall is Observe for an attempt of a call made by a target.
func (b *ServiceBudget) ObserveCall(now time.Duration, o request.Outcome, code status.Code) {
	b.observe(now, o, code, b.cfg.CallRatio)
}

func (b *ServiceBudget) observe(now time.Duration, o request.Outcome, code status.Code, earned float64) {
	b.advance(now)
	b.total++
	switch {
	case o == request.Completed:
		b.tokens = min(b.tokens+earned, b.burst)
	case o == request.Refused && isLoadRefusal(code):
		b.refused++
	}
}

// Overloaded reports whether load refusals exceed Config.RefusedShare of the service's
// answers to this node.
func (b *ServiceBudget) Overloaded(now time.Duration) bool {
	b.advance(now)
	return b.total >= b.cfg.MinSample && b.refused > b.cfg.RefusedShare*b.total
}

// Take takes the n attempts that a retry costs from the budget, or returns false if it
// holds fewer. A retry that costs more than the budget's capacity needs a full budget.
func (b *ServiceBudget) Take(now time.Duration, n int) bool {
	b.advance(now)
	price := min(float64(n), b.burst)
	if b.tokens < price {
		return false
	}
	b.tokens -= price
	return true
}

// Tokens returns the current tokens, in attempts, for metrics.
func (b *ServiceBudget) Tokens(now time.Duration) float64 {
	b.advance(now)
	return b.tokens
}

// advance refills and decays up to now. It ignores a time before the last one, so that
// out-of-order events neither refill nor decay twice.
func (b *ServiceBudget) advance(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	dt := now - b.updatedAt
	b.updatedAt = now
	b.tokens = min(b.tokens+b.rate*dt.Seconds(), b.burst)
	if b.total > 0 {
		f := math.Exp(-dt.Seconds() / b.cfg.Window.Seconds())
		b.refused *= f
		b.total *= f
	}
}

func isLoadRefusal(c status.Code) bool {
	return c == status.CodeOverloaded || c == status.CodeOverShare || c == status.CodeTargetShed
}
