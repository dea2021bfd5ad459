package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// Local holds the token buckets of one node.
type Local struct {
	cfg     Config
	buckets map[request.Organisation]*bucket
}

// bucket is a node's part of one organisation's limit.
type bucket struct {
	part       Part // as granted
	limitRate  float64
	expiresAt  time.Duration // when the grant ends
	tokensOnly bool          // the grant has tokens but no rate; the node asks for more as it uses them
	used       bool          // a token was taken since the last grant request
	askedAt    time.Duration // when the grant was asked for
	retryAt    time.Duration // no more tokens are available before

	tokens    float64
	recent    recentTakes
	updatedAt time.Duration // when tokens was last updated

	arrivals   float64       // requests since the demand was last measured
	measuredAt time.Duration // when the demand was last measured
	demand     float64       // requests per second
	short      bool          // a request found no token since the last grant request
	waiting    bool          // one of these waits for a grant
}

// NewLocal returns an empty set of buckets.
func NewLocal(cfg Config) *Local {
	return &Local{cfg: cfg, buckets: make(map[request.Organisation]*bucket)}
}

// Verdict is the result of Take.
type Verdict uint8

const (
	// Admit: the request is within the limit.
	Admit Verdict = iota
	// Unknown: no valid grant decides it; the node may ask for one.
	Unknown
	// OverLimit: the organisation has reached its limit.
	OverLimit
)

// Count counts a request of an organisation. Call it once, before Take.
func (l *Local) Count(now time.Duration, o request.Organisation) {
	b := l.buckets[o]
	if b == nil {
		b = &bucket{measuredAt: now, updatedAt: now}
		l.buckets[o] = b
	}
	b.arrivals++
}

// Take takes a token for a request. It does not allocate.
func (l *Local) Take(now time.Duration, o request.Organisation, limit Limit) Verdict {
	b := l.buckets[o]
	if b == nil {
		return Unknown
	}
	b.refill(now, limit)
	if b.tokens >= wholeToken {
		b.tokens = max(0, b.tokens-1)
		b.used = true
		b.recent.take()
		return Admit
	}
	b.short = true
	if now < b.retryAt {
		return OverLimit
	}
	b.waiting = true
	return Unknown
}

// wholeToken is one token, less rounding errors.
const wholeToken = 1 - 1e-6

// Return returns the token, taken at the given time, of a request that ran nowhere. A
// token that was taken long ago is lost.
func (l *Local) Return(now, taken time.Duration, o request.Organisation, limit Limit) {
	b := l.buckets[o]
	if b == nil {
		return
	}
	b.refill(now, limit)
	if b.mayReturn() && b.recent.giveBack(taken) && now < b.expiresAt {
		b.tokens++
	}
}

// recentTakes counts the recently taken tokens that may be returned. They count against
// the bucket's capacity; otherwise returned tokens would exceed it.
type recentTakes struct {
	epoch             int64 // of current, in units of minReturnTime
	current, previous float64
}

// minReturnTime is the minimum time for which a token may be returned.
const minReturnTime = 50 * time.Millisecond

func epochOf(at time.Duration) int64 { return int64(at / minReturnTime) }

func (p *recentTakes) advance(now time.Duration) {
	switch e := epochOf(now); {
	case e == p.epoch:
	case e == p.epoch+1:
		p.epoch, p.previous, p.current = e, p.current, 0
	default:
		p.epoch, p.previous, p.current = e, 0, 0
	}
}

func (p *recentTakes) take() { p.current++ }

func (p *recentTakes) giveBack(taken time.Duration) bool {
	switch e := epochOf(taken); {
	case e == p.epoch && p.current >= 1:
		p.current--
	case e == p.epoch-1 && p.previous >= 1:
		p.previous--
	default:
		return false
	}
	return true
}

func (p *recentTakes) sum() float64 { return p.current + p.previous }

// minReturnCapacity is the capacity below which tokens can't be returned: the recently
// taken ones would leave no room for others, and requests that come close together
// would be refused.
const minReturnCapacity = 8

func (b *bucket) mayReturn() bool { return !b.tokensOnly && b.part.Capacity >= minReturnCapacity }

// returnable returns how many tokens may be returned.
func (b *bucket) returnable() float64 {
	if !b.mayReturn() {
		return 0
	}
	return b.recent.sum()
}

// Wait returns the time until the bucket's rate adds a token; 0 if it has no rate.
func (l *Local) Wait(o request.Organisation) time.Duration {
	b := l.buckets[o]
	if b == nil || b.part.Rate <= 0 {
		return 0
	}
	return time.Duration(max(0, 1-b.tokens) / float64(b.part.Rate) * float64(time.Second))
}

// scaleTo scales the grant down to a limit that was lowered since.
func (b *bucket) scaleTo(limit Limit) {
	if b.limitRate <= 0 || limit.Rate >= b.limitRate {
		return
	}
	s := float32(limit.Rate / b.limitRate)
	b.part.Rate, b.part.Capacity, b.limitRate = b.part.Rate*s, b.part.Capacity*s, limit.Rate
}

// discard gives up the grant.
func (b *bucket) discard() { b.part, b.expiresAt, b.tokens = Part{}, 0, 0 }

// refill updates the tokens to now. A bucket whose grant has ended is empty.
func (b *bucket) refill(now time.Duration, limit Limit) {
	b.recent.advance(now)
	if now >= b.expiresAt {
		b.tokens, b.updatedAt = 0, now
		return
	}
	if now > b.updatedAt {
		b.tokens += (now - b.updatedAt).Seconds() * float64(b.part.Rate)
		b.updatedAt = now
	}
	b.scaleTo(limit)
	b.tokens = min(b.tokens, max(0, float64(b.part.Capacity)-b.returnable()))
}

