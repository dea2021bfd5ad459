package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"peardrift/internal/adapter/rpc"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/member"
	"peardrift/internal/core/ratelimit"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// limiter executes the decisions of the ratelimit core: it requests grants from the lease
// holders of the organisations' limits, grants shares for the shards whose lease it
// holds, and lets traffic take tokens from the grants.
type limiter struct {
	log       *zap.Logger
	cfg       ratelimit.Config
	self      request.TargetID
	processID uint64
	bootstrap bool // first start of the whole fleet
	rows      *rowClient
	calls     *rpc.Pool
	meter     *rpc.Meter
	submit    func(func()) error
	post      func(func())
	tryPost   func(func()) // post that drops the event if the queue is full
	now       func() time.Duration
	index     func() *configset.Index // called on the control goroutine

	restores   atomic.Int64 // restores of the table from an older copy
	proxyUntil atomic.Int64 // time until which table calls go through another node

	mu         sync.Mutex
	local      *ratelimit.Local
	shardCount int // 0: no organisation has a limit
	waiters    []shardWaiters
	// otherNodes holds the control addresses of the other nodes.
	otherNodes []string

	// The fields below belong to the control goroutine.
	shardedIndex *configset.Index // the index that shards were built from
	shards       []*shard
	members      *member.View
	restoresSeen int64
	retiring     bool
}

// shardWaiters tracks the requests that wait for a shard's grants.
type shardWaiters struct {
	replied chan struct{} // closed at the next reply
	urgent  map[request.Organisation]bool
}

// shard is the control goroutine's state of one shard.
type shard struct {
	n            int
	key          string // key of its row
	lease        *ratelimit.Lease
	loggedHeld   bool // the last logged value
	ranked       []member.Member
	knownHolder  request.TargetID // the lease holder as far as known; 0: ask the first of ranked
	avoidUntil   map[request.TargetID]time.Duration
	emptyReplies int           // consecutive replies that name no lease holder, one in askRetryDelay
	emptyReplyAt time.Duration // time of the last one that was counted
	askInFlight  bool
	starting     bool // the lease holder hasn't answered since this node started
	seq          uint64
	nextAsk      time.Duration
	holderProbed time.Duration // time of the last probe of the holder
}

const (
	// askInterval is the time between periodic requests for grants.
	askInterval = time.Second
	// askTimeout bounds a request.
	askTimeout = 700 * time.Millisecond
	// askRetryDelay is the time to the next request while no node holds the lease.
	askRetryDelay = 300 * time.Millisecond
	// avoidDuration is how long a node that didn't answer isn't asked.
	avoidDuration = 2 * time.Second
	// maxEmptyReplies is the number of consecutive replies without a lease holder after
	// which another node is asked.
	maxEmptyReplies = 6
	// refusedAvoidDuration is the same for a node at whose address nothing listens. It may
	// be starting.
	refusedAvoidDuration = 200 * time.Millisecond
	// takeTimeout is how long a caller's request may wait for a grant.
	takeTimeout = 100 * time.Millisecond
)

const (
	limitsName      = "Limits"
	methodAskLimits = limitsName + ".Ask"
)

func (n *Node) newLimiter(c *control) *limiter {
	cfg := ratelimit.DefaultConfig()
	first := false
	if n.integration != nil {
		cfg.Terms, first = n.integration.Limits, n.integration.Bootstrap
	}
	l := &limiter{
		log: n.log, cfg: cfg, self: n.self.ID, processID: rand.Uint64(), bootstrap: first,
		calls: n.calls, meter: c.meter, submit: n.pool.Submit, post: c.post,
		tryPost: func(f func()) {
			select {
			case c.events <- f:
			default:
			}
		},
		now:   sinceNow(),
		index: c.config.index,
		local: ratelimit.NewLocal(cfg),
	}
	l.rows = l.newRowClient(n.table)
	n.engine.SetLimiter(l)
	return l
}

// Take implements dataplane.Limiter.
func (l *limiter) Take(ctx context.Context, o *configset.OrganisationInfo) *status.Error {
	v := l.tryTake(o, true)
	if v == ratelimit.Unknown {
		v = l.waitAndTake(ctx, o)
	}
	if v == ratelimit.Admit {
		return nil
	}
	return l.refusal(o, v)
}

func (l *limiter) tryTake(o *configset.OrganisationInfo, first bool) ratelimit.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if first {
		l.local.Count(now, o.ID)
	}
	return l.local.Take(now, o.ID, l.limitOf(o))
}

// waitAndTake requests a grant and takes a token from it.
func (l *limiter) waitAndTake(ctx context.Context, o *configset.OrganisationInfo) ratelimit.Verdict {
	timer := time.NewTimer(takeTimeout)
	defer timer.Stop()
	v := ratelimit.Unknown
	for v == ratelimit.Unknown {
		answered, ok := l.requestUrgent(o.ID)
		if !ok {
			return v
		}
		select {
		case <-answered:
			v = l.tryTake(o, false)
		case <-timer.C:
			return l.tryTake(o, false)
		case <-ctx.Done():
			return v
		}
	}
	return v
}

// requestUrgent triggers an immediate request for an organisation's grant. It returns a
// channel that is closed at the reply, and false if no organisation has a limit.
func (l *limiter) requestUrgent(o request.Organisation) (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shardCount == 0 {
		return nil, false
	}
	n := ratelimit.ShardOf(o, l.shardCount)
	w := &l.waiters[n]
	if w.replied == nil {
		w.replied = make(chan struct{})
	}
	if len(w.urgent) == 0 {
		l.tryPost(func() { l.askNow(n) })
	}
	if w.urgent == nil {
		w.urgent = make(map[request.Organisation]bool)
	}
	w.urgent[o] = true
	return w.replied, true
}

