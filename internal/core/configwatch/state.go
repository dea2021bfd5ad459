package configwatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// State is one node's state of the watch protocol.
type State struct {
	cfg  Config
	self request.TargetID
	rng  *rand.Rand

	version      int64
	hasWatermark bool
	watermark    time.Duration // time as of which nothing newer than version was accepted

	tree             tree
	regionSize       int  // nodes of the region
	peersComplete    bool // whether SetPeers named all of them
	rootAfter        time.Duration
	parentAttempt    int // number of abandoned parents
	platformPoll     poll
	peerPoll         poll
	parent           Peer // of the pending poll to a peer
	platformFailures int  // consecutive failed polls to the platform
	nextPlatformPoll time.Duration
	waiters          []waiter

	lastID  uint64 // ID of the latest poll
	actions []Action
}

// poll is a poll in flight.
type poll struct {
	id       uint64 // 0: none
	have     int64
	sentAt   time.Duration
	deadline time.Duration
}

// waiter is a child's poll that is held.
type waiter struct {
	id        uint64
	have      int64
	arrivedAt time.Duration
	deadline  time.Duration
}

// New returns the state of a starting node: it has no version and no watermark.
// The random source must not be shared.
func New(cfg Config, self request.TargetID, rng *rand.Rand, now time.Duration) *State {
	return &State{cfg: cfg, self: self, rng: rng, rootAfter: now + cfg.RootDelay}
}

// SetPeers sets the alive nodes of the region, with or without this one.
// complete means that these are all nodes: a node that is still joining polls
// the platform only when its watermark is stale. The slice is kept and must not
// be modified.
func (s *State) SetPeers(now time.Duration, peers []Peer, complete bool) []Action {
	s.tree, s.regionSize, s.peersComplete = newTree(s.cfg, s.self, peers), len(peers), complete
	parentGone := s.peerPoll.id != 0 && !slices.ContainsFunc(peers, func(p Peer) bool { return p.ID == s.parent.ID })
	if parentGone {
		s.abandonParent()
	}
	s.startPolls(now)
	return s.takeActions()
}

// SetVersion sets the version that is in force on this node.
func (s *State) SetVersion(now time.Duration, version int64) []Action {
	if version > s.version {
		s.version = version
		s.replyToWaiters(now)
	}
	return s.takeActions()
}

// Tick advances the state to now and returns the actions to execute.
func (s *State) Tick(now time.Duration) []Action {
	if s.platformPoll.expired(now) {
		s.handlePlatformFailure(now)
	}
	if s.peerPoll.expired(now) {
		s.abandonParent()
	}
	s.replyToWaiters(now)
	s.startPolls(now)
	return s.takeActions()
}

// Watermark returns the watermark: the time as of which no version newer than the
// current one was accepted. ok is false if there is none.
func (s *State) Watermark() (at time.Duration, ok bool) { return s.watermark, s.hasWatermark }

// IsStale reports whether the watermark is missing or so old that the node polls
// the platform whatever the parent replies.
func (s *State) IsStale(now time.Duration) bool {
	return !s.hasWatermark || now-s.watermark > s.cfg.StaleAfter
}

// IsRoot reports whether the node is a root, which polls the platform
// continuously.
func (s *State) IsRoot(now time.Duration) bool {
	return s.peersComplete && s.tree.root && now >= s.rootAfter
}

// startPolls starts the polls that are due.
func (s *State) startPolls(now time.Duration) {
	root := s.IsRoot(now)
	stale := s.IsStale(now)
	if s.platformPoll.id == 0 && now >= s.nextPlatformPoll && (root || stale) {
		s.pollPlatform(now)
	}
	if s.peerPoll.id == 0 && (!root || stale) {
		s.pollPeer(now)
	}
}

func (s *State) pollPlatform(now time.Duration) {
	s.platformPoll = s.newPoll(now, s.cfg.PollTimeout)
	s.nextPlatformPoll = now + s.cfg.MinPollInterval
	s.emit(PollPlatform{ID: s.platformPoll.id, After: s.version, Wait: s.cfg.PollWait, Timeout: s.cfg.PollTimeout})
}

func (s *State) pollPeer(now time.Duration) {
	p, ok := s.tree.parent(s.self, s.parentAttempt)
	if !ok {
		return
	}
	s.parent = p
	s.peerPoll = s.newPoll(now, s.cfg.PeerTimeout)
	s.emit(PollPeer{ID: s.peerPoll.id, To: p, Request: PollRequest{Version: s.version}, Timeout: s.cfg.PeerTimeout})
}

func (s *State) newPoll(now, limit time.Duration) poll {
	s.lastID++
	return poll{id: s.lastID, have: s.version, sentAt: now, deadline: now + limit}
}

