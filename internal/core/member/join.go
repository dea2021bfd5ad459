package member

import (
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// joinState tracks the join: one peer first admits the member and names its
// neighbours, then the rest of the state is fetched in parts, each from a
// random member, so that none of them exceeds its budget.
type joinState struct {
	seeds        []Peer
	services     []request.Service // fetched first
	hasSeeds     bool
	admitted     bool // a peer has admitted the member, or there is none
	gotReply     bool // a peer has replied
	attempted    bool
	firstAttempt time.Duration // time of the first attempt
	fetching     bool
	inFlight     bool
	source       Peer
	after        request.TargetID
	resumeAfter  request.TargetID // where to continue after the preferred services are fetched
	wrapped      bool             // the fetch has passed the highest ID and continues from the lowest
	nextAttempt  time.Duration    // time before which there is no attempt
	lastAttempt  time.Duration    // time of the last attempt
	emptyReplies int              // consecutive attempts that returned nothing

	refreshing   bool          // the current fetch repeats a complete one, see tickRefresh
	nextRefresh  time.Duration // time before which there is no refresh
	refreshCount int

	seedsTried        int           // seeds tried in the current pass over the list
	seedsAdded        bool          // seeds were added since the last check for unknown seeds
	nextSeedCheck     time.Duration // time before which there is no check for unknown seeds
	seedCheckInterval time.Duration // interval to the check after the next one
}

func (j *joinState) isPartial() bool {
	return j.hasSeeds && (!j.admitted || j.fetching && !j.refreshing)
}

// isActive reports whether there is state to fetch or a join to complete.
func (j *joinState) isActive() bool { return j.isPartial() || j.refreshing }

func (j *joinState) endFetch() { j.fetching, j.refreshing = false, false }

// maxJoinFactor is the factor by which the reply to Join may exceed MaxItemBytes.
const maxJoinFactor = 4

// Join starts joining through any of the seeds and retries until it succeeds.
// The records of the given services are fetched before others. Without seeds
// the member is the first one. It also becomes the first one if no seed
// responds for Config.BootstrapTimeout; it then continues to probe the seeds. Further
// calls add seeds.
func (s *State) Join(seeds []Peer, services []request.Service) {
	j := &s.join
	for _, p := range seeds {
		s.addSeed(p)
	}
	j.hasSeeds = len(j.seeds) > 0
	if j.admitted {
		s.FetchFirst(services)
		return
	}
	j.services = services
}

const maxSeeds = 64

func (s *State) addSeed(p Peer) {
	j := &s.join
	known := slices.ContainsFunc(j.seeds, func(q Peer) bool { return q.ControlAddr == p.ControlAddr })
	if !known && p.ControlAddr != "" && p.ControlAddr != s.self.ControlAddr && len(j.seeds) < maxSeeds {
		j.seeds = append(j.seeds, p)
		j.seedsAdded = true
	}
}

// tickSeeds probes seeds that are not known members: soon after they were
// added, then with a delay that doubles up to Config.ProbeInterval.
//
// Members that start together, or during a partition, can form separate groups
// that have joined but do not know of each other, and each group takes itself
// for the whole fleet. Calls are then refused for lack of targets that are in
// fact up. The groups would never merge otherwise, because no link connects
// them; the seeds are all that they have in common.
func (s *State) tickSeeds(now time.Duration) {
	j := &s.join
	if len(j.seeds) == 0 || j.isPartial() || s.status == Dead {
		return
	}
	if j.seedsAdded {
		j.seedsAdded, j.seedCheckInterval = false, s.cfg.JoinRetryInterval
		j.nextSeedCheck = now + s.jitter(j.seedCheckInterval)
	}
	if now < j.nextSeedCheck {
		return
	}
	j.nextSeedCheck = now + j.seedCheckInterval/2 + s.jitter(j.seedCheckInterval)
	j.seedCheckInterval = min(2*j.seedCheckInterval, s.cfg.ProbeInterval)
	if unknown := s.unknownSeeds(); len(unknown) > 0 {
		m := s.newMessage(Probe)
		m.Records = []*Record{s.selfRecord()}
		s.queueExchange(unknown[s.rng.IntN(len(unknown))], m, true)
	}
}

// unknownSeeds returns the seeds that are not known members.
func (s *State) unknownSeeds() []Peer {
	present := make(map[string]bool, len(s.join.seeds))
	for _, p := range s.join.seeds {
		present[p.ControlAddr] = false
	}
	for i := range s.tab.members {
		e := &s.tab.members[i]
		if !e.isPresent() {
			continue
		}
		if _, ok := present[e.rec.ControlAddr]; ok {
			present[e.rec.ControlAddr] = true
		}
	}
	var out []Peer
	for _, p := range s.join.seeds {
		if !present[p.ControlAddr] {
			out = append(out, p)
		}
	}
	return out
}

// Joined reports whether a peer has admitted the member, or none was needed.
func (s *State) Joined() bool { return !s.join.hasSeeds || s.join.admitted }

// FetchFirst fetches the records of some services next. It has no effect once the
// state is complete.
func (s *State) FetchFirst(services []request.Service) {
	j := &s.join
	if !j.fetching || len(services) == 0 {
		return
	}
	if len(j.services) == 0 {
		j.resumeAfter = j.after
	}
	j.services, j.after = services, 0
}

// Complete reports whether the whole state was received.
func (s *State) Complete() bool { return !s.join.isPartial() }

func (s *State) tickJoin(now time.Duration) {
	j := &s.join
	if j.inFlight && now-j.lastAttempt > 4*s.cfg.ExchangeTimeout {
		s.handleJoinFailure(now, j.source) // the outcome was never reported
	}
	if !j.isActive() || j.inFlight || now < j.nextAttempt || s.status == Dead {
		return
	}
	if !j.attempted {
		j.attempted, j.firstAttempt = true, now
	}
	if !j.admitted && !j.gotReply && now-j.firstAttempt >= s.cfg.BootstrapTimeout {
		j.admitted = true
		return
	}
	if !j.admitted && !j.refreshing {
		j.inFlight, j.lastAttempt = true, now
		j.source = s.nextJoinPeer()
		m := s.newMessage(Join)
		m.Records = []*Record{s.selfRecord()}
		m.Services = j.services
		s.queueExchange(j.source, m, true)
		return
	}
	j.inFlight, j.lastAttempt = true, now
	j.source = s.randomPeer()
	m := s.newMessage(Pull)
	m.After, m.Services = j.after, j.services
	m.ReplyItemBytes = uint32(maxJoinFactor * s.cfg.MaxItemBytes)
	s.queueExchange(j.source, m, true)
}

// nextJoinPeer returns the peer to join through: a seed or, half of the time, a
// member that has contacted this one. All seeds may be gone for good.
func (s *State) nextJoinPeer() Peer {
	if len(s.linkOrder) > 0 && s.rng.IntN(2) == 0 {
		if p := s.randomPeer(); p.ControlAddr != "" {
			return p
		}
	}
	j := &s.join
	if j.seedsTried >= len(j.seeds) {
		j.seedsTried = 0
	}
	// Try each seed once before any is tried again: some belong to instances
	// that are gone, and independent random draws would try these as often as
	// the others.
	i := j.seedsTried + s.rng.IntN(len(j.seeds)-j.seedsTried)
	j.seeds[j.seedsTried], j.seeds[i] = j.seeds[i], j.seeds[j.seedsTried]
	j.seedsTried++
	return j.seeds[j.seedsTried-1]
}

// randomPeer returns a random member, or the last source if the draws find
// none.
func (s *State) randomPeer() Peer {
	const tries = 8
	for range tries {
		e := &s.tab.members[s.rng.IntN(len(s.tab.members))]
		if e.isPresent() && e.id != s.self.ID && !s.isGroupUnreachable(e.rec.Region) {
			return s.peer(e.id)
		}
	}
	return s.join.source
}

// answerJoin admits a member. The reply holds the whole state of a small fleet;
// for a large fleet it holds the joiner's neighbours and as many members of its
// preferred services as fit. A member that has not joined yet replies too;
// otherwise members that all start together would wait for each other for good.
func (s *State) answerJoin(m, r *Message) {
	if len(m.Records) == 0 || m.Records[0] == nil || m.Records[0].ID != m.From {
		r.Rejected = true
		return
	}
	if s.join.fetching && !s.join.refreshing || s.budget.Tokens() < 0 && !s.recentlyStarted(s.lastTick) {
		s.redirect(r)
		return
	}
	room := max(s.cfg.MaxItemBytes, min(s.budget.Tokens(), maxJoinFactor*s.cfg.MaxItemBytes))
	for i := range s.tab.facts {
		f := &s.tab.facts[i].fact
		if f.isForJoiner(m.From) && room > 0 {
			r.Facts = append(r.Facts, *f)
			room -= factSize + len(f.Value)
		}
	}
	if s.addAllMembers(r, room) {
		return
	}
	r.More = true
	s.addNeighbours(m, r, room)
}

// isForJoiner reports whether a member that joins needs the fact before it takes calls.
// Others arrive by anti-entropy.
func (f *Fact) isForJoiner(id request.TargetID) bool {
	return f.Kind == ConfigHead || f.Kind == TargetLeave && f.Key == uint64(id)
}

// redirect names a few other members to a joiner that this one cannot serve
// now, so that joiners with the same seed do not all wait for it.
func (s *State) redirect(r *Message) {
	const maxRedirects = 3
	r.Rejected = true
	for range maxRedirects {
		e := &s.tab.members[s.rng.IntN(len(s.tab.members))]
		if e.isPresent() && e.id != s.self.ID {
			r.Records = append(r.Records, e.rec)
		}
	}
}

// addAllMembers adds all members if they fit.
func (s *State) addAllMembers(r *Message, room int) bool {
	if len(s.tab.members) > room/recordSize {
		return false
	}
	all := &Message{}
	for i := range s.tab.members {
		room -= all.addEntry(&s.tab.members[i])
	}
	if room < 0 {
		return false
	}
	r.Records, r.Changes = append(r.Records, all.Records...), append(r.Changes, all.Changes...)
	return true
}

func (s *State) addNeighbours(m, r *Message, room int) {
	region := m.Records[0].Region
	neighbours := append(s.neighbours(m.From, region, false), s.neighbours(m.From, region, true)...)
	for _, g := range s.otherGroups() {
		neighbours = append(neighbours, s.remoteNeighbour(m.From, g, func(request.TargetID) bool { return false }))
	}
	neighbours = append(neighbours, s.self.ID)
	for _, id := range neighbours {
		room -= r.addEntry(s.tab.get(id))
	}
	for i := range s.tab.members {
		e := &s.tab.members[i]
		if room > 0 && e.rec != nil && e.id != m.From && slices.Contains(m.Services, e.rec.Service) {
			room -= r.addEntry(e)
		}
	}
}

// addEntry adds the record of a member, and its change if it differs, and
// returns the bytes used.
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

func (s *State) handleJoinReply(now time.Duration, to Peer, m *Message) {
	j := &s.join
	if !j.inFlight || j.admitted {
		return
	}
	j.inFlight, j.gotReply = false, true
	if m.Rejected {
		j.nextAttempt = now + s.cfg.JoinRetryInterval/2 + s.jitter(s.cfg.JoinRetryInterval)
		for _, r := range m.Records {
			if validRecord(r) {
				s.addSeed(Peer{ControlAddr: r.ControlAddr})
			}
		}
		return
	}
	// The fetch starts at the member's own ID and wraps around, so that members
	// that join together do not all learn of, and query, the same members
	// first.
	j.resumeAfter = s.self.ID
	if len(j.services) == 0 {
		j.after = j.resumeAfter
	}
	j.admitted, j.fetching = true, m.More
	j.source = Peer{ID: m.From, ControlAddr: to.ControlAddr}
	s.overlay.dirty = true
	s.queue.put(memberKey(s.self.ID), classJoin, s.allLinks(), 0)
}

// recentlyStarted reports whether the member started less than CatchUpPeriod ago.
func (s *State) recentlyStarted(now time.Duration) bool { return now < s.started+s.cfg.CatchUpPeriod }

const (
	// refreshInterval is the interval between two fetches of the whole state by
	// a recently started member.
	refreshInterval = 600 * time.Millisecond
	// minRefreshes is the number of fetches before heartbeats have shown
	// whether neighbours differ.
	minRefreshes = 3
	// maxRefreshMembers is the number of members up to which the whole state is
	// fetched again. A higher value lets larger fleets that start together
	// converge sooner.
	maxRefreshMembers = 512
)

// tickRefresh fetches the whole state again while a recently started member
// differs from its neighbours. Members that start together join through members
// that know few others yet. Sending their records one by one on many links
// would cost several times as much as packing them together.
func (s *State) tickRefresh(now time.Duration) {
	j := &s.join
	if !s.Joined() || j.fetching || now < j.nextRefresh || !s.recentlyStarted(now) ||
		len(s.tab.members) < 2 || len(s.tab.members) > maxRefreshMembers ||
		j.refreshCount >= minRefreshes && !s.neighboursDiffer() {
		return
	}
	j.refreshCount++
	j.nextRefresh = now + refreshInterval/2 + s.jitter(refreshInterval)
	j.refreshing, j.fetching, j.wrapped = true, true, false
	j.services, j.after = nil, s.self.ID
	j.nextAttempt = now
}

// neighboursDiffer reports whether a neighbour's digest differs.
func (s *State) neighboursDiffer() bool {
	return slices.ContainsFunc(s.linkOrder, func(l *link) bool { return l.mismatch > 0 })
}

// answerPull sends the next part of the state. It leaves a quarter of the burst
// for gossip, so that joining members do not delay it; a recently started
// member may serve the whole fleet without this limit.
func (s *State) answerPull(m, r *Message) {
	r.More, r.Next = true, m.After
	if s.join.isPartial() {
		r.Rejected = true
		return
	}
	room := int(min(m.ReplyItemBytes, maxJoinFactor*uint32(s.cfg.MaxItemBytes)))
	if !s.recentlyStarted(s.lastTick) {
		room = min(room, s.budget.Tokens()-s.budget.Limit()/4)
	}
	i, ok := s.tab.index(m.After)
	if ok {
		i++
	}
	if room < minPullReply {
		return
	}
	if i = s.packPart(m, r, i, room); i >= len(s.tab.members) {
		r.More = false
	} else if i > 0 {
		r.Next = s.tab.members[i-1].id
	}
}

// minPullReply is the least space, in bytes, for which a Pull is served.
const minPullReply = 300

// wantsEntry reports whether a Pull requests a member.
func (m *Message) wantsEntry(e *entry) bool {
	return e.rec != nil && (len(m.Services) == 0 || slices.Contains(m.Services, e.rec.Service))
}

func (s *State) handlePullReply(now time.Duration, to Peer, m *Message) {
	j := &s.join
	if !j.inFlight || !j.fetching {
		return
	}
	j.inFlight = false
	took := float64(m.Size()+s.cfg.ExchangeCost) / float64(s.cfg.JoinRate)
	j.nextAttempt = j.lastAttempt + time.Duration(took*float64(time.Second))
	switch {
	case j.refreshing && m.Rejected:
		j.endFetch()
	case m.Rejected, m.More && m.Next <= j.after:
		j.backOff(now, s)
		return
	case m.More && !(j.wrapped && len(j.services) == 0 && m.Next >= s.self.ID):
		j.after = m.Next
	case len(j.services) > 0:
		j.services, j.after = nil, j.resumeAfter
	case !j.wrapped:
		j.wrapped, j.after = true, 0
	default:
		j.endFetch()
	}
	j.emptyReplies = 0
}

// backOff doubles the delay each time that a peer had no budget to spare. When
// a whole zone joins at once, all members are short of budget, and requests
// consume more of it.
func (j *joinState) backOff(now time.Duration, s *State) {
	const doublings = 4
	wait := s.cfg.TickInterval << min(j.emptyReplies, doublings)
	j.emptyReplies++
	j.nextAttempt = now + wait/2 + s.jitter(wait)
}

// handleJoinFailure switches to another peer; the state received so far is
// kept.
func (s *State) handleJoinFailure(now time.Duration, to Peer) {
	j := &s.join
	if !j.isActive() || to.ControlAddr != j.source.ControlAddr {
		return
	}
	j.inFlight = false
	if j.refreshing {
		j.endFetch()
		return
	}
	j.nextAttempt = now + s.cfg.JoinRetryInterval/2 + s.jitter(s.cfg.JoinRetryInterval)
}
