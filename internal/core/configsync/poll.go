package configsync

import (
	"time"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// poll schedules the reads of one row.
type poll struct {
	inFlight bool
	nextRead time.Duration
	wasRead  bool // has been read at least once
	isPoller bool // this node was a poller at the last check
}

// tickPolls reads the rows that this node polls and that are due.
//
// All pollers together make (tenants+1) * Pollers / interval reads per second,
// whatever the number of nodes; the interval is PollEvery until that would
// exceed PollReads.
func (s *State) tickPolls(now time.Duration) {
	if !s.peersComplete {
		return
	}
	rows := len(s.tenantNames) + 1
	interval := max(s.cfg.PollEvery, time.Second*time.Duration(rows*s.cfg.Pollers)/time.Duration(s.cfg.PollReads))
	if s.pollDue(now, &s.tenantList, "", interval) {
		s.readTenantList(now)
	}
	for _, t := range s.tenantNames {
		if s.pollDue(now, &s.tenants[t].poll, t, interval) {
			s.readHeadRow(now, t)
		}
	}
}

// pollDue reports whether this node has to read a row now, and schedules the
// next check.
func (s *State) pollDue(now time.Duration, p *poll, t request.Tenant, interval time.Duration) bool {
	if p.inFlight || now < p.nextRead {
		return false
	}
	p.nextRead = now + interval
	p.isPoller = pollerOrdering(t).isAmongFirst(s.cfg.Pollers, s.self.ID, s.peers)
	return p.isPoller
}

func (s *State) readHeadRow(now time.Duration, t request.Tenant) {
	p := &s.tenants[t].poll
	if p.inFlight {
		return
	}
	p.inFlight = true
	s.countRead(now)
	s.emit(ReadHead{ID: s.beginCall(pendingCall{kind: callHeadRow, tenant: t, deadline: now + s.cfg.LoadTimeout}), Tenant: t})
}

func (s *State) countRead(now time.Duration) {
	s.stats.Reads++
	if s.startup.firstReadAt == 0 {
		s.startup.firstReadAt = now
	}
}

func (s *State) readTenantList(now time.Duration) {
	if s.tenantList.inFlight {
		return
	}
	s.tenantList.inFlight = true
	s.countRead(now)
	s.emit(ReadTenants{ID: s.beginCall(pendingCall{kind: callTenantList, deadline: now + s.cfg.LoadTimeout})})
}

// followHint reads the head row of a tenant with an unconfirmed newer version,
// at most once per RetryMin, so that a flood of hints costs no more reads.
func (s *State) followHint(now time.Duration, t request.Tenant, x *tenant) {
	if x.hint.version <= x.known.Version || now >= x.hint.until || x.poll.inFlight || now < x.hint.nextRead {
		return
	}
	x.hint.nextRead = now + s.cfg.RetryMin
	s.readHeadRow(now, t)
}

// handleHeadRow handles a head row; a zero head means that the row does not
// exist.
func (s *State) handleHeadRow(now time.Duration, t request.Tenant, h configset.Head) {
	x := s.tenants[t]
	if x == nil {
		return
	}
	x.poll.inFlight, x.poll.wasRead = false, true
	if h.Version > 0 && h.Tenant == t {
		s.learn(now, h)
	} else {
		s.removeIfUnknown(t)
	}
	s.checkPlatformRead(now)
}
