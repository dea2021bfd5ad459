package ratelimit

import (
	"math"
	"slices"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/core/share"
)

// account is the limit of an organisation and its division among nodes.
type account struct {
	limit        Limit
	capacity     float64
	pool         float64 // tokens held by no node
	updatedAt    time.Duration
	nextTokenAt  time.Duration // when the inflow has a token that no node waits for
	holdings     map[request.TargetID]*holding
	heldRate     float64 // sum of the holdings' rates
	heldCapacity float64 // sum of the holdings' capacities

	demandFactor float64 // rate per demand while all demand fits
	maxRate      float64 // maximum rate of a node while it doesn't
	dividedAt    time.Duration
}

// holding is what a node may hold of an organisation's limit, and the node's demand.
type holding struct {
	rate, capacity float64 // counted against the limit
	expiresAt      time.Duration
	demand         float64
	askedAt        time.Duration

	isLoan   bool       // rate and capacity belong to a loan
	target   allocation // the allocation that the node should have
	recorded allocation // the allocation recorded in the row
}

// allocation is the rate and the capacity of a node's part of a limit.
type allocation struct{ rate, capacity float64 }

// toRecord returns the allocation to record in the row, at least what the node may
// hold.
func (h *holding) toRecord(now time.Duration) allocation {
	s := h.target
	if now < h.expiresAt && !h.isLoan {
		s.rate, s.capacity = max(s.rate, h.rate), max(s.capacity, h.capacity)
	}
	return s
}

// retryAfter returns the time until the pool has a token for a node that asks now.
// Nodes that find the pool empty get successive tokens of its inflow, so that they
// don't all ask again for the same one.
func (a *account) retryAfter(now time.Duration) time.Duration {
	if a.pool >= 1 {
		a.nextTokenAt = now
		return 0
	}
	flow := a.limit.Rate - a.heldRate
	if flow*maxRetryAfter.Seconds() <= 1-a.pool {
		return maxRetryAfter
	}
	a.nextTokenAt = max(a.nextTokenAt, now+seconds((1-a.pool)/flow))
	wait := a.nextTokenAt - now
	a.nextTokenAt = min(a.nextTokenAt+seconds(1/flow), now+maxRetryAfter)
	return min(max(minRetryAfter, wait), maxRetryAfter)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Bounds of the time after which a node that found the pool empty asks again.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 500 * time.Millisecond
)

// setLimit applies a changed limit. Nodes reduce their own parts when they see a lower
// one.
func (a *account) setLimit(limit Limit, capacity float64) {
	if a.limit.Rate > 0 && limit.Rate < a.limit.Rate {
		s := limit.Rate / a.limit.Rate
		for _, h := range a.holdings {
			h.rate, h.capacity = h.rate*s, h.capacity*s
		}
		a.heldRate, a.heldCapacity = a.heldRate*s, a.heldCapacity*s
	}
	a.limit, a.capacity = limit, capacity
	a.pool = min(a.pool, max(0, a.capacity-a.heldCapacity))
	a.dividedAt = -time.Hour
}

// advance expires holdings and refills the pool. Before settledAt, when all outstanding
// grants are known, the pool gets no tokens, because other nodes may be using all of
// the limit.
func (a *account) advance(now, settledAt time.Duration) {
	if from := max(a.updatedAt, settledAt); now > from {
		a.pool += (now - from).Seconds() * max(0, a.limit.Rate-a.heldRate)
	}
	a.expire(now)
	a.pool = min(a.pool, max(0, a.capacity-a.heldCapacity))
	a.updatedAt = now
}

func (a *account) expire(now time.Duration) {
	for id, h := range a.holdings {
		if now < h.expiresAt {
			continue
		}
		a.revoke(h)
		if now-h.askedAt >= demandValidity {
			delete(a.holdings, id)
		}
	}
}

func (a *account) release(id request.TargetID) {
	h := a.holdings[id]
	if h == nil {
		return
	}
	delete(a.holdings, id)
	a.revoke(h)
	if len(a.holdings) == 0 {
		a.heldRate, a.heldCapacity = 0, 0
	}
}

// revoke takes back what was granted.
func (a *account) revoke(h *holding) {
	a.heldRate = max(0, a.heldRate-h.rate)
	a.heldCapacity = max(0, a.heldCapacity-h.capacity)
	h.rate, h.capacity = 0, 0
}

