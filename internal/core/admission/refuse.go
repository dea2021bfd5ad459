package admission

import (
	"time"

	"peardrift/internal/status"
)

// maxPressure bounds how much demand over capacity lengthens the advice.
const maxPressure = 10

// refuse returns a refusal with advice on when to come back. The advice grows
// with demand, so that those who come back find room, and is spread over as
// much time again, so that they don't come back together.
func (g *Gate) refuse(why status.Code) Decision {
	after := float64(g.cfg.RetryAfter) * g.pressure() * (1 + g.rng.Float64())
	return Decision{
		Verdict:    Refuse,
		Reason:     why,
		RetryAfter: min(g.cfg.MaxRetryAfter, time.Duration(after)),
	}
}

// pressure returns demand over capacity, from 1 to maxPressure.
func (g *Gate) pressure() float64 {
	p := g.demand() / float64(g.limiter.Limit())
	return min(maxPressure, max(1, p))
}

// overReason tells a tenant that is over its share from one that is refused for
// lack of capacity alone. A tenant that alone asks has all slots as its share,
// and holds more for a moment when the limit falls.
func (g *Gate) overReason(tenant int) status.Code {
	if g.ledger.Alone(tenant) {
		return status.CodeOverloaded
	}
	held := float64(g.ledger.Running(tenant))
	if held > g.ledger.Guaranteed(tenant, g.limiter.Limit()) {
		return status.CodeOverShare
	}
	return status.CodeOverloaded
}

// demand returns the demand of all tenants in slots.
func (g *Gate) demand() float64 { return g.levels.total() * g.service.mean }
