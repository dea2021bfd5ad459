package retry

import (
	"math"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// ServiceBudget is the retry budget of one callee service at one node.
//
// Symptom it prevents: a service slows, each of its callers sends again, the
// service gets several times the load it already could not carry, and stays
// saturated after the cause is gone. Tied to successes, the budget dries up as
// soon as attempts stop succeeding, on each node alone and without any message.
type ServiceBudget struct {
	cfg     *Config
	tokens  float64
	rate    float64 // attempts a second that come without success
	burst   float64
	refused float64 // attempts refused for load, decayed over cfg.Window
	total   float64 // attempts in all, decayed likewise
	at      time.Duration
}

// NewServiceBudget returns a budget that holds one attempt, so that a node that has
// just started can't add a burst of its own.
func NewServiceBudget(cfg *Config, now time.Duration) ServiceBudget {
	return ServiceBudget{cfg: cfg, tokens: min(1, cfg.Burst), rate: cfg.MinRate, burst: cfg.Burst, at: now}
}

// Share sets the part of the fleet's budget that falls to this one of so many
// nodes, where the fleet has one. The unspent part of a node that fails is lost,
// never spent twice, so that the sum holds whichever nodes come and go.
func (b *ServiceBudget) Share(nodes int) {
	if b.cfg.FleetBudget <= 0 || nodes <= 0 {
		return
	}
	share := b.cfg.FleetBudget / float64(nodes)
	b.rate = share * (1 - burstShare) / b.cfg.FleetWindow.Seconds()
	b.burst = max(share*burstShare, 1)
}

// burstShare is the part of a node's budget for one window that it may spend at
// once; the rest comes evenly.
const burstShare = 0.5

// Observe takes in the result of one attempt at the service.
func (b *ServiceBudget) Observe(now time.Duration, o request.Outcome, code status.Code) {
	b.note(now, o, code, b.cfg.Ratio)
}

// ObserveCall is Observe for an attempt of a call that a target makes.
func (b *ServiceBudget) ObserveCall(now time.Duration, o request.Outcome, code status.Code) {
	b.note(now, o, code, b.cfg.CallRatio)
}

func (b *ServiceBudget) note(now time.Duration, o request.Outcome, code status.Code, earned float64) {
	b.advance(now)
	b.total++
	switch {
	case o == request.Completed:
		b.tokens = min(b.tokens+earned, b.burst)
	case o == request.Refused && forLoad(code):
		b.refused++
	}
}

// Overloaded reports whether refusals for load dominate what the service
// answers to this node.
func (b *ServiceBudget) Overloaded(now time.Duration) bool {
	b.advance(now)
	return b.total >= b.cfg.MinSample && b.refused > b.cfg.RefusedShare*b.total
}

// Take draws a retry from the budget, which costs n attempts; false if the
// budget doesn't hold that many. A retry that costs more than Burst needs a full
// budget.
func (b *ServiceBudget) Take(now time.Duration, n int) bool {
	b.advance(now)
	price := min(float64(n), b.burst)
	if b.tokens < price {
		return false
	}
	b.tokens -= price
	return true
}

// Budget returns the attempts that the budget holds now, for metrics.
func (b *ServiceBudget) Budget(now time.Duration) float64 {
	b.advance(now)
	return b.tokens
}

// advance moves to now; a time before the last one is taken as the last one,
// so that events that arrive out of order neither refill nor decay twice.
func (b *ServiceBudget) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	dt := now - b.at
	b.at = now
	b.tokens = min(b.tokens+b.rate*dt.Seconds(), b.burst)
	if b.total > 0 {
		f := math.Exp(-dt.Seconds() / b.cfg.Window.Seconds())
		b.refused *= f
		b.total *= f
	}
}

func forLoad(c status.Code) bool {
	return c == status.CodeOverloaded || c == status.CodeOverShare || c == status.CodeTargetShed
}