// demandValidity is how long the demand of a node without a grant is counted.
const demandValidity = 3 * time.Second

// grant replaces the node's holding by a new one.
func (a *account) grant(l *Ledger, now time.Duration, id request.TargetID, n *Need, settled bool) (g Grant, ok bool) {
	var recorded allocation
	if h := a.holdings[id]; h != nil {
		recorded = h.recorded
	}
	a.release(id)
	g = Grant{Organisation: n.Organisation, LimitRate: a.limit.Rate, Validity: l.cfg.Validity}
	h := &holding{demand: float64(n.Demand), askedAt: now, expiresAt: now, recorded: recorded}
	if !(h.demand >= 0 && h.demand < MaxDemand) || !n.Held.valid() {
		return g, false
	}
	if h.demand == 0 {
		if r := float64(n.Returned); r > 0 && r < maxReturned {
			a.pool = min(a.pool+r, max(0, a.capacity-a.heldCapacity))
		}
		return g, false
	}
	a.holdings[id] = h
	h.target = a.allocate(now, h)
	if !settled {
		// Other nodes may hold the rest.
		h.target.rate, h.target.capacity = min(h.target.rate, float64(n.Held.Rate)), min(h.target.capacity, float64(n.Held.Capacity))
	}
	if l.rowPartial {
		h.recorded = h.target
	}
	if g.Part = a.fillPart(h, n, settled); g.Part.Capacity == 0 && settled && n.Waiting {
		g.Part, h.isLoan = a.lend(h, n), true
		g.Validity = loanValidity
	}
	l.dirty = l.dirty || h.target.rate > h.recorded.rate || h.target.capacity > h.recorded.capacity
	// The answer may get lost, so until the node asks again it may have the old or the
	// new part.
	h.rate = max(float64(g.Part.Rate), float64(n.Held.Rate), h.target.rate)
	h.capacity = max(float64(g.Part.Capacity), float64(n.Held.Capacity), h.target.capacity)
	h.expiresAt = now + withDrift(h.heldFor(l.cfg.Validity, n, &g))
	h.isLoan = h.isLoan && h.target.capacity == 0 && n.Held.Capacity == 0
	a.heldRate += h.rate
	a.heldCapacity += h.capacity
	a.pool = min(a.pool, max(0, a.capacity-a.heldCapacity))
	return g, true
}

// heldFor returns how long the node may hold what it held or what it is granted. An
// empty grant adds nothing to the remaining validity of what it replaces.
func (h *holding) heldFor(validity time.Duration, n *Need, g *Grant) time.Duration {
	held := min(n.Remaining, validity)
	switch {
	case h.target.capacity > 0:
		return validity
	case g.Part.Capacity > 0:
		return max(held, g.Validity)
	default:
		return held
	}
}

const (
	// minCapacity is the capacity below which a bucket is useless: it would hold no
	// burst, and the node asks for single tokens instead.
	minCapacity = 2
	// minRate is the demand, in requests per second, below which most of a part would
	// go unused.
	minRate = 0.7
	// loanValidity is how long loaned tokens may be used. It is longer than a caller's
	// request waits for a grant. While it lasts, the tokens count against the capacity.
	loanValidity = 150 * time.Millisecond
	// maxLoanTokens bounds the tokens of a loan.
	maxLoanTokens = 3
	// reservableFraction is the fraction of a capacity that nodes may hold as parts.
	reservableFraction = 0.75
	// minReserveDemand is the demand, in requests per second, below which a token would
	// mostly expire unused.
	minReserveDemand = 0.17
	// tokenFraction is the fraction of a capacity above which nodes of little demand
	// reserve no tokens. The pool needs the rest for requests that come close together at
	// many nodes.
	tokenFraction = 0.5
	// maxReturned is the maximum number of returned tokens that is plausible.
	maxReturned = 1e6
	// twoTokenDemand is the demand, in requests per second, from which a node reserves
	// two tokens.
	twoTokenDemand = 0.25
	// keepFraction is the fraction of the recorded rate above which a smaller rate
	// isn't worth another write.
	keepFraction = 0.6
)

