package member

import "time"

// budget is a token bucket of bytes. It may go into debt, since heartbeats and
// what peers send can't be refused; the debt is paid before anything else.
type budget struct {
	rate   float64 // bytes per second
	limit  float64
	tokens float64
	last   time.Duration
	begun  bool
}

func newBudget(cfg Config) budget {
	limit := float64(cfg.Budget) * cfg.Burst.Seconds()
	return budget{rate: float64(cfg.Budget), limit: limit, tokens: max(limit, float64(cfg.StartBudget))}
}

func (b *budget) refill(now time.Duration) {
	if b.begun && now > b.last {
		b.tokens = max(b.tokens, min(b.limit, b.tokens+b.rate*(now-b.last).Seconds()))
	}
	b.last, b.begun = now, true
}

// maxDebt is the part of the limit that may be owed. What exceeds it, as when
// many members start at once, is forgiven: a node that is mute for long would
// look dead.
const maxDebt = 0.25

func (b *budget) spend(bytes int) { b.tokens = max(b.tokens-float64(bytes), -maxDebt*b.limit) }

// minRoom is what a message may always hold: a few urgent changes or a fact,
// however far the node is in debt.
const minRoom = factSize + MaxFactValue

// room returns the bytes of items that one exchange may carry in both
// directions together: the link's even share of the rate, or a quarter of what
// was saved up if that is more.
func (s *State) room() int {
	cfg := &s.cfg
	share := cfg.Budget*int(cfg.Period/time.Millisecond)/1000/max(len(s.order), 1) - cfg.ExchangeCost
	saved := int(s.budget.tokens)
	if saved < cfg.ExchangeCost {
		return 2 * minRoom
	}
	room := max(share, (saved-cfg.ExchangeCost)/4)
	return min(max(room, 2*minRoom), 2*cfg.MaxItems)
}
