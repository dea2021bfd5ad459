package admission

import (
	"time"

	"peardrift/internal/status"
)

// maxLoadFactor bounds the load factor that scales the retry delay.
const maxLoadFactor = 10

// refuse returns a refusal with a retry delay. The delay grows with demand, so that
// returning callers find capacity, and has up to 100% jitter, so that they do not
// return all at once.
func (g *Gate) refuse(why status.Code) Decision {
	after := float64(g.cfg.RetryAfter) * g.loadFactor() * (1 + g.rng.Float64())
	return Decision{
		Verdict:    Refuse,
		Reason:     why,
		RetryAfter: min(g.cfg.MaxRetryAfter, time.Duration(after)),
	}
}

// loadFactor returns the ratio of demand to capacity, from 1 to maxLoadFactor.
func (g *Gate) loadFactor() float64 {
	p := g.demand() / float64(g.usableLimit())
	return min(maxLoadFactor, max(1, p))
}

// overloadReason distinguishes a tenant that exceeds its share from one that is
// refused only for lack of capacity. A tenant without competitors has all slots as
// its share, and briefly holds more when the limit falls.
func (g *Gate) overloadReason(tenant int) status.Code {
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
func (g *Gate) demand() float64 { return g.levels.total() * g.service.current() }