func (p poll) expired(now time.Duration) bool { return p.id != 0 && now >= p.deadline }

// HandlePlatformReply reports that the platform replied to PollPlatform. version is
// that of the returned set, 0 for none; if it is in force, call SetVersion
// first. unchanged means that the poll waited for all of PollWait without a change.
func (s *State) HandlePlatformReply(now time.Duration, id uint64, version int64, unchanged bool) []Action {
	p := s.platformPoll
	if id == 0 || id != p.id {
		return nil
	}
	s.platformPoll = poll{}
	s.platformFailures = 0
	// The platform evaluated the poll at some time after it was sent.
	at := p.sentAt
	if unchanged {
		at = min(p.sentAt+s.cfg.PollWait, now)
	}
	s.advanceWatermark(now, version, at)
	s.startPolls(now)
	return s.takeActions()
}

// HandleReply reports the reply to PollPeer. If it came with a set, call
// SetVersion first.
func (s *State) HandleReply(now time.Duration, id uint64, r PollReply) []Action {
	p := s.peerPoll
	if id == 0 || id != p.id {
		return nil
	}
	s.peerPoll = poll{}
	news := s.version > p.have
	// The poll arrived at some time after it was sent.
	if r.HasWatermark && r.WatermarkOffset <= now-p.sentAt {
		news = s.advanceWatermark(now, r.Version, p.sentAt+r.WatermarkOffset) || news
	}
	if r.Version > s.version {
		s.hasWatermark = false // there is a newer version that the parent could not supply
	}
	if !news || s.IsStale(now) {
		s.abandonParent()
	}
	// After a peer that replies immediately without news, the next one is
	// polled at the next tick, not immediately.
	if news || now-p.sentAt >= s.cfg.MinPollInterval {
		s.startPolls(now)
	}
	return s.takeActions()
}

// HandleFailure reports that a poll had no reply.
func (s *State) HandleFailure(now time.Duration, id uint64) []Action {
	switch {
	case id == 0:
	case id == s.platformPoll.id:
		s.handlePlatformFailure(now)
	case id == s.peerPoll.id:
		s.abandonParent()
	}
	return s.takeActions()
}

func (s *State) handlePlatformFailure(now time.Duration) {
	s.platformPoll = poll{}
	pause := s.cfg.RetryMin
	if !s.IsRoot(now) {
		maxPause := max(s.cfg.RetryMax, time.Second*time.Duration(s.regionSize)/time.Duration(s.cfg.MaxRetryRate))
		pause = min(s.cfg.RetryMin<<min(s.platformFailures, 16), maxPause)
	}
	s.platformFailures++
	s.nextPlatformPoll = now + pause/2 + time.Duration(s.rng.Int64N(int64(pause/2)+1))
}

// abandonParent gives up the current parent; the next tick polls another one.
func (s *State) abandonParent() {
	s.peerPoll = poll{}
	s.parentAttempt++
}

// advanceWatermark applies proof that no version above version was accepted as
// of a time, and reports whether that is news. It proves nothing if this node
// does not have that version.
func (s *State) advanceWatermark(now time.Duration, version int64, at time.Duration) bool {
	if version > s.version || s.hasWatermark && at <= s.watermark {
		return false
	}
	s.hasWatermark, s.watermark = true, at
	s.replyToWaiters(now)
	return true
}

// HandlePoll handles a child's poll; SendReply returns the caller's id.
func (s *State) HandlePoll(now time.Duration, id uint64, req PollRequest) []Action {
	w := waiter{id: id, have: req.Version, arrivedAt: now, deadline: now + s.cfg.PeerWait}
	if s.hasNews(w) || len(s.waiters) >= s.cfg.MaxWaiters {
		s.reply(w)
	} else {
		s.waiters = append(s.waiters, w)
	}
	return s.takeActions()
}

// hasNews reports whether there is a version or a watermark that the child does
// not have.
func (s *State) hasNews(w waiter) bool {
	return s.version > w.have || s.hasWatermark && s.watermark > w.arrivedAt
}

func (s *State) replyToWaiters(now time.Duration) {
	kept := s.waiters[:0]
	for _, w := range s.waiters {
		if s.hasNews(w) || now >= w.deadline {
			s.reply(w)
		} else {
			kept = append(kept, w)
		}
	}
	s.waiters = kept
}

func (s *State) reply(w waiter) {
	s.emit(SendReply{ID: w.id, Have: w.have, Reply: PollReply{Version: s.version, HasWatermark: s.hasWatermark, WatermarkOffset: s.watermark - w.arrivedAt}})
}

// takeActions returns and clears the actions collected so far.
func (s *State) takeActions() []Action {
	out := s.actions
	s.actions = nil
	return out
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }
