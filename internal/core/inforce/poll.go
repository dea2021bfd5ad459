package inforce

import (
	"time"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
)

// poll is when a row was and will be read.
type poll struct {
	busy bool
	next time.Duration
	read bool // once at least
	mine bool // this node was among the pollers last time
}

// tickPolls reads the rows that fall to this node.
//
// All pollers together make (tenants+1) * Pollers / interval reads a second,
// whatever the number of nodes; the interval is PollEvery until that would
// exceed PollReads.
func (s *State) tickPolls(now time.Duration) {
	if !s.complete {
		return
	}
	rows := len(s.order) + 1
	interval := max(s.cfg.PollEvery, time.Second*time.Duration(rows*s.cfg.Pollers)/time.Duration(s.cfg.PollReads))
	if s.due(now, &s.ledger, "", interval) {
		s.readLedger(now)
	}
	for _, t := range s.order {
		if s.due(now, &s.tenants[t].poll, t, interval) {
			s.readHead(now, t)
		}
	}
}

// due reports whether a row is to be read now, and by this node.
func (s *State) due(now time.Duration, p *poll, t request.Tenant, interval time.Duration) bool {
	if p.busy || now < p.next {
		return false
	}
	p.next = now + interval
	p.mine = pollersOf(t).among(s.cfg.Pollers, s.self.ID, s.peers)
	return p.mine
}

func (s *State) readHead(now time.Duration, t request.Tenant) {
	p := &s.tenants[t].poll
	if p.busy {
		return
	}
	p.busy = true
	s.stats.Reads++
	s.do(ReadHead{ID: s.begin(call{kind: callHead, tenant: t, deadline: now + s.cfg.LoadTimeout}), Tenant: t})
}

func (s *State) readLedger(now time.Duration) {
	if s.ledger.busy {
		return
	}
	s.ledger.busy = true
	s.stats.Reads++
	s.do(ReadTenants{ID: s.begin(call{kind: callLedger, deadline: now + s.cfg.LoadTimeout})})
}

// followHint reads the head of a tenant whose newer version somebody claims, at
// most once in RetryMin, so that hints by the thousand cost no more.
func (s *State) followHint(now time.Duration, t request.Tenant, x *tenant) {
	if x.hint.version <= x.known.Version || now >= x.hint.until || x.poll.busy || now < x.hint.next {
		return
	}
	x.hint.next = now + s.cfg.RetryMin
	s.readHead(now, t)
}

// headRead takes a head row; a zero head means that there is none.
func (s *State) headRead(now time.Duration, t request.Tenant, h confset.Head) {
	x := s.tenants[t]
	if x == nil {
		return
	}
	x.poll.busy, x.poll.read = false, true
	if h.Version > 0 && h.Tenant == t {
		s.learn(now, h)
	} else {
		s.forget(t)
	}
	s.checkPlatformTold(now)
}