// refusal returns the error for a request that is not admitted.
func (l *limiter) refusal(o *configset.OrganisationInfo, v ratelimit.Verdict) *status.Error {
	l.mu.Lock()
	s, wait := l.local.State(l.now(), o.ID), l.local.Wait(o.ID)
	l.mu.Unlock()
	if v == ratelimit.OverLimit {
		return status.Refuse(status.CodeOverLimit, max(wait, minOverLimitRetryAfter+rand.N(minOverLimitRetryAfter)),
			"%s exceeds its limit of %g requests per second: %.1f tokens are left of a grant of %.2f per second, %v old",
			o.Name, o.Rate, s.Tokens, s.Rate, s.Age.Round(time.Millisecond))
	}
	return status.Refuse(status.CodeLimitUnchecked, minUncheckedRetryAfter+rand.N(minUncheckedRetryAfter),
		"no node granted a share of the limit of %s; the last grant is %v old, valid: %t",
		o.Name, s.Age.Round(time.Millisecond), s.Valid)
}

// minUncheckedRetryAfter is the minimum Retry-After for a caller whose organisation's
// limit could not be checked; jitter adds up to the same time again.
const minUncheckedRetryAfter = 500 * time.Millisecond

// minOverLimitRetryAfter is the minimum Retry-After for a caller over its limit; jitter
// adds up to the same time again. Earlier retries are mostly refused again.
const minOverLimitRetryAfter = 700 * time.Millisecond

// Return implements dataplane.Limiter.
func (l *limiter) Return(taken time.Duration, o *configset.OrganisationInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Return(l.now(), taken, o.ID, l.limitOf(o))
}

// Now implements dataplane.Limiter.
func (l *limiter) Now() time.Duration { return l.now() }

func (l *limiter) limitOf(o *configset.OrganisationInfo) ratelimit.Limit {
	return l.cfg.Terms.Limit(o.Rate, o.Burst)
}

// limitByID returns an organisation's limit, false if it has none.
func (l *limiter) limitByID(id request.Organisation) (ratelimit.Limit, bool) {
	o, ok := l.index().Organisation(id)
	if !ok || o.Rate <= 0 {
		return ratelimit.Limit{}, false
	}
	return l.limitOf(o), true
}

// tick runs at each tick of the control goroutine.
func (l *limiter) tick() {
	l.reshard()
	l.applyRestores()
	now := l.now()
	for _, s := range l.shards {
		l.stepLease(s)
		if now >= s.nextAsk {
			l.ask(s)
		}
	}
}

// reshard rebuilds the shards if the configuration's number of limited organisations
// requires another count.
func (l *limiter) reshard() {
	idx := l.index()
	if idx == l.shardedIndex {
		return
	}
	l.shardedIndex = idx
	limited := 0
	idx.Organisations(func(o *configset.OrganisationInfo) {
		if o.Rate > 0 {
			limited++
		}
	})
	count := 0
	if limited > 0 {
		count = ratelimit.Shards(limited)
	}
	if count == len(l.shards) {
		return
	}
	first := l.bootstrap && l.shards == nil
	l.shards = make([]*shard, count)
	for i := range l.shards {
		l.shards[i] = &shard{
			n: i, key: limitRowKey(count, i), starting: true,
			lease:      ratelimit.NewLease(l.cfg, l.self, l.processID, first),
			avoidUntil: make(map[request.TargetID]time.Duration),
		}
	}
	l.rankMembers()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.waiters {
		if w.replied != nil {
			close(w.replied)
		}
	}
	l.shardCount, l.waiters = count, make([]shardWaiters, count)
}

// setMembers updates the members that the shards are ranked by.
func (l *limiter) setMembers(v *member.View) {
	l.members = v
	l.rankMembers()
	var others []string
	v.All(func(m member.Member) bool {
		if m.Status == member.Alive && m.ID != l.self {
			others = append(others, m.ControlAddr)
		}
		return true
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.otherNodes = others
}

// rankMembers ranks the members for each shard: the first should hold the shard's lease.
func (l *limiter) rankMembers() {
	if l.members == nil {
		return
	}
	for _, s := range l.shards {
		s.ranked = s.ranked[:0]
		l.members.All(func(m member.Member) bool {
			if m.Status == member.Alive || m.Status == member.Suspect {
				s.ranked = append(s.ranked, m)
			}
			return true
		})
		slices.SortFunc(s.ranked, func(a, b member.Member) int {
			return cmp.Compare(b.ID.SortKey(uint64(s.n)), a.ID.SortKey(uint64(s.n)))
		})
	}
}

// applyRestores notifies the leases when the table was restored from an older copy.
func (l *limiter) applyRestores() {
	n := l.restores.Load()
	if n == l.restoresSeen {
		return
	}
	l.restoresSeen = n
	for _, s := range l.shards {
		s.lease.TableRestored(l.now())
	}
}

// releaseLeases releases this node's leases, so that another node can take over at once.
func (l *limiter) releaseLeases() {
	l.retiring = true
	for _, s := range l.shards {
		row, version, ok := s.lease.Release(l.now())
		if !ok {
			continue
		}
		_ = l.submit(func() { l.writeRow(s, row, version) })
	}
}
