package conn

import (
	"slices"
	"time"
)

// Kind is the type of an Action.
type Kind uint8

const (
	// Probe: ask the peer over a new connection which of the calls on Conns it is
	// executing; then call RecordStatus for each and ProbeDone.
	Probe Kind = iota
	// Close: close the idle connections Conns.
	Close
	// Fail: fail the calls on Conns as unknown with status.CodeConnectionLost, and
	// close these connections. The peer may have executed the calls.
	Fail
)

// String returns the kind as used in metrics and logs.
func (k Kind) String() string { return [...]string{"probe", "close", "fail"}[k] }

// Action is an operation that the node performs for a peer.
type Action struct {
	Kind  Kind
	Conns []ID
}

// CallStatus is the peer's statement about a call.
type CallStatus uint8

const (
	// CannotTell: the peer was reached but cannot tell.
	CannotTell CallStatus = iota
	// Executing: the peer is executing the call.
	Executing
	// NotExecuting: the call never arrived, or its response was sent.
	NotExecuting
)

// silenceState is the state of a silent call.
type silenceState struct {
	nextCheck     time.Duration // next check
	inProbe       bool          // included in the probe in progress
	missing       bool          // the peer isn't executing it
	confirmedAt   time.Duration // when the peer last confirmed that it is executing the call
	confirmations int           // consecutive confirmations
}

// probeState is the state of the probe in progress. A peer has at most one: a slow
// peer has many silent calls and must not get as many probes in addition.
type probeState struct {
	active    bool
	startedAt time.Duration
	started   bool // startedAt is set
}

// silenceTimeout returns how long a call may be silent before the peer is probed.
func (p *Peer) silenceTimeout() time.Duration {
	return min(max(p.firstByte.upperBound(), p.cfg.SilentMin), p.cfg.SilentMax)
}

func (p *Peer) scheduleCheck(c *conn, due time.Duration) {
	c.silence.nextCheck = due
	p.scheduleTick(due)
}

// Tick checks the connections and appends the operations that are due to acts.
func (p *Peer) Tick(now time.Duration, acts []Action) []Action {
	if now < p.next {
		return acts
	}
	p.next = never
	if p.probe.active && now-p.probe.startedAt >= p.cfg.ProbeTimeout {
		p.ProbeDone(now, false)
	}
	if p.probe.active {
		p.scheduleTick(p.probe.startedAt + p.cfg.ProbeTimeout)
	}
	if ids := p.closeExpired(now); len(ids) > 0 {
		acts = append(acts, Action{Close, ids})
	}
	if p.closeUnconfirmed {
		p.closeUnconfirmed = false
		if ids := p.closeInactiveSinceProbe(); len(ids) > 0 {
			acts = append(acts, Action{Close, ids})
		}
	}
	failed, ask := p.checkCalls(now)
	if len(failed) > 0 {
		acts = append(acts, Action{Fail, failed})
		if ids := p.handleDeadConnection(now); len(ids) > 0 {
			acts = append(acts, Action{Close, ids})
		}
		for _, id := range failed {
			delete(p.conns, id)
		}
	}
	if len(ask) > 0 {
		acts = append(acts, Action{Probe, p.startProbe(now, ask)})
	}
	return acts
}

// checkCalls returns the calls that are due: those that have failed and those to
// probe.
func (p *Peer) checkCalls(now time.Duration) (failed, ask []ID) {
	mayAsk := !p.probe.active && (!p.probe.started || now-p.probe.startedAt >= p.cfg.MinProbeInterval)
	for id, c := range p.conns {
		if !c.inUse {
			p.scheduleTick(c.lastActivity + p.idleTimeout())
			continue
		}
		w := &c.silence
		giveUp := max(c.lastActivity, w.confirmedAt) + p.cfg.GiveUp
		if now >= giveUp || (w.missing && now >= w.nextCheck) {
			failed = append(failed, id)
			continue
		}
		p.scheduleTick(giveUp)
		switch {
		case w.inProbe: // rescheduled when the probe ends
		case now < w.nextCheck:
			p.scheduleTick(w.nextCheck)
		case mayAsk:
			ask = append(ask, id)
		default:
			p.scheduleTick(now + p.cfg.MinProbeInterval)
		}
	}
	slices.Sort(failed)
	slices.Sort(ask)
	return failed, ask
}

