package member

import (
	"slices"
	"time"

	"peardrift/internal/core/budget"
	"peardrift/internal/core/request"
)

// tickLinks starts the exchanges that are due and closes links that became
// idle. While much of the budget is unspent, pending items are sent without
// waiting for the next heartbeat. Below that level only the urgent classes are,
// until the rest is just enough for the heartbeats; otherwise a minute with
// many configuration changes would use up the whole budget.
func (s *State) tickLinks(now time.Duration) {
	ample := s.hasAmpleBudget()
	s.queue.ampleBudget = ample
	s.queue.piggybacking = s.piggybackHandler != nil && !s.budget.Allows(budget.SeparateConn)
	var urgent uint32
	switch {
	case ample:
		urgent = s.queue.pendingLinks(numClasses - 1)
	case s.budget.Allows(budget.Head):
		urgent = s.queue.urgentLinks(classFact)
	case s.budget.Allows(budget.Drain):
		urgent = s.queue.urgentLinks(classDrain)
	}
	drains := s.queue.urgentLinks(classDrain)
	for _, l := range append([]*link(nil), s.linkOrder...) {
		mask := urgent
		if l.lowBudget {
			mask &= drains
		}
		expedite := mask&l.bit() != 0 || ample && !l.lowBudget && (s.hasRequestedRecord(l) || s.canRequestRecord(now, l))
		s.tickLink(now, l, expedite)
	}
}

func (s *State) tickLink(now time.Duration, l *link, expedite bool) {
	const inboundPeriods = 3
	if l.roles&roleInbound != 0 && now-l.lastIn > inboundPeriods*s.cfg.RemotePeriod {
		s.dropRole(l, roleInbound)
	}
	if l.roles&roleExtra != 0 && now > l.extraUntil {
		s.dropRole(l, roleExtra)
	}
	if !l.isOutgoing() {
		return
	}
	if l.inFlight {
		s.failUnreported(now, l)
		return
	}
	due := l.nextDue
	if expedite && !l.failing {
		due = min(due, l.lastOut+s.cfg.UrgentInterval)
	}
	if now >= due {
		s.startExchange(now, l)
	}
}

// failUnreported fails an exchange whose outcome the caller never reported;
// otherwise the link would stay blocked for good.
func (s *State) failUnreported(now time.Duration, l *link) {
	if now-l.lastOut > 4*s.cfg.ExchangeTimeout {
		s.failExchange(now, l)
	}
}

func (s *State) startExchange(now time.Duration, l *link) {
	period := s.cfg.Period
	if !l.isObserved() {
		period = s.cfg.RemotePeriod
	}
	l.seq++
	l.inFlight = true
	l.lastOut = now
	l.nextDue = now + period - period/10 + s.jitter(period/5)
	room := s.itemBudget()
	m := s.newMessage(Heartbeat)
	m.Seq, m.AckedSeq = l.seq, l.ackedSeq
	half := min(room/2, s.cfg.MaxItemBytes)
	if l.lowBudget {
		half = minItemBudget
	}
	l.sent = s.fillMessage(now, m, l, half, s.piggybackRequest())
	m.ReplyItemBytes = uint32(min(room-(m.Size()-headerSize), s.cfg.MaxItemBytes))
	s.queueExchange(s.peer(l.peer), m, false)
}

func (s *State) queueExchange(to Peer, m *Message, once bool) {
	s.stats.Exchanges++
	s.actions = append(s.actions, Exchange{To: to, Msg: m, Timeout: s.cfg.ExchangeTimeout, Once: once})
}

func (s *State) newMessage(k Kind) *Message {
	return &Message{
		Kind: k, From: s.self.ID, Incarnation: s.inc, Status: s.status, BodyDigest: s.body,
		StateDigest: s.tab.root, Partial: s.join.isPartial(),
	}
}

