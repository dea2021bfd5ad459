package member

import (
	"time"

	"peardrift/internal/core/request"
)

// extraObservation is how long a member observes a subject at another's
// request.
const extraObservation = time.Minute

// checkSubjects detects silent subjects, queries their other observers, and
// declares those unreachable that enough observers cannot reach.
func (s *State) checkSubjects(now time.Duration) {
	timeout := s.deathTimeout(now)
	for _, l := range append([]*link(nil), s.linkOrder...) {
		if !l.isObserved() {
			continue
		}
		silent := now-l.lastHeard >= s.cfg.SuspectAfter
		if silent != l.suspect {
			s.setSuspect(l, silent)
		}
		if !silent {
			continue
		}
		if now-l.lastHeard >= s.cfg.DeadAfter-s.queryWindow() && now-l.lastAsked >= s.cfg.RetryInterval {
			l.lastAsked = now
			s.queryObserver(now, l)
		}
		if now-l.lastHeard >= timeout && s.hasDeathQuorum(now, l) {
			s.declareUnreachable(now, l)
		}
	}
}

func (s *State) setSuspect(l *link, suspect bool) {
	l.suspect = suspect
	if suspect {
		s.stats.Suspicions++
	}
	s.markServiceChanged(s.tab.get(l.peer))
}

// deathTimeout is how long a subject must be silent before this node declares
// it unreachable. A node that hears from less than half of its subjects is more
// likely isolated itself; without the longer timeout, a rack that loses its
// switch would declare the rest of the region unreachable in its own view and
// gossip that after recovery.
func (s *State) deathTimeout(now time.Duration) time.Duration {
	subjects, silent := 0, 0
	for _, l := range s.linkOrder {
		if l.roles&roleSubject == 0 {
			continue
		}
		subjects++
		if now-l.lastHeard >= s.cfg.SuspectAfter {
			silent++
		}
	}
	if silent > 1 && 2*silent > subjects {
		return s.cfg.DeadAfter * time.Duration(s.cfg.IsolationFactor)
	}
	return s.cfg.DeadAfter
}

// queryWindow is how long before a verdict the other observers are queried, one
// after another: long enough to query each once.
func (s *State) queryWindow() time.Duration {
	return s.cfg.RetryInterval * time.Duration(s.cfg.Rings-1)
}

// queryObserver queries the next of the other observers of a silent subject.
func (s *State) queryObserver(now time.Duration, l *link) {
	e := s.tab.get(l.peer)
	if e == nil || e.rec == nil {
		return
	}
	if l.observers == nil || now-l.observersAt > s.cfg.SuspectAfter {
		l.observers, l.observersAt = s.neighbours(l.peer, e.rec.Region, true), now
	}
	for range l.observers {
		l.observerIndex++
		id := l.observers[l.observerIndex%len(l.observers)]
		if v, ok := l.votes[id]; id == s.self.ID || ok && now-v.at < s.queryWindow() {
			continue // an observer that sent a query has thereby answered
		}
		m := s.newMessage(QueryObserver)
		m.SilenceReports = []SilenceReport{s.silenceReport(now, e, l)}
		s.queueExchange(s.peer(id), m, true)
		return
	}
}

func (s *State) silenceReport(now time.Duration, e *entry, l *link) SilenceReport {
	return SilenceReport{
		Subject: e.id, Incarnation: e.inc,
		Silence: uint32((now - l.lastHeard) / time.Millisecond),
	}
}