// startProbe starts a probe for the calls that have been silent longest.
func (p *Peer) startProbe(now time.Duration, ids []ID) []ID {
	slices.SortStableFunc(ids, func(a, b ID) int { return int(p.conns[a].lastActivity - p.conns[b].lastActivity) })
	if len(ids) > p.cfg.MaxProbeCalls {
		ids = ids[:p.cfg.MaxProbeCalls]
		p.scheduleTick(now + p.cfg.MinProbeInterval)
	}
	for _, id := range ids {
		p.conns[id].silence.inProbe = true
	}
	p.probe = probeState{active: true, startedAt: now, started: true}
	p.scheduleTick(now + p.cfg.ProbeTimeout)
	return ids
}

// RecordStatus records the peer's statement about one call of a probe.
func (p *Peer) RecordStatus(now time.Duration, id ID, callStatus CallStatus) {
	c := p.conns[id]
	if c == nil || !c.inUse || !c.silence.inProbe {
		return // ended or active since
	}
	w := &c.silence
	w.inProbe = false
	switch callStatus {
	case Executing:
		// Slow, not dead. Probe again later, since the response may still be lost.
		w.confirmedAt = now
		w.confirmations++
		p.scheduleCheck(c, now+p.recheckDelay(w.confirmations))
	case NotExecuting:
		w.missing = true
		p.scheduleCheck(c, now+p.cfg.Grace)
	default:
		// The connection may be alive or dead. Until that is known, no other call
		// should risk an idle connection of the same age.
		p.closeUnconfirmed = true
		p.scheduleTick(now)
		p.scheduleCheck(c, now+p.silenceTimeout())
	}
}

func (p *Peer) recheckDelay(n int) time.Duration {
	d := p.silenceTimeout()
	for range n {
		if d >= p.cfg.MaxRecheckInterval {
			break
		}
		d *= 2
	}
	return min(d, p.cfg.MaxRecheckInterval)
}

// ProbeDone records the end of a probe; reached is false if no new connection to the
// peer worked either. Calls without a statement are probed again.
func (p *Peer) ProbeDone(now time.Duration, reached bool) {
	if !p.probe.active {
		return
	}
	p.probe.active = false
	again := p.silenceTimeout()
	if reached {
		again = p.cfg.MinProbeInterval
	}
	for _, c := range p.conns {
		if c.inUse && c.silence.inProbe {
			c.silence.inProbe = false
			p.scheduleCheck(c, now+again)
		}
	}
}

// closeExpired removes and returns connections that were idle for too long.
func (p *Peer) closeExpired(now time.Duration) []ID {
	n := 0
	for n < len(p.idle) && now-p.conns[p.idle[n]].lastActivity >= p.idleTimeout() {
		n++
	}
	return p.removeOldestIdle(n)
}

// handleDeadConnection removes and returns the idle connections without activity
// since the last probe began, and schedules an immediate probe of the calls on other
// such connections. The failed connection was dead when the probe began; the cause
// may have affected all connections open at that time. Later activity shows that a
// connection works.
func (p *Peer) handleDeadConnection(now time.Duration) []ID {
	since := p.probe.startedAt
	for _, c := range p.conns {
		if c.inUse && c.lastActivity <= since && !c.silence.missing && c.silence.confirmedAt <= since {
			p.scheduleCheck(c, min(c.silence.nextCheck, now))
		}
	}
	return p.closeInactiveSinceProbe()
}

// closeInactiveSinceProbe removes and returns the idle connections without activity
// since the last probe began.
func (p *Peer) closeInactiveSinceProbe() []ID {
	n := 0
	for n < len(p.idle) && p.conns[p.idle[n]].lastActivity <= p.probe.startedAt {
		n++
	}
	return p.removeOldestIdle(n)
}

func (p *Peer) removeOldestIdle(n int) []ID {
	if n == 0 {
		return nil
	}
	ids := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	for _, id := range ids {
		delete(p.conns, id)
	}
	return ids
}
