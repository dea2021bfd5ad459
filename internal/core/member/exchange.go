package member

import (
	"slices"
	"time"

	"peardrift/internal/core/budget"
	"peardrift/internal/core/request"
)

// tickLinks begins the exchanges that are due and ends links that fell silent.
// While much of the budget is saved up, nothing waits for the next heartbeat.
// After that only the urgent classes don't, until so much is left as keeps up the
// heartbeats; a busy minute of configuration would otherwise take all of it.
func (s *State) tickLinks(now time.Duration) {
	rich := s.rich()
	s.queue.rich = rich
	s.queue.riding = s.rider != nil && !s.budget.Allows(budget.Conn)
	var hasten uint32
	switch {
	case rich:
		hasten = s.queue.waiting(numClasses - 1)
	case s.budget.Allows(budget.Head):
		hasten = s.queue.pressing(classFact)
	case s.budget.Allows(budget.Drain):
		hasten = s.queue.pressing(classDrain)
	}
	drains := s.queue.pressing(classDrain)
	for _, l := range append([]*link(nil), s.order...) {
		mask := hasten
		if l.poor {
			mask &= drains
		}
		soon := mask&l.bit() != 0 || rich && !l.poor && (s.owes(l) || s.wants(now, l))
		s.tickLink(now, l, soon)
	}
}

func (s *State) tickLink(now time.Duration, l *link, soon bool) {
	const guestPeriods = 3
	if l.roles&roleGuest != 0 && now-l.lastIn > guestPeriods*s.cfg.RemotePeriod {
		s.dropRole(l, roleGuest)
	}
	if l.roles&roleExtra != 0 && now > l.until {
		s.dropRole(l, roleExtra)
	}
	if !l.outgoing() {
		return
	}
	if l.busy {
		s.guardLost(now, l)
		return
	}
	due := l.due
	if soon && !l.failing {
		due = min(due, l.lastOut+s.cfg.EagerGap)
	}
	if now >= due {
		s.begin(now, l)
	}
}

// guardLost fails an exchange whose outcome was never reported; otherwise a
// fault of the caller would silence the link for good.
func (s *State) guardLost(now time.Duration, l *link) {
	if now-l.lastOut > 4*s.cfg.CallTimeout {
		s.fail(now, l)
	}
}

func (s *State) begin(now time.Duration, l *link) {
	period := s.cfg.Period
	if !l.watched() {
		period = s.cfg.RemotePeriod
	}
	l.seq++
	l.busy = true
	l.lastOut = now
	l.due = now + period - period/10 + s.jitter(period/5)
	room := s.room()
	m := s.message(Heartbeat)
	m.Seq, m.Got = l.seq, l.got
	half := min(room/2, s.cfg.MaxItems)
	if l.poor {
		half = minRoom
	}
	l.sent = s.fill(now, m, l, half, s.rideAsk())
	m.Room = uint32(min(room-(m.Size()-headerSize), s.cfg.MaxItems))
	s.exchange(s.peer(l.peer), m, false)
}

func (s *State) exchange(to Peer, m *Message, once bool) {
	s.stats.Exchanges++
	s.actions = append(s.actions, Exchange{To: to, Msg: m, Timeout: s.cfg.CallTimeout, Once: once})
}

func (s *State) message(k Kind) *Message {
	return &Message{
		Kind: k, From: s.self.ID, Incarnation: s.inc, Status: s.stat, Body: s.body,
		Root: s.tab.root, Partial: s.join.partial(),
	}
}

// HandleRequest answers a message of another member. now must not lie before
// the last Tick. It returns nil for a message that makes no sense.
func (s *State) HandleRequest(now time.Duration, m *Message) *Message {
	if m == nil || m.From == 0 || m.From == s.self.ID {
		return nil
	}
	s.stats.Requests++
	s.budget.Refill(now)
	var l *link
	if m.Kind == Heartbeat {
		l = s.guest(now, m)
	} else {
		l = s.links[m.From]
	}
	if l != nil && m.Kind == Heartbeat {
		if m.Got != 0 && m.Got == l.inSeq {
			s.queue.confirm(l.bit(), l.replied)
		} else {
			s.queue.void(l.replied)
		}
		l.replied = nil
	}
	s.receive(now, m, l)
	r := s.message(m.Kind)
	r.Seq = m.Seq
	s.correct(m, r)
	switch m.Kind {
	case Join:
		s.answerJoin(m, r)
	case Pull:
		s.answerPull(m, r)
	case Ask:
		s.answerAsk(now, m, r)
	case Probe:
		if len(m.Records) > 0 {
			r.Records = append(r.Records, s.selfRecord())
		}
	case Heartbeat:
		s.answerHeartbeat(now, m, r, l)
	}
	return r
}

func (s *State) answerHeartbeat(now time.Duration, m, r *Message, l *link) {
	if l == nil {
		r.Full = true
		return
	}
	l.inSeq, l.lastIn = m.Seq, now
	room := minRoom
	if s.budget.Tokens() >= s.cfg.ExchangeCost {
		room = s.cfg.MaxItems
	}
	r.Room = uint32(room)
	l.replied = s.fill(now, r, l, min(room, int(min(m.Room, uint32(s.cfg.MaxItems)))), s.rideAnswer(m.Load))
}

// guest returns the link to a peer that sends heartbeats, opening one unless
// there are too many.
func (s *State) guest(now time.Duration, m *Message) *link {
	if l := s.links[m.From]; l != nil {
		l.roles |= roleGuest
		return l
	}
	e := s.tab.get(m.From)
	if e != nil && e.rec != nil && e.rec.Region != s.self.Region {
		n := 0
		for _, l := range s.order {
			if l.roles&roleGuest != 0 && s.regionOf(l.peer) != s.self.Region {
				n++
			}
		}
		if n >= s.cfg.MaxRemoteIn {
			return nil
		}
	}
	l := s.openLink(now, m.From, roleGuest)
	if l != nil {
		l.lastIn = now
	}
	return l
}

