// Package budget limits the control traffic of a node, in bytes per second sent
// plus received, and orders traffic that is deferred when the budget is short.
//
// Membership and configuration share one Bucket. The transport reports the
// bytes of every message on the wire to Spend; before sending traffic that can
// be deferred, the sender calls Allows for its class. Received traffic can't be
// refused: the bucket may go into debt, which is repaid before anything else is
// allowed.
//
// A Bucket does no I/O and is not safe for concurrent use.
package budget

import "time"

// Class is the priority class of deferrable traffic; lower values go first.
type Class uint8

const (
	// Drain is the announcement that members are leaving or have left.
	Drain Class = iota
	// Head is the announcement of configuration heads and other facts.
	Head
	// MemberChange is the announcement of deaths and joins.
	MemberChange
	// Bulk is the full membership, sent to joining members.
	Bulk
	// SeparateConn is a separate connection for configuration changes that could be
	// piggybacked on heartbeats. Piggybacked, they come after heads and before
	// changes and are not deferred.
	SeparateConn
)

// reserve is the fraction of the limit that must remain for a class to be sent.
//
// Drain needs enough for one exchange. With less for Head, separate messages for
// heads used the budget that deaths and deltas need (trials at 0.25 and 0.4). With
// less for Conn, nodes that each had just enough left opened connections to others
// that did not.
var reserve = [...]float64{Drain: 0.115, Head: 0.5, MemberChange: 0.5, Bulk: 0.5, SeparateConn: 0.8}

// Bucket is a token bucket that counts bytes.
type Bucket struct {
	rate       float64 // bytes per second
	limit      float64
	tokens     float64
	lastRefill time.Duration
	started    bool
}

// New returns a bucket that refills at rate bytes per second up to the amount of
// burst, and initially holds start bytes or that amount, whichever is larger.
func New(rate int, burst time.Duration, start int) *Bucket {
	limit := float64(rate) * burst.Seconds()
	return &Bucket{rate: float64(rate), limit: limit, tokens: max(limit, float64(start))}
}

// Refill adds the tokens accumulated until now.
func (b *Bucket) Refill(now time.Duration) {
	if b.started && now > b.lastRefill {
		b.tokens = max(b.tokens, min(b.limit, b.tokens+b.rate*(now-b.lastRefill).Seconds()))
	}
	b.lastRefill, b.started = now, true
}

// maxDebt is the maximum debt as a fraction of the limit. Debt beyond it, as when
// many members start at once, is forgiven: a node that is silent for long would be
// taken for dead.
const maxDebt = 0.25

// Spend deducts bytes that were sent or received.
func (b *Bucket) Spend(bytes int) { b.tokens = max(b.tokens-float64(bytes), -maxDebt*b.limit) }

// Tokens returns the remaining bytes; negative in debt.
func (b *Bucket) Tokens() int { return int(b.tokens) }

// Limit returns the capacity of the bucket in bytes.
func (b *Bucket) Limit() int { return int(b.limit) }

// Allows reports whether traffic of the class may be sent now. A nil bucket allows
// everything.
func (b *Bucket) Allows(c Class) bool { return b == nil || b.tokens > reserve[c]*b.limit }
