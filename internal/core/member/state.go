package member

import (
	"math/rand/v2"
	"time"

	"peardrift/internal/core/budget"
	"peardrift/internal/core/request"
)

// State is one node's membership. See the package comment for its contract.
type State struct {
	cfg    Config
	rng    *rand.Rand
	self   Record // contents as published; Incarnation is that of publication
	inc    uint32 // current incarnation
	body   uint32 // digest of self
	status Status // Alive, Leaving or Dead

	tab              table
	queue            queue
	links            map[request.TargetID]*link
	linkOrder        []*link // links in opening order, for determinism
	slots            [maxLinks]bool
	missing          missingList
	notLiveSince     map[request.TargetID]time.Duration // time at which members stopped being live
	overlay          overlay
	join             joinState
	suppressRelay    bool             // what is received was requested, and is not relayed
	sender           request.TargetID // the link's peer whose message is being processed
	budget           *budget.Bucket
	piggybackHandler PiggybackHandler // nil if nothing is piggybacked
	actions          []Action
	view             viewCache

	lastTick   time.Duration
	started    time.Duration // time of the first tick
	ticked     bool
	nextProbe  time.Duration
	nextExpiry time.Duration
	stats      Stats
}

// Stats counts the operations of State since its start.
type Stats struct {
	Exchanges, Failures, Requests uint64
	Pauses, Suspicions, Deaths    uint64
	Refutations                   uint64
	ItemsSent, ItemsReceived      uint64
	ItemsNew                      uint64
}

// New returns the state of a member that knows no other. self.ID and
// self.Incarnation must be set; the record is copied.
func New(cfg Config, self Record, rng *rand.Rand) *State {
	s := &State{
		cfg:          cfg,
		rng:          rng,
		self:         self,
		inc:          self.Incarnation,
		queue:        newQueue(cfg.Fanout),
		body:         self.Digest(),
		links:        make(map[request.TargetID]*link),
		notLiveSince: make(map[request.TargetID]time.Duration),
		budget:       budget.New(cfg.Budget, cfg.Burst, cfg.InitialBudget),
		overlay:      newOverlay(),
	}
	s.storeEntry(0, s.selfChange(), s.selfRecord())
	return s
}

// AddAlive adds members that are certain to be alive, without gossiping them.
// records must be sorted by ID and are shared, not copied.
func (s *State) AddAlive(records []*Record) {
	s.tab.reserve(len(records))
	for _, r := range records {
		if r.ID != s.self.ID && validRecord(r) {
			s.storeEntry(0, Change{ID: r.ID, Incarnation: r.Incarnation, BodyDigest: r.Digest()}, r)
		}
	}
}

func (s *State) selfRecord() *Record {
	r := s.self
	return &r
}

func (s *State) selfChange() Change {
	return Change{ID: s.self.ID, Incarnation: s.inc, Status: s.status, BodyDigest: s.body}
}

// ID returns the member's own ID.
func (s *State) ID() request.TargetID { return s.self.ID }

// Incarnation returns the member's current incarnation.
func (s *State) Incarnation() uint32 { return s.inc }

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// Leave announces that the member drains: others send it no new calls.
func (s *State) Leave(now time.Duration) { s.setSelf(now, Leaving) }

// Depart announces that the member leaves for good. The caller should continue
// to call Tick for a second or two, so that others receive it.
func (s *State) Depart(now time.Duration) { s.setSelf(now, Dead) }

func (s *State) setSelf(_ time.Duration, st Status) {
	if st <= s.status {
		return
	}
	s.status = st
	s.publishSelf(true)
}

// Update publishes new contents of the member's own record under a higher
// incarnation. The ID cannot change; it has no effect on a leaving member.
func (s *State) Update(now time.Duration, r Record) {
	if s.status != Alive {
		return
	}
	r.ID = s.self.ID
	r.Incarnation = s.inc + 1
	s.self, s.inc, s.body = r, r.Incarnation, r.Digest()
	s.publishSelf(false)
}

func (s *State) publishSelf(known bool) {
	c := s.selfChange()
	rec := s.selfRecord()
	if s.status == Dead {
		rec = nil
	}
	s.storeEntry(0, c, rec)
	s.queue.put(memberKey(s.self.ID), classOf(c, known), s.allLinks(), 0)
}