func (s *State) regionOf(id request.TargetID) string {
	if e := s.tab.get(id); e != nil && e.rec != nil {
		return e.rec.Region
	}
	return s.self.Region
}

// correct tells the sender first what it can't know otherwise: that it is held
// to be unreachable or gone.
func (s *State) correct(m, r *Message) {
	e := s.tab.get(m.From)
	if e != nil && e.status != Leaving && e.change().newer(m.Incarnation, Alive) {
		r.Changes = append(r.Changes, e.change())
	}
}

// HandleReply takes the reply to an Exchange.
func (s *State) HandleReply(now time.Duration, to Peer, m *Message) {
	if m == nil || m.From == 0 || m.From == s.self.ID {
		s.HandleFailure(now, to)
		return
	}
	s.budget.Refill(now)
	l := s.links[m.From]
	if l != nil && m.Kind == Heartbeat && l.busy && m.Seq == l.seq {
		l.busy = false
		l.got = m.Seq
		s.queue.confirm(l.bit(), l.sent)
		l.sent = nil
		l.hear(now)
		l.poor = m.Room <= minRoom
		if m.Full {
			s.refused(now, l)
		}
		s.rideTake(now, m.Load)
	}
	s.quiet = m.Kind == Join || m.Kind == Pull
	s.receive(now, m, l)
	s.quiet = false
	switch m.Kind {
	case Join:
		s.joined(now, to, m)
	case Pull:
		s.pulled(now, to, m)
	}
}

// HandleFailure notes that an Exchange got no answer in time.
func (s *State) HandleFailure(now time.Duration, to Peer) {
	s.stats.Failures++
	s.joinFailed(now, to)
	if l := s.links[to.ID]; l != nil && l.busy {
		s.fail(now, l)
	}
}

func (s *State) fail(now time.Duration, l *link) {
	l.busy = false
	l.failing = true
	s.queue.void(l.sent)
	l.sent = nil
	l.due = min(l.due, max(now, l.lastOut+s.cfg.RetryAfter))
}

// fill puts what waits for the link into a message, most urgent first, until
// room bytes are used, and returns the items that need an acknowledgement. What
// rides along comes after facts and before deaths and joins.
func (s *State) fill(now time.Duration, m *Message, l *link, room int, ride func(room int) []byte) []sentItem {
	var sent []sentItem
	room -= m.Size() - headerSize
	add := func(it *item) bool {
		n, ok := s.put(m, it, room)
		if ok {
			sent = append(sent, s.queue.send(it))
		}
		room -= n
		return n >= 0
	}
	more := s.queue.each(classDrain, classFact, l.bit(), add)
	m.Load = ride(max(room, minRide) - loadSize)
	room -= m.loadBytes()
	if more && room > 0 {
		s.queue.each(classDeath, numClasses-1, l.bit(), add)
	}
	s.stats.ItemsSent += uint64(len(sent))
	room = s.fillOwed(m, l, room)
	room = s.fillWants(now, m, l, room)
	s.fillSync(m, l, room)
	return sent
}

// put adds an item to a message. It returns the bytes used and whether the item
// was added or is out of date; the bytes are negative if it doesn't fit.
func (s *State) put(m *Message, it *item, room int) (bytes int, ok bool) {
	if it.key.fact {
		return s.putFact(m, it.key.id, room)
	}
	e := s.tab.get(request.TargetID(it.key.id))
	if e == nil {
		return 0, true
	}
	if it.class == classJoin && s.sendRecord(e) && e.rec.size() <= room {
		m.Records = append(m.Records, e.rec)
		return e.rec.size(), true
	}
	if n, done := s.putShort(m, it, e, room); done {
		return n, n >= 0
	}
	if changeSize > room {
		return -1, false
	}
	m.Changes = append(m.Changes, e.change())
	return changeSize, true
}

func (s *State) putFact(m *Message, id uint64, room int) (bytes int, ok bool) {
	f := s.tab.fact(id)
	if f == nil {
		return 0, true
	}
	n := factSize + len(f.Value)
	if n > room {
		return -1, false
	}
	m.Facts = append(m.Facts, *f)
	return n, true
}

// sendRecord reports whether the record of a new member is sent at once, which
// saves the receiver the asking. In a storm only the change is, since a record
// that the receiver has already got costs much.
func (s *State) sendRecord(e *entry) bool {
	return e.status == Alive && !e.lacks() && e.rec.Incarnation == e.inc && s.rich()
}

// rich reports whether much of the budget is saved up.
func (s *State) rich() bool { return s.budget.Allows(budget.Change) }

// fillOwed adds records that the peer asked for; those that aren't known yet
// stay owed, so that a record follows the news of it. One record goes into a
// message that is empty otherwise, or a node in debt would never send any.
func (s *State) fillOwed(m *Message, l *link, room int) int {
	var rest []request.TargetID
	for _, id := range l.owed {
		e := s.tab.get(id)
		switch {
		case e == nil || e.status == Dead:
		case e.lacks() || e.rec.size() > room && m.Size() > headerSize:
			rest = append(rest, id)
		default:
			m.Records = append(m.Records, e.rec)
			room -= e.rec.size()
		}
	}
	l.owed = rest
	return room
}

// owes reports whether a record that the peer asked for can be sent.
func (s *State) owes(l *link) bool {
	return slices.ContainsFunc(l.owed, func(id request.TargetID) bool {
		e := s.tab.get(id)
		return e != nil && !e.lacks()
	})
}
