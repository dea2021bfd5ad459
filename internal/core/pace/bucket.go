package pace

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

// heldBackFor is the time for which the last importance that was held back counts.
const heldBackFor = time.Second

// service records which importance of a service was last held back.
type service struct {
	importance request.Importance
	at         time.Duration
	known      bool
}

// holdBack records that an importance is held back; the highest one counts.
func (s *service) holdBack(now time.Duration, imp request.Importance) {
	if !s.known || imp >= s.importance || now-s.at > heldBackFor {
		*s = service{importance: imp, at: now, known: true}
	}
}

// holdsBackAbove reports whether an importance above imp is held back.
func (s *service) holdsBackAbove(now time.Duration, imp request.Importance) bool {
	return s.known && s.importance > imp && now-s.at <= heldBackFor
}

// A rate becomes limited at once if less than limitBelow of the importance is admitted, and
// otherwise if less than all of it is for limitAfter: a level that rises too high for a
// moment would hold back the most important requests for longer than it lasts.
const (
	limitBelow = 0.95
	limitAfter = 100 * time.Millisecond
)

// newFor is the number of demand windows in which the demand of a new bucket is not measured
// yet and the rate follows it.
const newFor = 3

// bucket is the token bucket of one key and importance. Rates are in requests per second.
type bucket struct {
	importance   request.Importance
	service      *service
	addedAt      time.Duration
	at           time.Duration // of the last advance
	since        float64       // seconds between the last two advances
	admitted     float64       // fraction at the last advance
	demand       float64       // rate of arrivals, decaying over Config.DemandWindow
	limited      bool          // the fields below apply
	rate         float64       // of starts
	tokens       float64
	fullAt       time.Duration // when all was last admitted
	refusedAt    time.Duration // when less than all was last admitted
	wasCut       bool          // since limited
	unanswered   bool          // a request started since the last report
	unansweredAt time.Duration // when the first of them started
	cutAt        time.Duration // when the rate was last cut
	neededAt     time.Duration // when the limit was last needed
}

// advance moves the bucket to now, measures demand and adds tokens.
func (b *bucket) advance(now time.Duration, cfg *Config, admitted float64) {
	b.since = max(now-b.at, 0).Seconds()
	b.at, b.admitted = max(b.at, now), admitted
	if admitted < 1 {
		b.refusedAt = b.at
	} else {
		b.fullAt = b.at
	}
	if b.since > 0 {
		b.demand *= math.Exp(-b.since / cfg.DemandWindow.Seconds())
	}
	if !b.limited {
		if admitted < limitBelow || b.at-b.fullAt > limitAfter {
			b.limited, b.wasCut, b.rate, b.tokens = true, false, max(b.demand, 1/cfg.DemandWindow.Seconds()), 0
			b.cutAt, b.neededAt = b.at-cfg.CutInterval, b.at
		}
		return
	}
	b.tokens = min(b.tokens+b.rate*b.since, max(1, b.rate*cfg.Depth.Seconds()))
}

// part returns the rate of starts as a part of the demand.
func (b *bucket) part() float64 { return b.rate / max(b.demand, math.SmallestNonzeroFloat64) }

// news is what a callee reported beside the admitted fraction.
type news struct {
	reportedAt time.Duration
	aboveLevel bool
}

const (
	// unansweredFor is the time without a report after the start of a request from which on
	// the callee counts as out of reach. Most requests are answered within it.
	unansweredFor = 2 * time.Second
	// unreachedHalfLife is the half-life of the rate while the callee is out of reach:
	// others use the capacity in the meantime.
	unreachedHalfLife = time.Second
)

// isUnreached reports whether the callee is out of reach.
func (b *bucket) isUnreached(n news) bool {
	if n.reportedAt >= b.unansweredAt {
		b.unanswered = false
	}
	return b.unanswered && b.at-b.unansweredAt > unansweredFor
}

// adjust changes the rate. A level of the gates says how much has to be refused, but it
// reacts within 100 ms and the calls of started requests reach the gates until the
// requests end. So a cut goes at once to what the level admits, and the next one waits
// until its effect may show. A level of 0 says only that the gates have spare capacity, not
// how much: the rate then rises slowly. While the callee is out of reach, it falls.
func (b *bucket) adjust(cfg *Config, n news) {
	if b.at-b.addedAt < newFor*cfg.DemandWindow {
		b.rate = max(b.rate, b.admitted*cfg.Margin*b.demand)
	}
	part := b.part()
	switch {
	case b.isUnreached(n):
		b.rate *= math.Exp2(-b.since / unreachedHalfLife.Seconds())
	case b.admitted < min(part, 1):
		b.cut(cfg, part)
	case part < 1 && b.admitted >= 1 && n.aboveLevel:
		b.rate += (b.demand - b.rate) * min(b.since/cfg.CutInterval.Seconds(), 1)
	case part < cfg.Spare:
		b.rate += b.rise(cfg) * b.demand * b.since
	}
	b.rate = max(b.rate, cfg.ProbeFraction*b.demand)
	if part < 1 {
		b.service.holdBack(b.at, b.importance)
	}
	if part < cfg.Spare {
		b.neededAt = b.at
	}
	b.limited = b.at-b.neededAt <= cfg.Expiry
}

// cut lowers the rate to what is admitted, unless a cut may not have shown its effect yet.
// The first cut goes lower: until it, all requests started, and their calls are still to
// come.
func (b *bucket) cut(cfg *Config, part float64) {
	if b.at-b.cutAt < cfg.CutInterval {
		return
	}
	b.cutAt = b.at
	ratio := b.admitted / part
	if b.wasCut {
		b.rate *= max(ratio*cfg.Margin, cfg.MaxCut)
	} else {
		b.rate *= max(ratio*cfg.FirstMargin, cfg.FirstMaxCut)
	}
	b.wasCut = true
}

// rise returns the part of the demand by which the rate rises in a second. It grows with the
// time since the last refusal.
func (b *bucket) rise(cfg *Config) float64 {
	if b.service.holdsBackAbove(b.at, b.importance) {
		return cfg.Rise * cfg.LowerRise
	}
	return cfg.Rise * max(1, (b.at-b.refusedAt).Seconds())
}

// isFree reports whether requests start without a token.
func (b *bucket) isFree(cfg *Config) bool { return !b.limited || b.part() >= cfg.Spare }

// take takes a token, if one is needed, and reports whether the request may start.
func (b *bucket) take(cfg *Config) bool {
	if !b.isFree(cfg) {
		if b.tokens < 1 {
			return false
		}
		b.tokens--
	}
	if !b.unanswered {
		b.unanswered, b.unansweredAt = true, b.at
	}
	return true
}

// wait returns the time until a request may start.
func (b *bucket) wait(cfg *Config) time.Duration {
	if b.isFree(cfg) || b.tokens >= 1 {
		return 0
	}
	seconds := math.Ceil((1 - b.tokens) / b.rate * 1e9)
	return time.Duration(min(seconds, float64(cfg.Recheck))) + 1
}