// HandleRequest handles a message of another member and returns the reply. now
// must not be before the last Tick. It returns nil for an invalid message.
func (s *State) HandleRequest(now time.Duration, m *Message) *Message {
	if m == nil || m.From == 0 || m.From == s.self.ID {
		return nil
	}
	s.stats.Requests++
	s.budget.Refill(now)
	var l *link
	if m.Kind == Heartbeat {
		l = s.inboundLink(now, m)
	} else {
		l = s.links[m.From]
	}
	if l != nil && m.Kind == Heartbeat {
		if m.AckedSeq != 0 && m.AckedSeq == l.peerSeq {
			s.queue.ack(l.bit(), l.sentInReply)
		} else {
			s.queue.releaseInFlight(l.sentInReply)
		}
		l.sentInReply = nil
	}
	s.receive(now, m, l)
	r := s.newMessage(m.Kind)
	r.Seq = m.Seq
	s.correctSender(m, r)
	switch m.Kind {
	case Join:
		s.answerJoin(m, r)
	case Pull:
		s.answerPull(m, r)
	case QueryObserver:
		s.answerQuery(now, m, r)
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
		r.Rejected = true
		return
	}
	l.peerSeq, l.lastIn = m.Seq, now
	room := minItemBudget
	if s.budget.Tokens() >= s.cfg.ExchangeCost {
		room = s.cfg.MaxItemBytes
	}
	r.ReplyItemBytes = uint32(room)
	l.sentInReply = s.fillMessage(now, r, l, min(room, int(min(m.ReplyItemBytes, uint32(s.cfg.MaxItemBytes)))), s.piggybackReply(m.Piggyback))
}

