package member

import (
	"math/rand/v2"
	"time"

	"peardrift/internal/core/budget"
	"peardrift/internal/core/request"
)

// State is one node's membership. See the package comment for its contract.
type State struct {
	cfg  Config
	rng  *rand.Rand
	self Record // contents as published; Incarnation is that of publication
	inc  uint32 // present incarnation
	body uint32 // digest of self
	stat Status // Alive, Leaving or Dead

	tab     table
	queue   queue
	links   map[request.TargetID]*link
	order   []*link // links in the order of their opening, for determinism
	slots   [maxLinks]bool
	lacks   lackList
	lost    map[request.TargetID]time.Duration // since when members aren't live
	overlay overlay
	join    joinState
	quiet   bool             // what is received was asked for, and is no news to others
	teller  request.TargetID // the link's peer whose message is being received
	budget  *budget.Bucket
	rider   Rider // nil if nothing rides along
	actions []Action
	view    viewCache

	lastTick   time.Duration
	started    time.Duration // the first tick
	ticked     bool
	nextProbe  time.Duration
	nextExpiry time.Duration
	stats      Stats
}

// Stats counts what State did since its start.
type Stats struct {
	Exchanges, Failures, Requests uint64
	Pauses, Suspicions, Deaths    uint64
	Refutations                   uint64
	ItemsSent, ItemsReceived      uint64
	ItemsNew                      uint64
}

// New returns the state of a member that knows nobody yet. self.ID and
// self.Incarnation must be set; the record is copied.
func New(cfg Config, self Record, rng *rand.Rand) *State {
	s := &State{
		cfg:     cfg,
		rng:     rng,
		self:    self,
		inc:     self.Incarnation,
		queue:   newQueue(cfg.Fanout),
		body:    self.Body(),
		links:   make(map[request.TargetID]*link),
		lost:    make(map[request.TargetID]time.Duration),
		budget:  budget.New(cfg.Budget, cfg.Burst, cfg.StartBudget),
		overlay: newOverlay(),
	}
	s.store(0, s.selfChange(), s.selfRecord())
	return s
}

// Load takes over members that are known for sure to be alive, without telling
// anyone. records must be sorted by identity and are shared, not copied.
func (s *State) Load(records []*Record) {
	s.tab.reserve(len(records))
	for _, r := range records {
		if r.ID != s.self.ID && validRecord(r) {
			s.store(0, Change{ID: r.ID, Incarnation: r.Incarnation, Body: r.Body()}, r)
		}
	}
}

func (s *State) selfRecord() *Record {
	r := s.self
	return &r
}

func (s *State) selfChange() Change {
	return Change{ID: s.self.ID, Incarnation: s.inc, Status: s.stat, Body: s.body}
}

// ID returns the member's own identity.
func (s *State) ID() request.TargetID { return s.self.ID }

// Incarnation returns the member's present incarnation.
func (s *State) Incarnation() uint32 { return s.inc }

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// Leave says that the member drains: nobody gives it new work.
func (s *State) Leave(now time.Duration) { s.setSelf(now, Leaving) }

// Depart says that the member is gone for good. The caller should go on ticking
// for a second or two, so that others hear of it.
func (s *State) Depart(now time.Duration) { s.setSelf(now, Dead) }

func (s *State) setSelf(_ time.Duration, st Status) {
	if st <= s.stat {
		return
	}
	s.stat = st
	s.publishSelf(true)
}

// Update publishes new contents of the member's own record under a higher
// incarnation. The identity can't change; a leaving member stays leaving.
func (s *State) Update(now time.Duration, r Record) {
	if s.stat != Alive {
		return
	}
	r.ID = s.self.ID
	r.Incarnation = s.inc + 1
	s.self, s.inc, s.body = r, r.Incarnation, r.Body()
	s.publishSelf(false)
}

func (s *State) publishSelf(known bool) {
	c := s.selfChange()
	rec := s.selfRecord()
	if s.stat == Dead {
		rec = nil
	}
	s.store(0, c, rec)
	s.queue.put(memberKey(s.self.ID), classOf(c, known), s.allLinks(), 0)
}

// refute answers news that would have this live member unreachable or gone: it
// takes a higher incarnation. One that is leaving is leaving in that as well.
func (s *State) refute(c Change) {
	if s.stat == Dead || !c.newer(s.inc, s.stat) {
		return
	}
	s.stats.Refutations++
	s.inc = c.Incarnation + 1
	s.publishSelf(true)
}

// PutFact makes a fact known to all members. Older versions than the known one
// are ignored, as are values over MaxFactValue.
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

// Spend reports the bytes of one message, sent or received, as they went over
// the wire with headers.
func (s *State) Spend(bytes int) { s.budget.Spend(bytes) }

// Budget returns the bucket that all control traffic of the node shares.
func (s *State) Budget() *budget.Bucket { return s.budget }

// Tick advances the state to now and returns what must be done.
func (s *State) Tick(now time.Duration) []Action {
	s.notePause(now)
	s.budget.Refill(now)
	s.tickJoin(now)
	s.tickRefresh(now)
	s.tickOverlay(now)
	s.tickLinks(now)
	s.watch(now)
	s.tickSeeds(now)
	s.reprobe(now)
	s.expire(now)
	out := s.actions
	s.actions = nil
	return out
}

// notePause guards against this process's own pauses. After one, every peer
// looks silent for as long as the pause took, and a node that trusted that would
// condemn all its subjects at once. So silence counts anew from the pause's end.
func (s *State) notePause(now time.Duration) {
	if !s.ticked {
		s.started = now
	}
	paused := s.ticked && now-s.lastTick > s.cfg.PauseAfter
	s.lastTick, s.ticked = now, true
	if !paused {
		return
	}
	s.stats.Pauses++
	for _, l := range s.order {
		l.heard = max(l.heard, now-s.cfg.SuspectAfter/2)
		l.votes = nil
		l.due = now + s.jitter(s.cfg.RetryAfter)
	}
}

// jitter draws a duration in [0, d).
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *State) allLinks() uint32 {
	var m uint32
	for _, l := range s.order {
		m |= l.bit()
	}
	return m
}

// expire drops unreachable members and tombstones that are old enough.
func (s *State) expire(now time.Duration) {
	if now < s.nextExpiry {
		return
	}
	s.nextExpiry = now + s.cfg.ReprobeEvery
	var oldest request.TargetID
	for id, since := range s.lost {
		e := s.tab.get(id)
		switch {
		case e == nil || e.status.live():
			delete(s.lost, id)
			continue
		case e.status == Unreachable && now-since > s.cfg.KeepUnreachable:
			s.bury(now, e)
		case e.status == Dead && now-since > s.cfg.KeepDead:
			s.forget(id)
			continue
		}
		if e.status == Dead && (oldest == 0 || since < s.lost[oldest] || since == s.lost[oldest] && id < oldest) {
			oldest = id
		}
	}
	if s.tab.dead > s.cfg.MaxDead {
		s.forget(oldest)
	}
}

// bury turns a member that stayed unreachable into a tombstone. Every member
// does so by itself, so nothing is sent.
func (s *State) bury(now time.Duration, e *entry) {
	s.store(now, Change{ID: e.id, Incarnation: e.inc, Status: Dead}, nil)
}

func (s *State) forget(id request.TargetID) {
	s.tab.remove(id)
	delete(s.lost, id)
}
