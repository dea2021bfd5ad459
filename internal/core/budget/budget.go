// Package budget bounds what a node spends on control traffic, in bytes a second
// sent plus received, and orders what is put off when that is short.
//
// Membership and configuration share one Bucket. Whoever carries the messages
// reports what they cost on the wire, of whatever kind, to Spend; before
// something is sent that could wait, its class is asked for with Allows. What
// others send can't be refused: the bucket may go into debt, which is paid
// before anything else.
//
// A Bucket is pure and not safe for concurrent use.
package budget

import "time"

// Class orders what can be put off; a lower one goes first.
type Class uint8

const (
	// Drain is the news that members leave or have left.
	Drain Class = iota
	// Head is the news of configuration heads and of other facts.
	Head
	// Change is the news of deaths and joins.
	Change
	// Bulk is the whole membership, for members that join.
	Bulk
	// Conn is a connection of its own for what could ride along with heartbeats:
	// what changed in the configuration. Riding along, that comes after heads and
	// before changes, and is not put off.
	Conn
)

// reserve is the part of the limit that must be left for a class not to wait.
//
// A drain needs enough for one exchange. Heads: with less, messages of their own
// for heads took what deaths and deltas need (trials at 0.25 and 0.4). Conn: with less, nodes
// of which each had just enough left opened connections to others that had not.
var reserve = [...]float64{Drain: 0.115, Head: 0.5, Change: 0.5, Bulk: 0.5, Conn: 0.8}

// Bucket is a token bucket of bytes.
type Bucket struct {
	rate   float64 // bytes per second
	limit  float64
	tokens float64
	last   time.Duration
	begun  bool
}

// New returns a bucket of rate bytes a second that saves up at most burst of it,
// and holds start bytes or as much as it saves up, whichever is more.
func New(rate int, burst time.Duration, start int) *Bucket {
	limit := float64(rate) * burst.Seconds()
	return &Bucket{rate: float64(rate), limit: limit, tokens: max(limit, float64(start))}
}

// Refill brings the bucket up to now.
func (b *Bucket) Refill(now time.Duration) {
	if b.begun && now > b.last {
		b.tokens = max(b.tokens, min(b.limit, b.tokens+b.rate*(now-b.last).Seconds()))
	}
	b.last, b.begun = now, true
}

// maxDebt is the part of the limit that may be owed. What exceeds it, as when
// many members start at once, is forgiven: a node that is mute for long would
// look dead.
const maxDebt = 0.25

// Spend notes bytes that were sent or received.
func (b *Bucket) Spend(bytes int) { b.tokens = max(b.tokens-float64(bytes), -maxDebt*b.limit) }

// Tokens returns the bytes that are left; negative in debt.
func (b *Bucket) Tokens() int { return int(b.tokens) }

// Limit returns the bytes that can be saved up.
func (b *Bucket) Limit() int { return int(b.limit) }

// Allows reports whether something of the class may be sent now. A nil bucket
// allows everything.
func (b *Bucket) Allows(c Class) bool { return b == nil || b.tokens > reserve[c]*b.limit }
