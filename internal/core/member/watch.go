package member

import (
	"time"

	"peardrift/internal/core/request"
)

// extraFor is how long a member looks at a subject because another asked.
const extraFor = time.Minute

// watch looks for subjects that are silent, asks their other observers, and
// declares those unreachable that enough observers can't reach.
func (s *State) watch(now time.Duration) {
	patience := s.patience(now)
	for _, l := range append([]*link(nil), s.order...) {
		if !l.watched() {
			continue
		}
		silent := now-l.heard >= s.cfg.SuspectAfter
		if silent != l.suspect {
			s.setSuspect(l, silent)
		}
		if !silent {
			continue
		}
		if now-l.heard >= s.cfg.DeadAfter-s.askFor() && now-l.asked >= s.cfg.RetryAfter {
			l.asked = now
			s.ask(now, l)
		}
		if now-l.heard >= patience && s.agreed(now, l) {
			s.declare(now, l)
		}
	}
}

func (s *State) setSuspect(l *link, suspect bool) {
	l.suspect = suspect
	if suspect {
		s.stats.Suspicions++
	}
	s.touch(s.tab.get(l.peer))
}

// patience is how long a subject must be silent before this node condemns it.
// A node that hears from less than half of its subjects is likelier cut off
// itself; without the longer wait, a rack that loses its switch would condemn
// the rest of the region in its own view and spread that on healing.
func (s *State) patience(now time.Duration) time.Duration {
	subjects, silent := 0, 0
	for _, l := range s.order {
		if l.roles&roleSubject == 0 {
			continue
		}
		subjects++
		if now-l.heard >= s.cfg.SuspectAfter {
			silent++
		}
	}
	if silent > 1 && 2*silent > subjects {
		return s.cfg.DeadAfter * time.Duration(s.cfg.CutOffFactor)
	}
	return s.cfg.DeadAfter
}

// askFor is how long before a verdict the other observers are asked, one after
// another: long enough for each to be asked once.
func (s *State) askFor() time.Duration {
	return s.cfg.RetryAfter * time.Duration(s.cfg.Rings-1)
}

// ask asks the next of the other observers of a silent subject.
func (s *State) ask(now time.Duration, l *link) {
	e := s.tab.get(l.peer)
	if e == nil || e.rec == nil {
		return
	}
	if l.observers == nil || now-l.observed > s.cfg.SuspectAfter {
		l.observers, l.observed = s.neighbours(l.peer, e.rec.Region, true), now
	}
	for range l.observers {
		l.turn++
		id := l.observers[l.turn%len(l.observers)]
		if v, ok := l.votes[id]; id == s.self.ID || ok && now-v.at < s.askFor() {
			continue // an observer that asked has thereby answered
		}
		m := s.message(Ask)
		m.Doubts = []Doubt{s.doubt(now, e, l)}
		s.exchange(s.peer(id), m, true)
		return
	}
}

func (s *State) doubt(now time.Duration, e *entry, l *link) Doubt {
	return Doubt{
		Subject: e.id, Incarnation: e.inc,
		Silence: uint32((now - l.heard) / time.Millisecond),
	}
}

// answerAsk says what this node knows about the subjects asked about. It looks
// at those that it doesn't observe yet, so that an observer that the asker
// expects here exists.
func (s *State) answerAsk(now time.Duration, m, r *Message) {
	cutOff := s.patience(now) > s.cfg.DeadAfter
	for _, d := range m.Doubts {
		e := s.tab.get(d.Subject)
		if e == nil || e.rec == nil || d.Subject == s.self.ID {
			continue
		}
		if e.change().newer(d.Incarnation, Alive) {
			r.Changes = append(r.Changes, e.change())
		}
		if !e.status.live() || len(r.Doubts) >= maxDoubts {
			continue
		}
		l := s.links[d.Subject]
		if l == nil || !l.watched() {
			s.look(now, d.Subject)
			continue
		}
		if !cutOff || now-l.heard < s.cfg.SuspectAfter || now-l.heard >= s.patience(now) {
			r.Doubts = append(r.Doubts, s.doubt(now, e, l))
		}
	}
}

const maxDoubts = 32

func (s *State) look(now time.Duration, id request.TargetID) {
	n := 0
	for _, l := range s.order {
		if l.roles&roleExtra != 0 {
			n++
		}
	}
	if n >= s.cfg.Rings {
		return
	}
	if l := s.openLink(now, id, roleExtra); l != nil {
		l.until = now + extraFor
		l.due = now
	}
}

// takeDoubts notes what other observers say.
func (s *State) takeDoubts(now time.Duration, m *Message) {
	voter := s.tab.get(m.From)
	if len(m.Doubts) == 0 || voter == nil || !voter.present() {
		return
	}
	for _, d := range m.Doubts {
		l, e := s.links[d.Subject], s.tab.get(d.Subject)
		if l == nil || !l.watched() || e == nil || e.inc != d.Incarnation {
			continue
		}
		if l.votes == nil {
			l.votes = make(map[request.TargetID]vote, s.cfg.Rings)
		}
		l.votes[m.From] = vote{at: now, silence: time.Duration(d.Silence) * time.Millisecond}
	}
}

// agreed reports whether enough observers say that they have heard nothing from
// a subject for long enough, and none that it has heard from it lately.
func (s *State) agreed(now time.Duration, l *link) bool {
	votes, others := 1, 0
	for _, id := range l.observers {
		if id == s.self.ID {
			continue
		}
		others++
		v, ok := l.votes[id]
		switch {
		case !ok || now-v.at > s.askFor()+s.cfg.RetryAfter:
		case v.silence < s.cfg.SuspectAfter:
			return false
		case now-v.at+v.silence >= s.cfg.DeadAfter:
			votes++
		}
	}
	return votes >= min(s.cfg.Votes, 1+others)
}

// declare makes a subject unreachable, or gone if it was leaving.
func (s *State) declare(now time.Duration, l *link) {
	e := s.tab.get(l.peer)
	if e == nil || !e.status.live() {
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

// reprobe looks for unreachable members that are back. Each of them is probed
// by about Rings members per ReprobeEvery, however many members there are.
func (s *State) reprobe(now time.Duration) {
	if now < s.nextProbe {
		return
	}
	first := s.nextProbe == 0
	s.nextProbe = now + s.cfg.ReprobeEvery/2 + s.jitter(s.cfg.ReprobeEvery)
	if first || s.stat == Dead {
		return
	}
	lost := s.unreachable()
	if len(lost) == 0 {
		return
	}
	const maxProbes = 3
	live := max(len(s.tab.members)-len(s.lost), 1)
	want := float64(s.cfg.Rings*len(lost)) / float64(live)
	n := min(int(want+s.rng.Float64()), maxProbes)
	for range n {
		id := lost[s.rng.IntN(len(lost))]
		m := s.message(Probe)
		m.Changes = []Change{s.tab.get(id).change()}
		s.exchange(s.peer(id), m, true)
	}
}