// answerQuery reports what this node knows about the queried subjects. It starts
// to observe those that it does not observe yet, so that the observer expected
// by the sender exists.
func (s *State) answerQuery(now time.Duration, m, r *Message) {
	cutOff := s.deathTimeout(now) > s.cfg.DeadAfter
	for _, d := range m.SilenceReports {
		e := s.tab.get(d.Subject)
		if e == nil || e.rec == nil || d.Subject == s.self.ID {
			continue
		}
		if e.change().supersedes(d.Incarnation, Alive) {
			r.Changes = append(r.Changes, e.change())
		}
		if !e.status.isLive() || len(r.SilenceReports) >= maxSilenceReports {
			continue
		}
		l := s.links[d.Subject]
		if l == nil || !l.isObserved() {
			s.observeExtra(now, d.Subject)
			continue
		}
		if !cutOff || now-l.lastHeard < s.cfg.SuspectAfter || now-l.lastHeard >= s.deathTimeout(now) {
			r.SilenceReports = append(r.SilenceReports, s.silenceReport(now, e, l))
		}
	}
}

const maxSilenceReports = 32

func (s *State) observeExtra(now time.Duration, id request.TargetID) {
	n := 0
	for _, l := range s.linkOrder {
		if l.roles&roleExtra != 0 {
			n++
		}
	}
	if n >= s.cfg.Rings {
		return
	}
	if l := s.openLink(now, id, roleExtra); l != nil {
		l.extraUntil = now + extraObservation
		l.nextDue = now
	}
}

// recordVotes records the reports of other observers.
func (s *State) recordVotes(now time.Duration, m *Message) {
	voter := s.tab.get(m.From)
	if len(m.SilenceReports) == 0 || voter == nil || !voter.isPresent() {
		return
	}
	for _, d := range m.SilenceReports {
		l, e := s.links[d.Subject], s.tab.get(d.Subject)
		if l == nil || !l.isObserved() || e == nil || e.inc != d.Incarnation {
			continue
		}
		if l.votes == nil {
			l.votes = make(map[request.TargetID]vote, s.cfg.Rings)
		}
		l.votes[m.From] = vote{at: now, silence: time.Duration(d.Silence) * time.Millisecond}
	}
}

// hasDeathQuorum reports whether enough observers have heard nothing from a
// subject for long enough, and none has heard from it recently.
func (s *State) hasDeathQuorum(now time.Duration, l *link) bool {
	votes, others := 1, 0
	for _, id := range l.observers {
		if id == s.self.ID {
			continue
		}
		others++
		v, ok := l.votes[id]
		switch {
		case !ok || now-v.at > s.queryWindow()+s.cfg.RetryInterval:
		case v.silence < s.cfg.SuspectAfter:
			return false
		case now-v.at+v.silence >= s.cfg.DeadAfter:
			votes++
		}
	}
	return votes >= min(s.cfg.DeathQuorum, 1+others)
}

// declareUnreachable marks a subject unreachable, or dead if it was leaving.
func (s *State) declareUnreachable(now time.Duration, l *link) {
	e := s.tab.get(l.peer)
	if e == nil || !e.status.isLive() {
		return
	}
	s.stats.Deaths++
	c := e.change()
	c.Status = Unreachable
	if e.status == Leaving {
		c.Status = Dead
	}
	s.applyChange(now, c, 0)
}

// probeUnreachable checks whether unreachable members have recovered. Each of
// them is probed by about Rings members per ProbeInterval, whatever the size of
// the fleet.
func (s *State) probeUnreachable(now time.Duration) {
	if now < s.nextProbe {
		return
	}
	first := s.nextProbe == 0
	s.nextProbe = now + s.cfg.ProbeInterval/2 + s.jitter(s.cfg.ProbeInterval)
	if first || s.status == Dead {
		return
	}
	unreachable := s.unreachableMembers()
	if len(unreachable) == 0 {
		return
	}
	const maxProbes = 3
	liveCount := max(len(s.tab.members)-len(s.notLiveSince), 1)
	expected := float64(s.cfg.Rings*len(unreachable)) / float64(liveCount)
	n := min(int(expected+s.rng.Float64()), maxProbes)
	for range n {
		id := unreachable[s.rng.IntN(len(unreachable))]
		m := s.newMessage(Probe)
		m.Changes = []Change{s.tab.get(id).change()}
		s.queueExchange(s.peer(id), m, true)
	}
}