// allocate returns the allocation that a node should have. A node of little demand gets
// no rate, but one or two tokens that are refilled when it asks.
func (a *account) allocate(now time.Duration, h *holding) allocation {
	room := max(0, a.capacity*reservableFraction-a.heldCapacity)
	tokenRoom := a.capacity*tokenFraction - a.heldCapacity
	if h.demand < minRate {
		return h.reserve(tokenRoom)
	}
	a.divide(now)
	free := max(0, a.limit.Rate*(1-unallocatedFraction)-a.heldRate)
	rate := min(h.demand*a.demandFactor, a.maxRate, free)
	if w := h.recorded.rate; rate >= w*keepFraction && rate <= w && w <= free {
		rate = w
	}
	capacity := min(a.capacity*reservableFraction*rate/a.limit.Rate, room)
	if capacity < minCapacity {
		return h.reserve(tokenRoom)
	}
	return allocation{rate, capacity}
}

// reserve returns the tokens allocated to a node of little demand.
func (h *holding) reserve(room float64) allocation {
	threshold := minReserveDemand
	if h.recorded.capacity > 0 && h.recorded.rate == 0 {
		threshold *= keepFraction // already recorded in the row
	}
	if h.demand < threshold || room < 1 {
		return allocation{}
	}
	if (h.demand >= twoTokenDemand || h.recorded == allocation{capacity: 2}) && room >= 2 {
		return allocation{capacity: 2}
	}
	return allocation{capacity: 1}
}

// fillPart returns the part of the target allocation that the row already records,
// filled from the pool.
func (a *account) fillPart(h *holding, n *Need, settled bool) Part {
	rate, capacity := min(h.target.rate, h.recorded.rate), min(h.target.capacity, h.recorded.capacity)
	if capacity < 1 {
		return Part{}
	}
	p := Part{Rate: float32(rate), Capacity: float32(capacity)}
	if !settled {
		return p
	}
	full := capacity
	if a.pool < (a.capacity-a.heldCapacity)/2 {
		// Unneeded tokens would be missing elsewhere.
		switch {
		case rate > 0:
			full = max(capacity/2, 1)
		case n.Waiting:
			full = 1
		default:
			full = 0
		}
	}
	give := max(0, min(a.pool, full-float64(n.Held.Tokens)))
	if rate == 0 {
		give = math.Floor(give)
	} else if n.Waiting && give+float64(n.Held.Tokens) < 1 {
		give = 0 // less than a token would only keep the pool from having one
	}
	a.pool -= give
	p.Tokens = float32(give)
	return p
}

// lend returns tokens of the pool for a node without a part.
func (a *account) lend(h *holding, n *Need) Part {
	want := min(maxLoanTokens, max(1, math.Ceil(h.demand*loanValidity.Seconds())))
	room := max(0, a.capacity-a.heldCapacity-h.target.capacity)
	want = math.Floor(min(want, a.pool+float64(n.Held.Tokens), room))
	give := max(0, want-float64(n.Held.Tokens))
	a.pool -= give
	return Part{Capacity: float32(want), Tokens: float32(give)}
}

const (
	// divideInterval is the time between divisions of an organisation's limit.
	divideInterval = 250 * time.Millisecond
	// unallocatedFraction is the fraction of a limit that is kept for loans, for nodes
	// that start to ask, and for nodes with bursts of requests.
	unallocatedFraction = 0.35
	// maxHeadroom bounds the ratio of a grant to the demand that it is for.
	maxHeadroom = 2
)

// divide computes the nodes' rates: proportional to demand and above it while all
// demand fits, otherwise max-min fair shares.
func (a *account) divide(now time.Duration) {
	if now-a.dividedAt < divideInterval {
		return
	}
	a.dividedAt = now
	demands := make([]float64, 0, len(a.holdings))
	total := 0.0
	for _, h := range a.holdings {
		demands = append(demands, h.demand)
		total += h.demand
	}
	total = max(total, minDemand)
	capacity := a.limit.Rate * (1 - unallocatedFraction)
	a.demandFactor, a.maxRate = min(maxHeadroom, max(1, capacity/total)), math.Inf(1)
	if total <= capacity {
		return
	}
	weights, parts := make([]float64, len(demands)), make([]float64, len(demands))
	for i := range weights {
		weights[i] = 1
	}
	share.Divide(capacity, weights, demands, parts)
	a.maxRate = slices.Max(parts)
}