const (
	// demandRetention is the fraction of the measured demand that is kept after a
	// second.
	demandRetention = 0.85
	// minDemand is the demand, in requests per second, below which an organisation
	// counts as idle at the node.
	minDemand = 0.02
	// demandChange is the relative change of demand that is reported at once.
	demandChange = 0.25
)

// minAskInterval is the minimum time between two requests for a grant that no caller's
// request waits for.
const minAskInterval = time.Second

// measure updates the demand to now.
func (b *bucket) measure(now time.Duration) {
	span := now - b.measuredAt
	if span < minSpan {
		return
	}
	recent := perSecond(b.arrivals, span)
	weight := 1 - math.Pow(demandRetention, span.Seconds())
	b.demand += weight * (recent - b.demand)
	b.arrivals, b.measuredAt = 0, now
}

// Needs returns what to ask for now: organisations without a grant, with an aging
// grant, without tokens, or with changed demand. limits returns the limit of an
// organisation, false if it no longer has one. If all is set, it returns everything
// that is held or needed. It considers only organisations for which of returns true,
// those of a shard.
func (l *Local) Needs(now time.Duration, of func(request.Organisation) bool, all bool, limits func(request.Organisation) (Limit, bool)) []Need {
	var out []Need
	for o, b := range l.buckets {
		if !of(o) {
			continue
		}
		before := b.demand
		b.measure(now)
		limit, ok := limits(o)
		idle := b.demand < minDemand && b.arrivals == 0
		if !ok || idle && now >= b.expiresAt {
			delete(l.buckets, o)
			continue
		}
		b.refill(now, limit)
		if !all && !l.due(now, b, before) || b.arrivals > 0 && b.demand < minDemand {
			continue
		}
		out = append(out, b.need(now, o))
	}
	slices.SortFunc(out, func(x, y Need) int { return cmp.Compare(x.Organisation, y.Organisation) })
	return out
}

// due reports whether to ask for an organisation's tokens now.
func (l *Local) due(now time.Duration, b *bucket, before float64) bool {
	switch {
	case b.waiting:
		return true
	case now-b.askedAt < minAskInterval && b.askedAt != 0:
		return false
	case b.tokensOnly:
		return now < b.expiresAt && (b.used || now-b.askedAt >= l.cfg.Validity/2)
	case now >= b.expiresAt, b.short, b.demand < minDemand, now-b.askedAt >= l.cfg.RenewAfter:
		return true
	case b.tokens < float64(b.part.Capacity)/2:
		return true
	default:
		return b.demand > before*(1+demandChange) && b.demand > float64(b.part.Rate)*usableFraction
	}
}

func (b *bucket) need(now time.Duration, o request.Organisation) Need {
	waiting := b.waiting
	b.short, b.waiting, b.used = false, false, false
	if b.demand < minDemand || b.tokensOnly && b.demand < minReserveDemand && !waiting && now < b.expiresAt {
		n := Need{Organisation: o, Returned: float32(b.tokens)}
		b.discard()
		return n
	}
	n := Need{Organisation: o, Demand: float32(b.demand), Waiting: waiting}
	if now < b.expiresAt {
		n.Held = Part{Rate: b.part.Rate, Capacity: b.part.Capacity, Tokens: float32(b.tokens + b.returnable())}
		n.Remaining = b.expiresAt - now
	}
	return n
}

// NeedOf returns the need of one organisation that is out of tokens.
func (l *Local) NeedOf(now time.Duration, o request.Organisation, limit Limit) (Need, bool) {
	b := l.buckets[o]
	if b == nil {
		return Need{}, false
	}
	b.refill(now, limit)
	b.demand = max(b.demand, minDemand)
	n := b.need(now, o)
	n.Demand = max(n.Demand, float32(perSecond(b.arrivals, max(now-b.measuredAt, minDemandSpan))))
	return n, true
}

// minDemandSpan is the minimum time over which a first demand is measured.
const minDemandSpan = 10 * time.Second

// Apply applies grants that were asked for at the given time. They must answer the last
// request sent for their organisation.
func (l *Local) Apply(now, asked time.Duration, grants []Grant, limits func(request.Organisation) (Limit, bool)) {
	for _, g := range grants {
		limit, ok := limits(g.Organisation)
		b := l.buckets[g.Organisation]
		if !ok || b == nil {
			continue
		}
		b.refill(now, limit)
		b.part, b.limitRate, b.retryAt = g.Part, g.LimitRate, 0
		if g.RetryAfter > 0 {
			b.retryAt = now + min(g.RetryAfter, maxRetryAfter)
		}
		b.askedAt, b.expiresAt, b.tokensOnly = asked, asked+min(g.Validity, l.cfg.Validity), g.Part.Rate == 0
		if b.tokensOnly {
			b.recent = recentTakes{}
		}
		if now >= b.expiresAt {
			b.tokens, b.updatedAt = 0, now
			continue
		}
		b.tokens += float64(g.Part.Tokens)
		b.updatedAt = now
		b.refill(now, limit)
	}
}

// State describes a bucket for the log.
type State struct {
	Rate, Tokens float64
	Age          time.Duration // of the grant
	Valid        bool
}

// State returns the state of an organisation's bucket.
func (l *Local) State(now time.Duration, o request.Organisation) State {
	b := l.buckets[o]
	if b == nil {
		return State{}
	}
	return State{Rate: float64(b.part.Rate), Tokens: b.tokens, Age: now - b.askedAt, Valid: now < b.expiresAt}
}
