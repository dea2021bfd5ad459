package watch

import (
	"math/rand/v2"
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// State is one node's part of the watch.
type State struct {
	cfg  Config
	self request.TargetID
	rng  *rand.Rand

	version int64
	marked  bool
	mark    time.Duration // as of when nothing newer than version was accepted

	tree     tree
	near     int  // nodes of the region
	complete bool // which were all there are
	settled  time.Duration
	attempt  int // parents that were given up
	platform question
	peer     question
	parent   Peer // of the pending question to a peer
	failed   int  // questions to the platform that failed in a row
	next     time.Duration
	waiters  []waiter

	last uint64 // ID of the latest question
	out  []Action
}

// question is one whose outcome is awaited.
type question struct {
	id       uint64 // 0: none
	have     int64
	at       time.Duration
	deadline time.Duration
}

// waiter is a child that is kept waiting.
type waiter struct {
	id    uint64
	have  int64
	at    time.Duration
	until time.Duration
}

// New returns the state of a node that starts: it holds no version and has no mark.
// The random source must not be shared.
func New(cfg Config, self request.TargetID, rng *rand.Rand, now time.Duration) *State {
	return &State{cfg: cfg, self: self, rng: rng, settled: now + cfg.Settle}
}

// SetPeers tells the nodes of the region that are alive; this one may be among
// them. complete says that these are all: a node that still joins asks the platform
// only when its mark is stale. The slice is kept and must not be modified.
func (s *State) SetPeers(now time.Duration, peers []Peer, complete bool) []Action {
	s.tree, s.near, s.complete = treeOf(s.cfg, s.self, peers), len(peers), complete
	gone := s.peer.id != 0 && !slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == s.parent.ID })
	if gone {
		s.turn()
	}
	s.step(now)
	return s.take()
}

// SetVersion tells the version that is in force here.
func (s *State) SetVersion(now time.Duration, version int64) []Action {
	if version > s.version {
		s.version = version
		s.answerWaiters(now)
	}
	return s.take()
}

// Tick makes what is due happen.
func (s *State) Tick(now time.Duration) []Action {
	if s.platform.expired(now) {
		s.platformFailed(now)
	}
	if s.peer.expired(now) {
		s.turn()
	}
	s.answerWaiters(now)
	s.step(now)
	return s.take()
}

// Mark returns the time as of which no newer version was accepted than the one
// held; ok is false if there is none.
func (s *State) Mark() (at time.Duration, ok bool) { return s.mark, s.marked }

// Stale reports whether the mark is so old, or missing, that the platform is asked
// whatever the parent says.
func (s *State) Stale(now time.Duration) bool { return !s.marked || now-s.mark > s.cfg.Stale }

// Root reports whether the node is one of those that ask the platform all the time.
func (s *State) Root(now time.Duration) bool {
	return s.complete && s.tree.root && now >= s.settled
}

// step asks whom there is to ask.
func (s *State) step(now time.Duration) {
	root := s.Root(now)
	stale := s.Stale(now)
	if s.platform.id == 0 && now >= s.next && (root || stale) {
		s.askPlatform(now)
	}
	if s.peer.id == 0 && (!root || stale) {
		s.askPeer(now)
	}
}

func (s *State) askPlatform(now time.Duration) {
	s.platform = s.begin(now, s.cfg.Limit)
	s.next = now + s.cfg.Spacing
	s.do(AskPlatform{ID: s.platform.id, After: s.version, Wait: s.cfg.Wait, Limit: s.cfg.Limit})
}

func (s *State) askPeer(now time.Duration) {
	p, ok := s.tree.parent(s.self, s.attempt)
	if !ok {
		return
	}
	s.parent = p
	s.peer = s.begin(now, s.cfg.PeerLimit)
	s.do(AskPeer{ID: s.peer.id, To: p, Ask: Ask{Have: s.version}, Limit: s.cfg.PeerLimit})
}

func (s *State) begin(now, limit time.Duration) question {
	s.last++
	return question{id: s.last, have: s.version, at: now, deadline: now + limit}
}