// inboundLink returns the link to a peer that sends heartbeats. It opens one
// unless there are too many.
func (s *State) inboundLink(now time.Duration, m *Message) *link {
	if l := s.links[m.From]; l != nil {
		l.roles |= roleInbound
		return l
	}
	e := s.tab.get(m.From)
	if e != nil && e.rec != nil && e.rec.Region != s.self.Region {
		n := 0
		for _, l := range s.linkOrder {
			if l.roles&roleInbound != 0 && s.regionOf(l.peer) != s.self.Region {
				n++
			}
		}
		if n >= s.cfg.MaxRemoteInbound {
			return nil
		}
	}
	l := s.openLink(now, m.From, roleInbound)
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

// correctSender tells the sender first that this node holds it to be
// unreachable or dead, which the sender cannot learn otherwise.
func (s *State) correctSender(m, r *Message) {
	e := s.tab.get(m.From)
	if e != nil && e.status != Leaving && e.change().supersedes(m.Incarnation, Alive) {
		r.Changes = append(r.Changes, e.change())
	}
}

// HandleReply processes the reply to an Exchange.
func (s *State) HandleReply(now time.Duration, to Peer, m *Message) {
	if m == nil || m.From == 0 || m.From == s.self.ID {
		s.HandleFailure(now, to)
		return
	}
	s.budget.Refill(now)
	l := s.links[m.From]
	if l != nil && m.Kind == Heartbeat && l.inFlight && m.Seq == l.seq {
		l.inFlight = false
		l.ackedSeq = m.Seq
		s.queue.ack(l.bit(), l.sent)
		l.sent = nil
		l.markHeard(now)
		l.lowBudget = m.ReplyItemBytes <= minItemBudget
		if m.Rejected {
			s.handleLinkRejected(now, l)
		}
		s.handlePiggybackReply(now, m.Piggyback)
	}
	s.suppressRelay = m.Kind == Join || m.Kind == Pull
	s.receive(now, m, l)
	s.suppressRelay = false
	switch m.Kind {
	case Join:
		s.handleJoinReply(now, to, m)
	case Pull:
		s.handlePullReply(now, to, m)
	}
}

// HandleFailure reports that an Exchange had no reply in time.
func (s *State) HandleFailure(now time.Duration, to Peer) {
	s.stats.Failures++
	s.handleJoinFailure(now, to)
	if l := s.links[to.ID]; l != nil && l.inFlight {
		s.failExchange(now, l)
	}
}

func (s *State) failExchange(now time.Duration, l *link) {
	l.inFlight = false
	l.failing = true
	s.queue.releaseInFlight(l.sent)
	l.sent = nil
	l.nextDue = min(l.nextDue, max(now, l.lastOut+s.cfg.RetryInterval))
}

// fillMessage adds the items pending for the link to a message, most urgent
// first, up to room bytes, and returns the items that need an acknowledgement.
// The piggybacked payload comes after facts and before deaths and joins.
func (s *State) fillMessage(now time.Duration, m *Message, l *link, room int, piggyback func(room int) []byte) []sentItem {
	var sent []sentItem
	room -= m.Size() - headerSize
	add := func(it *item) bool {
		n, ok := s.addItem(m, it, room)
		if ok {
			sent = append(sent, s.queue.markSent(it))
		}
		room -= n
		return n >= 0
	}
	more := s.queue.each(classDrain, classFact, l.bit(), add)
	m.Piggyback = piggyback(max(room, minPiggyback) - piggybackHeaderSize)
	room -= m.piggybackBytes()
	if more && room > 0 {
		s.queue.each(classDeath, numClasses-1, l.bit(), add)
	}
	s.stats.ItemsSent += uint64(len(sent))
	room = s.fillRequested(m, l, room)
	room = s.fillWants(now, m, l, room)
	s.fillSync(m, l, room)
	return sent
}

// addItem adds an item to a message. It returns the bytes used and whether the
// item was added or is obsolete; bytes is negative if the item does not fit.
func (s *State) addItem(m *Message, it *item, room int) (bytes int, ok bool) {
	if it.key.fact {
		return s.addFact(m, it.key.id, room)
	}
	e := s.tab.get(request.TargetID(it.key.id))
	if e == nil {
		return 0, true
	}
	if it.class == classJoin && s.shouldSendRecord(e) && e.rec.size() <= room {
		m.Records = append(m.Records, e.rec)
		return e.rec.size(), true
	}
	if n, done := s.addShort(m, it, e, room); done {
		return n, n >= 0
	}
	if changeSize > room {
		return -1, false
	}
	m.Changes = append(m.Changes, e.change())
	return changeSize, true
}

func (s *State) addFact(m *Message, id uint64, room int) (bytes int, ok bool) {
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

// shouldSendRecord reports whether the record of a new member is sent with the
// change, which saves the receiver a request. When the budget is short only the
// change is sent, because a record that the receiver already has is expensive.
func (s *State) shouldSendRecord(e *entry) bool {
	return e.status == Alive && !e.needsRecord() && e.rec.Incarnation == e.inc && s.hasAmpleBudget()
}

// hasAmpleBudget reports whether much of the budget is unspent.
func (s *State) hasAmpleBudget() bool { return s.budget.Allows(budget.MemberChange) }

// fillRequested adds the records that the peer requested. Those not known yet
// stay requested, so that a record follows its change. An otherwise empty
// message takes one record of any size; otherwise a node that has overspent its
// budget would never send any.
func (s *State) fillRequested(m *Message, l *link, room int) int {
	var rest []request.TargetID
	for _, id := range l.requested {
		e := s.tab.get(id)
		switch {
		case e == nil || e.status == Dead:
		case e.needsRecord() || e.rec.size() > room && m.Size() > headerSize:
			rest = append(rest, id)
		default:
			m.Records = append(m.Records, e.rec)
			room -= e.rec.size()
		}
	}
	l.requested = rest
	return room
}

// hasRequestedRecord reports whether a record that the peer requested can be
// sent.
func (s *State) hasRequestedRecord(l *link) bool {
	return slices.ContainsFunc(l.requested, func(id request.TargetID) bool {
		e := s.tab.get(id)
		return e != nil && !e.needsRecord()
	})
}
