package member

import (
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// joinState follows the way into the fleet: first one peer lets the member in
// and names its neighbours, then the rest of the state is fetched in parts, each
// from another member, so that none of them exceeds its budget.
type joinState struct {
	seeds    []Peer
	services []request.Service // wanted first
	wanted   bool
	in       bool // some peer has let the member in, or there is none
	answered bool // some peer has answered
	tried    bool
	since    time.Duration // the first attempt
	fetching bool
	busy     bool
	source   Peer
	after    request.TargetID
	saved    request.TargetID // where to go on once the preferred services are here
	wrapped  bool             // the last member was passed; the first ones are left
	next     time.Duration    // no attempt before
	begun    time.Duration    // the last attempt
	misses   int              // attempts in a row that brought nothing

	again     bool          // what is fetched is the state once more, see tickRefresh
	refresh   time.Duration // not before
	refreshes int

	asked     int           // seeds of the list that were asked since it was gone through
	untried   bool          // seeds were added since the last look for strangers
	nextCheck time.Duration // no look for strangers before
	checkWait time.Duration // and this long after the next one
}

func (j *joinState) partial() bool { return j.wanted && (!j.in || j.fetching && !j.again) }

// active reports whether something is to be asked for.
func (j *joinState) active() bool { return j.partial() || j.again }

// end ends the fetch of the state.
func (j *joinState) end() { j.fetching, j.again = false, false }

// maxJoin is the factor by which the reply to Join may exceed MaxItems.
const maxJoin = 4

// Join makes the member join through any of the seeds; it goes on trying. The
// records of the given services are fetched before others. Without seeds the
// member is the first one, as it is if none of them answers for
// Config.AloneAfter; it then goes on looking for them now and then. Calling it
// again adds seeds.
func (s *State) Join(seeds []Peer, services []request.Service) {
	j := &s.join
	for _, p := range seeds {
		s.addSeed(p)
	}
	j.wanted = len(j.seeds) > 0
	if j.in {
		s.Prefer(services)
		return
	}
	j.services = services
}

const maxSeeds = 64

func (s *State) addSeed(p Peer) {
	j := &s.join
	known := slices.ContainsFunc(j.seeds, func(q Peer) bool { return q.Control == p.Control })
	if !known && p.Control != "" && p.Control != s.self.Control && len(j.seeds) < maxSeeds {
		j.seeds = append(j.seeds, p)
		j.untried = true
	}
}

// tickSeeds looks for seeds that aren't known members: soon after they were
// named, then at pauses that double up to Config.ReprobeEvery.
//
// Members that start together, or while they can't reach each other, become
// groups that have joined but don't know of each other, and take themselves for
// the whole fleet. One notices it by calls that are refused for want of targets
// which are up. Nothing else would bring them together, as nobody has a link to
// the other side; seeds are the one thing that both sides share.
func (s *State) tickSeeds(now time.Duration) {
	j := &s.join
	if len(j.seeds) == 0 || j.partial() || s.stat == Dead {
		return
	}
	if j.untried {
		j.untried, j.checkWait = false, s.cfg.JoinRetry
		j.nextCheck = now + s.jitter(j.checkWait)
	}
	if now < j.nextCheck {
		return
	}
	j.nextCheck = now + j.checkWait/2 + s.jitter(j.checkWait)
	j.checkWait = min(2*j.checkWait, s.cfg.ReprobeEvery)
	if strangers := s.strangers(); len(strangers) > 0 {
		m := s.message(Probe)
		m.Records = []*Record{s.selfRecord()}
		s.exchange(strangers[s.rng.IntN(len(strangers))], m, true)
	}
}

// strangers returns the seeds that are not known members.
func (s *State) strangers() []Peer {
	present := make(map[string]bool, len(s.join.seeds))
	for _, p := range s.join.seeds {
		present[p.Control] = false
	}
	for i := range s.tab.members {
		e := &s.tab.members[i]
		if !e.present() {
			continue
		}
		if _, ok := present[e.rec.Control]; ok {
			present[e.rec.Control] = true
		}
	}
	var out []Peer
	for _, p := range s.join.seeds {
		if !present[p.Control] {
			out = append(out, p)
		}
	}
	return out
}

// Joined reports whether some peer has let the member in, or none was needed.
func (s *State) Joined() bool { return !s.join.wanted || s.join.in }

// Prefer fetches the records of some services next. It does nothing once the
// state is complete.
func (s *State) Prefer(services []request.Service) {
	j := &s.join
	if !j.fetching || len(services) == 0 {
		return
	}
	if len(j.services) == 0 {
		j.saved = j.after
	}
	j.services, j.after = services, 0
}

// Complete reports whether the whole state has arrived.
func (s *State) Complete() bool { return !s.join.partial() }

func (s *State) tickJoin(now time.Duration) {
	j := &s.join
	if j.busy && now-j.begun > 4*s.cfg.CallTimeout {
		s.joinFailed(now, j.source) // its outcome was never reported
	}
	if !j.active() || j.busy || now < j.next || s.stat == Dead {
		return
	}
	if !j.tried {
		j.tried, j.since = true, now
	}
	if !j.in && !j.answered && now-j.since >= s.cfg.AloneAfter {
		j.in = true
		return
	}
	if !j.in && !j.again {
		j.busy, j.begun = true, now
		j.source = s.seed()
		m := s.message(Join)
		m.Records = []*Record{s.selfRecord()}
		m.Services = j.services
		s.exchange(j.source, m, true)
		return
	}
	j.busy, j.begun = true, now
	j.source = s.anyPeer()
	m := s.message(Pull)
	m.After, m.Services = j.after, j.services
	m.Room = uint32(maxJoin * s.cfg.MaxItems)
	s.exchange(j.source, m, true)
}

// seed returns whom to join through: a seed or, now and then, a member that has
// found this one by itself. All seeds may be gone for good.
func (s *State) seed() Peer {
	if len(s.order) > 0 && s.rng.IntN(2) == 0 {
		if p := s.anyPeer(); p.Control != "" {
			return p
		}
	}
	j := &s.join
	if j.asked >= len(j.seeds) {
		j.asked = 0
	}
	// Each seed once before any is asked again: some are of instances that have
	// gone, and drawn anew each time these would be asked as often as the others.
	i := j.asked + s.rng.IntN(len(j.seeds)-j.asked)
	j.seeds[j.asked], j.seeds[i] = j.seeds[i], j.seeds[j.asked]
	j.asked++
	return j.seeds[j.asked-1]
}

// anyPeer returns a member drawn at random, or the last source if none is known.
func (s *State) anyPeer() Peer {
	const tries = 8
	for range tries {
		e := &s.tab.members[s.rng.IntN(len(s.tab.members))]
		if e.present() && e.id != s.self.ID && !s.unreachableGroup(e.rec.Region) {
			return s.peer(e.id)
		}
	}
	return s.join.source
}

// answerJoin lets a member in. A small fleet goes into the reply as a whole; of a
// large one the reply holds the joiner's neighbours and as many as fit of the
// services that it wants first. A member that hasn't joined itself answers too,
// or members that all start at once would wait for each other for good.
func (s *State) answerJoin(m, r *Message) {
	if len(m.Records) == 0 || m.Records[0] == nil || m.Records[0].ID != m.From {
		r.Full = true
		return
	}
	if s.join.fetching && !s.join.again || s.budget.Tokens() < 0 && !s.young(s.lastTick) {
		s.redirect(r)
		return
	}
	room := max(s.cfg.MaxItems, min(s.budget.Tokens(), maxJoin*s.cfg.MaxItems))
	for i := range s.tab.facts {
		f := &s.tab.facts[i].fact
		if f.Kind == ConfigHead && room > 0 {
			r.Facts = append(r.Facts, *f)
			room -= factSize + len(f.Value)
		}
	}
	if s.addAll(r, room) {
		return
	}
	r.More = true
	s.addNear(m, r, room)
}

// redirect names a few other members to a joiner that this one can't serve now,
// so that joiners with the same seed don't all wait for it.
func (s *State) redirect(r *Message) {
	const names = 3
	r.Full = true
	for range names {
		e := &s.tab.members[s.rng.IntN(len(s.tab.members))]
		if e.present() && e.id != s.self.ID {
			r.Records = append(r.Records, e.rec)
		}
	}
}

// addAll adds all members if they fit.
func (s *State) addAll(r *Message, room int) bool {
	if len(s.tab.members) > room/recordSize {
		return false
	}
	whole := &Message{}
	for i := range s.tab.members {
		room -= whole.addEntry(&s.tab.members[i])
	}
	if room < 0 {
		return false
	}
	r.Records, r.Changes = append(r.Records, whole.Records...), append(r.Changes, whole.Changes...)
	return true
}

func (s *State) addNear(m, r *Message, room int) {
	region := m.Records[0].Region
	near := append(s.neighbours(m.From, region, false), s.neighbours(m.From, region, true)...)
	for _, g := range s.otherGroups() {
		near = append(near, s.remote(m.From, g, func(request.TargetID) bool { return false }))
	}
	near = append(near, s.self.ID)
	for _, id := range near {
		room -= r.addEntry(s.tab.get(id))
	}
	for i := range s.tab.members {
		e := &s.tab.members[i]
		if room > 0 && e.rec != nil && e.id != m.From && slices.Contains(m.Services, e.rec.Service) {
			room -= r.addEntry(e)
		}
	}
}

// addEntry adds what is known about a member and returns the bytes used.
func (m *Message) addEntry(e *entry) int {
	if e == nil || e.rec == nil {
		return 0
	}
	n := e.rec.size()
	m.Records = append(m.Records, e.rec)
	if e.status != Alive || e.inc != e.rec.Incarnation {
		m.Changes = append(m.Changes, e.change())
		n += changeSize
	}
	return n
}

func (s *State) joined(now time.Duration, to Peer, m *Message) {
	j := &s.join
	if !j.busy || j.in {
		return
	}
	j.busy, j.answered = false, true
	if m.Full {
		j.next = now + s.cfg.JoinRetry/2 + s.jitter(s.cfg.JoinRetry)
		for _, r := range m.Records {
			if validRecord(r) {
				s.addSeed(Peer{Control: r.Control})
			}
		}
		return
	}
	// The state is fetched from the own identity on and round, so that members
	// that join together don't all come to know, and ask, the same ones first.
	j.saved = s.self.ID
	if len(j.services) == 0 {
		j.after = j.saved
	}
	j.in, j.fetching = true, m.More
	j.source = Peer{ID: m.From, Control: to.Control}
	s.overlay.dirty = true
	s.queue.put(memberKey(s.self.ID), classJoin, s.allLinks(), 0)
}

// young reports whether the member has started a short time ago.
func (s *State) young(now time.Duration) bool { return now < s.started+s.cfg.CatchUp }

const (
	// refreshEvery is the time between two fetches of the whole state by a member
	// that has just started.
	refreshEvery = 600 * time.Millisecond
	// leastRefreshes is how often it is fetched before the heartbeats have told
	// whether neighbours differ.
	leastRefreshes = 3
	// maxRefreshed is the number of members up to which the whole state is fetched
	// again. Raising it lets larger fleets that start at once meet sooner.
	maxRefreshed = 512
)

// tickRefresh fetches the whole state once more while a member that has just started
// differs from its neighbours. Members that start together join through some that
// know of few others yet. Their records, told one by one on many links, would cost
// several times as much as packed together.
func (s *State) tickRefresh(now time.Duration) {
	j := &s.join
	if !s.Joined() || j.fetching || now < j.refresh || !s.young(now) ||
		len(s.tab.members) < 2 || len(s.tab.members) > maxRefreshed ||
		j.refreshes >= leastRefreshes && !s.differs() {
		return
	}
	j.refreshes++
	j.refresh = now + refreshEvery/2 + s.jitter(refreshEvery)
	j.again, j.fetching, j.wrapped = true, true, false
	j.services, j.after = nil, s.self.ID
	j.next = now
}

// differs reports whether a neighbour knows of other members.
func (s *State) differs() bool {
	return slices.ContainsFunc(s.order, func(l *link) bool { return l.mismatch > 0 })
}

// answerPull sends the next part of the state. A part of the budget is left for
// news, so that members that join don't hold it up; of a member that has just
// started itself, the whole fleet may have.
func (s *State) answerPull(m, r *Message) {
	r.More, r.Next = true, m.After
	if s.join.partial() {
		r.Full = true
		return
	}
	room := int(min(m.Room, maxJoin*uint32(s.cfg.MaxItems)))
	if !s.young(s.lastTick) {
		room = min(room, s.budget.Tokens()-s.budget.Limit()/4)
	}
	i, ok := s.tab.index(m.After)
	if ok {
		i++
	}
	if room < minPull {
		return
	}
	if i = s.packPart(m, r, i, room); i >= len(s.tab.members) {
		r.More = false
	} else if i > 0 {
		r.Next = s.tab.members[i-1].id
	}
}

// minPull is the least room, in bytes, that is worth an answer to Pull.
const minPull = 300

// wantsEntry reports whether a Pull asks for a member.
func (m *Message) wantsEntry(e *entry) bool {
	return e.rec != nil && (len(m.Services) == 0 || slices.Contains(m.Services, e.rec.Service))
}

func (s *State) pulled(now time.Duration, to Peer, m *Message) {
	j := &s.join
	if !j.busy || !j.fetching {
		return
	}
	j.busy = false
	took := float64(m.Size()+s.cfg.ExchangeCost) / float64(s.cfg.JoinRate)
	j.next = j.begun + time.Duration(took*float64(time.Second))
	switch {
	case j.again && m.Full:
		j.end()
	case m.Full, m.More && m.Next <= j.after:
		j.backOff(now, s)
		return
	case m.More && !(j.wrapped && len(j.services) == 0 && m.Next >= s.self.ID):
		j.after = m.Next
	case len(j.services) > 0:
		j.services, j.after = nil, j.saved
	case !j.wrapped:
		j.wrapped, j.after = true, 0
	default:
		j.end()
	}
	j.misses = 0
}

// backOff waits longer each time that a peer had nothing to spare. When a whole
// zone joins at once, all are short of budget, and asking them costs more of it.
func (j *joinState) backOff(now time.Duration, s *State) {
	const doublings = 4
	wait := s.cfg.TickEvery << min(j.misses, doublings)
	j.misses++
	j.next = now + wait/2 + s.jitter(wait)
}

// joinFailed turns to another peer; what has arrived is kept.
func (s *State) joinFailed(now time.Duration, to Peer) {
	j := &s.join
	if !j.active() || to.Control != j.source.Control {
		return
	}
	j.busy = false
	if j.again {
		j.end()
		return
	}
	j.next = now + s.cfg.JoinRetry/2 + s.jitter(s.cfg.JoinRetry)
}
