package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"peardrift/internal/adapter/zaplog"
	"peardrift/internal/core/member"
	"peardrift/internal/core/ratelimit"
	"peardrift/internal/core/request"
)

// member returns a member by its identity.
func (s *shard) member(id request.TargetID) (m member.Member, ok bool) {
	for _, m := range s.ranked {
		if m.ID == id {
			return m, true
		}
	}
	return member.Member{}, false
}

// holderToAsk returns the node to ask for grants; ok is false if none is known.
func (s *shard) holderToAsk(now time.Duration) (m member.Member, ok bool) {
	if m, ok := s.member(s.knownHolder); ok && now >= s.avoidUntil[m.ID] {
		return m, true
	}
	for _, m := range s.ranked {
		if now >= s.avoidUntil[m.ID] {
			return m, true
		}
	}
	return member.Member{}, false
}

// askNow immediately asks for the grants that requests wait for.
func (l *limiter) askNow(n int) {
	if n < len(l.shards) {
		l.ask(l.shards[n])
	}
}

// ask requests the needed grants from the lease holder of a shard.
func (l *limiter) ask(s *shard) {
	now := l.now()
	s.nextAsk = now + askInterval
	m, ok := s.holderToAsk(now)
	if s.askInFlight || !ok {
		return
	}
	a := &ratelimit.GrantRequest{Shard: s.n, Shards: len(l.shards), Node: l.self, Incarnation: l.processID, Starting: s.starting, Needs: l.needs(now, s)}
	if len(a.Needs) == 0 && !a.Starting {
		return
	}
	s.seq++
	a.Seq = s.seq
	s.askInFlight = true
	if m.ID == l.self {
		l.handleReply(s, m, now, l.serve(a), nil)
		return
	}
	submitErr := l.submit(func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		var r ratelimit.GrantReply
		err := l.calls.Call(ctx, m.ControlAddr, methodAskLimits, a, &r)
		l.excludeFromBudget(a, &r)
		l.post(func() { l.handleReply(s, m, now, r, err) })
	})
	if submitErr != nil {
		s.askInFlight = false
	}
}

// needs returns the grants to request for a shard.
func (l *limiter) needs(now time.Duration, s *shard) []ratelimit.Need {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &l.waiters[s.n]
	of := func(o request.Organisation) bool { return ratelimit.ShardOf(o, l.shardCount) == s.n }
	needs := l.local.Needs(now, of, s.starting, l.limitByID)
	for _, n := range needs {
		delete(w.urgent, n.Organisation)
	}
	for o := range w.urgent {
		if limit, ok := l.limitByID(o); ok {
			if n, ok := l.local.NeedOf(now, o, limit); ok {
				needs = append(needs, n)
			}
		}
	}
	clear(w.urgent)
	return needs
}

// handleReply processes the reply to a request that was sent at the given time.
func (l *limiter) handleReply(s *shard, m member.Member, asked time.Duration, r ratelimit.GrantReply, err error) {
	s.askInFlight = false
	if s.n >= len(l.shards) || l.shards[s.n] != s {
		return // the shards have been rebuilt
	}
	now := l.now()
	switch {
	case err != nil:
		s.avoidUntil[m.ID], s.knownHolder = now+avoidanceAfter(err), 0
		s.nextAsk = now
		l.log.Debug("rate limits not asked", zaplog.Target(m.ID), zaplog.Error(err))
	case !r.Divides:
		l.handleRedirect(s, m, now, r)
	default:
		s.knownHolder, s.emptyReplies = m.ID, 0
		s.starting = false
	}
	l.mu.Lock()
	if err == nil && r.Divides {
		l.local.Apply(now, asked, r.Grants, l.limitByID)
	}
	w := &l.waiters[s.n]
	again := len(w.urgent) > 0
	if w.replied != nil {
		close(w.replied)
		w.replied = nil
	}
	l.mu.Unlock()
	if again {
		l.ask(s)
	}
}

// avoidanceAfter returns how long a node isn't asked after a request failed.
func avoidanceAfter(err error) time.Duration {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return refusedAvoidDuration
	}
	return avoidDuration
}

// handleRedirect processes a reply from a node that doesn't hold the lease.
func (l *limiter) handleRedirect(s *shard, m member.Member, now time.Duration, r ratelimit.GrantReply) {
	s.knownHolder = 0
	if r.Holder != 0 && r.Holder != m.ID {
		s.knownHolder, s.emptyReplies, s.nextAsk = r.Holder, 0, now
		return
	}
	s.nextAsk = now + askRetryDelay
	if now < s.emptyReplyAt+askRetryDelay && s.emptyReplies > 0 {
		return // callers' requests ask more often, and the node may be starting
	}
	s.emptyReplyAt = now
	if s.emptyReplies++; s.emptyReplies >= maxEmptyReplies {
		s.emptyReplies = 0
		s.avoidUntil[m.ID] = now + avoidDuration
	}
}

// serve answers a node's request for grants.
func (l *limiter) serve(req *ratelimit.GrantRequest) ratelimit.GrantReply {
	l.applyRestores()
	if req.Shards != len(l.shards) || req.Shard < 0 || req.Shard >= len(l.shards) || l.retiring {
		return ratelimit.GrantReply{}
	}
	s := l.shards[req.Shard]
	r := s.lease.Ask(l.now(), req, l.limitByID)
	l.stepLease(s)
	if !r.Divides && r.Holder != 0 {
		if m, ok := s.member(r.Holder); ok {
			l.probeHolder(s, m)
		}
	}
	if req.Node != l.self {
		l.excludeFromBudget(req, &r)
	}
	return r
}

// Bytes of a request and its reply together, and of one organisation in both.
const (
	askBytes  = 60
	needBytes = 60
)

// excludeFromBudget excludes a request and its reply from the control budget, because
// callers' requests wait for them.
func (l *limiter) excludeFromBudget(req *ratelimit.GrantRequest, r *ratelimit.GrantReply) {
	l.meter.Exclude(askBytes + needBytes/2*(len(req.Needs)+len(r.Grants)))
}

// returnGrants returns all grants that this node holds.
func (l *limiter) returnGrants() {
	for _, s := range l.shards {
		m, ok := s.holderToAsk(l.now())
		if !ok || m.ID == l.self {
			continue
		}
		s.seq++
		a := &ratelimit.GrantRequest{Shard: s.n, Shards: len(l.shards), Node: l.self, Incarnation: l.processID, Seq: s.seq, Leaving: true}
		_ = l.submit(func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			_ = l.calls.Call(ctx, m.ControlAddr, methodAskLimits, a, &ratelimit.GrantReply{})
		})
	}
}

// limitsService serves grants and table calls to other nodes. Its methods run on
// net/rpc's goroutines.
type limitsService struct{ control *control }

// Ask grants shares of rate limits.
func (s *limitsService) Ask(in *ratelimit.GrantRequest, out *ratelimit.GrantReply) error {
	if !s.control.ask(func() { *out = s.control.limiter.serve(in) }) {
		return errStopping
	}
	return nil
}