// refute counters a claim that this live member is unreachable or dead: it
// takes a higher incarnation. A leaving member keeps that status.
func (s *State) refute(c Change) {
	if s.status == Dead || !c.supersedes(s.inc, s.status) {
		return
	}
	s.stats.Refutations++
	s.inc = c.Incarnation + 1
	s.publishSelf(true)
}

// PutFact replicates a fact to all members. It ignores versions that are not
// newer than the known one, and values over MaxFactValue.
func (s *State) PutFact(_ time.Duration, f Fact) bool {
	return s.applyFact(f, s.allLinks())
}

// Facts returns all facts of a kind, in no particular order.
func (s *State) Facts(kind FactKind) []Fact {
	var out []Fact
	for i := range s.tab.facts {
		if f := s.tab.facts[i].fact; f.Kind == kind {
			out = append(out, f)
		}
	}
	return out
}

// Fact returns one fact.
func (s *State) Fact(kind FactKind, key uint64) (Fact, bool) {
	if f := s.tab.fact(factID(kind, key)); f != nil {
		return *f, true
	}
	return Fact{}, false
}

// Spend reports the size in bytes of one message, sent or received, on the wire
// with headers.
func (s *State) Spend(bytes int) { s.budget.Spend(bytes) }

// Budget returns the token bucket that all control traffic of the node shares.
func (s *State) Budget() *budget.Bucket { return s.budget }

// Tick advances the state to now and returns the actions to execute.
func (s *State) Tick(now time.Duration) []Action {
	s.detectPause(now)
	s.budget.Refill(now)
	s.tickJoin(now)
	s.tickRefresh(now)
	s.tickOverlay(now)
	s.tickLinks(now)
	s.checkSubjects(now)
	s.tickSeeds(now)
	s.probeUnreachable(now)
	s.expire(now)
	out := s.actions
	s.actions = nil
	return out
}

// detectPause handles pauses of this process. After one, every peer appears
// silent for the length of the pause, and without a correction the node would
// declare all its subjects unreachable at once. So silence is measured anew
// from the pause's end.
func (s *State) detectPause(now time.Duration) {
	if !s.ticked {
		s.started = now
	}
	paused := s.ticked && now-s.lastTick > s.cfg.PauseThreshold
	s.lastTick, s.ticked = now, true
	if !paused {
		return
	}
	s.stats.Pauses++
	for _, l := range s.linkOrder {
		l.lastHeard = max(l.lastHeard, now-s.cfg.SuspectAfter/2)
		l.votes = nil
		l.nextDue = now + s.jitter(s.cfg.RetryInterval)
	}
}

// jitter returns a random duration in [0, d).
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *State) allLinks() uint32 {
	var m uint32
	for _, l := range s.linkOrder {
		m |= l.bit()
	}
	return m
}

// expire removes unreachable members and tombstones whose retention has ended.
func (s *State) expire(now time.Duration) {
	if now < s.nextExpiry {
		return
	}
	s.nextExpiry = now + s.cfg.ProbeInterval
	var oldest request.TargetID
	for id, since := range s.notLiveSince {
		e := s.tab.get(id)
		switch {
		case e == nil || e.status.isLive():
			delete(s.notLiveSince, id)
			continue
		case e.status == Unreachable && now-since > s.cfg.UnreachableRetention:
			s.makeTombstone(now, e)
		case e.status == Dead && now-since > s.cfg.TombstoneRetention:
			s.removeMember(id)
			continue
		}
		if e.status == Dead && (oldest == 0 || since < s.notLiveSince[oldest] || since == s.notLiveSince[oldest] && id < oldest) {
			oldest = id
		}
	}
	if s.tab.dead > s.cfg.MaxTombstones {
		s.removeMember(oldest)
	}
}

// makeTombstone turns a member that stayed unreachable into a tombstone. Every
// member does so by itself, so nothing is sent.
func (s *State) makeTombstone(now time.Duration, e *entry) {
	s.storeEntry(now, Change{ID: e.id, Incarnation: e.inc, Status: Dead}, nil)
}

func (s *State) removeMember(id request.TargetID) {
	s.tab.remove(id)
	delete(s.notLiveSince, id)
}