func (q question) expired(now time.Duration) bool { return q.id != 0 && now >= q.deadline }

// HandlePlatform gives the outcome of AskPlatform: the platform answered. version
// is that of the set that it gave, 0 for none; tell SetVersion of one that is in
// force before. quiet says that it waited for all of Wait without a change.
func (s *State) HandlePlatform(now time.Duration, id uint64, version int64, quiet bool) []Action {
	q := s.platform
	if id == 0 || id != q.id {
		return nil
	}
	s.platform = question{}
	s.failed = 0
	// The platform has judged at some time after the question was sent.
	at := q.at
	if quiet {
		at = min(q.at+s.cfg.Wait, now)
	}
	s.refresh(now, version, at)
	s.step(now)
	return s.take()
}

// HandleReply gives the outcome of AskPeer. If the reply came with a set, tell
// SetVersion of it before.
func (s *State) HandleReply(now time.Duration, id uint64, r Reply) []Action {
	q := s.peer
	if id == 0 || id != q.id {
		return nil
	}
	s.peer = question{}
	news := s.version > q.have
	// The question arrived at some time after it was sent.
	if r.Marked && r.Since <= now-q.at {
		news = s.refresh(now, r.Version, q.at+r.Since) || news
	}
	if r.Version > s.version {
		s.marked = false // there is a newer one, which the parent could not give
	}
	if !news || s.Stale(now) {
		s.turn()
	}
	// A peer that answers at once without news is followed by another at the next
	// tick, not at once.
	if news || now-q.at >= s.cfg.Spacing {
		s.step(now)
	}
	return s.take()
}

// HandleFailure tells that a question had no answer.
func (s *State) HandleFailure(now time.Duration, id uint64) []Action {
	switch {
	case id == 0:
	case id == s.platform.id:
		s.platformFailed(now)
	case id == s.peer.id:
		s.turn()
	}
	return s.take()
}

func (s *State) platformFailed(now time.Duration) {
	s.platform = question{}
	pause := s.cfg.RetryMin
	if !s.Root(now) {
		most := max(s.cfg.RetryMax, time.Second*time.Duration(s.near)/time.Duration(s.cfg.RetryRate))
		pause = min(s.cfg.RetryMin<<min(s.failed, 16), most)
	}
	s.failed++
	s.next = now + pause/2 + time.Duration(s.rng.Int64N(int64(pause/2)+1))
}

// turn gives up the parent; the next tick asks another one.
func (s *State) turn() {
	s.peer = question{}
	s.attempt++
}

// refresh takes a proof that nothing above version was accepted as of a time, and
// reports whether that is news. It proves nothing if that version is not held here.
func (s *State) refresh(now time.Duration, version int64, at time.Duration) bool {
	if version > s.version || s.marked && at <= s.mark {
		return false
	}
	s.marked, s.mark = true, at
	s.answerWaiters(now)
	return true
}

// HandleAsk takes a child's question; the id is the caller's, for Answer.
func (s *State) HandleAsk(now time.Duration, id uint64, a Ask) []Action {
	w := waiter{id: id, have: a.Have, at: now, until: now + s.cfg.PeerWait}
	if s.news(w) || len(s.waiters) >= s.cfg.MaxWaiters {
		s.answer(w)
	} else {
		s.waiters = append(s.waiters, w)
	}
	return s.take()
}

// news reports whether there is something that the child doesn't know.
func (s *State) news(w waiter) bool { return s.version > w.have || s.marked && s.mark > w.at }

func (s *State) answerWaiters(now time.Duration) {
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		if s.news(w) || now >= w.until {
			s.answer(w)
		} else {
			kept = append(kept, w)
		}
	}
	s.waiters = kept
}

func (s *State) answer(w waiter) {
	s.do(Answer{ID: w.id, Have: w.have, Reply: Reply{Version: s.version, Marked: s.marked, Since: s.mark - w.at}})
}

// take returns the actions gathered so far.
func (s *State) take() []Action {
	out := s.out
	s.out = nil
	return out
}

func (s *State) do(a Action) { s.out = append(s.out, a) }
