package configsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"peardrift/internal/core/budget"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// State is the configuration state of one node.
type State struct {
	cfg  Config
	self Peer
	rng  *rand.Rand

	tenants     map[request.Tenant]*tenant
	tenantNames []request.Tenant // sorted, for a deterministic order of actions
	index       *configset.Index

	peers         []Peer // all nodes; may include this node
	regionPeers   []Peer // nodes of this node's region
	otherCount    int    // number of peers without this node
	peersComplete bool   // peers lists the whole fleet

	startup        startup
	tenantList     poll // schedule of reads of the tenant list
	wholeSetBucket tokenBucket

	budget      *budget.Bucket // nil: unlimited
	nextQueried int            // index of the first tenant in the next piggybacked query

	calls      map[uint64]pendingCall
	lastCallID uint64
	actions    []Action
	stats      Stats
}

// tenant is the state of one tenant's set.
type tenant struct {
	known      configset.Head        // the highest version known
	held       *configset.EncodedSet // the set in force, nil if none
	poll       poll
	hint       hint
	minVersion int64 // the version known when this node became informed; older ones are rejected

	fetching       bool
	failures       int // consecutive failed fetches
	nextFetch      time.Duration
	waiters        []waiter
	deltaRejected  bool          // the next fetch requests the whole set
	behindSince    time.Duration // when the tenant fell behind or the last version was installed
	compressedBody []byte        // compressed held set; nil until needed
}

// hint is an unconfirmed claim that a version was accepted.
type hint struct {
	version  int64
	until    time.Duration
	nextRead time.Duration // earliest time of the next read of the head row
}

// Stats counts events since the start of the process.
type Stats struct {
	Installed   int // versions put in force
	ByDelta     int // of these, by a delta from a peer
	ByWhole     int // of these, by a whole set from a peer
	ByObject    int // of these, from the object store
	Refused     int // rejected sets and heads
	Failed      int // failed fetches
	Reads       int // reads of the platform's table
	Answered    int // requests answered with a delta or a whole set
	ByPiggyback int // of the installed versions, by a piggybacked delta
}

// New returns the state of a starting node. The random source must not be
// shared.
func New(cfg Config, self Peer, rng *rand.Rand, now time.Duration) *State {
	return &State{
		cfg: cfg, self: self, rng: rng,
		tenants:        make(map[request.Tenant]*tenant),
		index:          configset.NewIndex(),
		calls:          make(map[uint64]pendingCall),
		startup:        startup{startedAt: now, answered: make(map[request.TargetID]bool)},
		wholeSetBucket: tokenBucket{tokens: cfg.WholeSetBurst, refilledAt: now},
	}
}

// Index returns the index of the sets in force; it may be published to other
// goroutines.
func (s *State) Index() *configset.Index { return s.index }

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// InForce returns the version of a tenant's set in force, 0 if none.
func (s *State) InForce(t request.Tenant) int64 {
	if x := s.tenants[t]; x != nil {
		return x.heldVersion()
	}
	return 0
}

// Known returns the known heads, sorted by tenant.
func (s *State) Known() []configset.Head {
	var out []configset.Head
	for _, name := range s.tenantNames {
		if h := s.tenants[name].known; h.Version > 0 {
			out = append(out, h)
		}
	}
	return out
}

// Ready reports whether the node has at some time had all of the newest
// versions in force, as they were when it became informed. A node that falls
// behind later keeps serving with what it has.
func (s *State) Ready() bool { return s.startup.ready }

// SetPeers sets the live nodes, all of them and those of this node's region;
// both may include this node. complete says whether the list is the whole
// fleet: with a partial list a joining node would take itself for a poller or
// root. The slices are kept and must not be modified.
func (s *State) SetPeers(all, region []Peer, complete bool) {
	s.peers, s.regionPeers, s.peersComplete = all, region, complete
	s.otherCount = len(all)
	if slices.ContainsFunc(all, func(p Peer) bool { return p.ID == s.self.ID }) {
		s.otherCount--
	}
}

// randomPeer returns a random other node; there must be at least one.
func (s *State) randomPeer() Peer {
	for {
		if p := s.peers[s.rng.IntN(len(s.peers))]; p.ID != s.self.ID {
			return p
		}
	}
}

// Learn handles a head that other nodes report as accepted.
func (s *State) Learn(now time.Duration, h configset.Head) []Action {
	s.learn(now, h)
	return s.takeActions()
}

// Hint handles an unconfirmed claim that a version was accepted: the head row
// is read before anything else happens.
func (s *State) Hint(now time.Duration, t request.Tenant, version int64) []Action {
	x, ok := s.tenant(t)
	if ok && version > x.known.Version {
		x.hint.version = max(version, x.hint.version)
		x.hint.until = now + s.cfg.HintTTL
		s.followHint(now, t, x)
	}
	return s.takeActions()
}

// Tick runs everything that is due: timeouts, startup, polls, fetches and
// answers.
func (s *State) Tick(now time.Duration) []Action {
	s.expireCalls(now)
	s.tickStartup(now)
	s.tickPolls(now)
	for _, name := range slices.Clone(s.tenantNames) {
		x := s.tenants[name]
		s.followHint(now, name, x)
		s.fetchIfDue(now, x)
		s.answerWaiters(now, x)
	}
	return s.takeActions()
}

// takeActions returns the pending actions and clears them.
func (s *State) takeActions() []Action {
	out := s.actions
	s.actions = nil
	return out
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// maxTenants limits the tenants that hints and heads from any source can make a
// node keep.
const maxTenants = 1024

// tenant returns the state of a tenant and creates it if needed; ok is false
// for an invalid name or too many tenants.
func (s *State) tenant(name request.Tenant) (x *tenant, ok bool) {
	if x, ok := s.tenants[name]; ok {
		return x, true
	}
	if len(name) == 0 || len(name) > configset.MaxTenantName || len(s.tenantNames) >= maxTenants {
		s.stats.Refused++
		return nil, false
	}
	x = &tenant{known: configset.Head{Tenant: name}}
	s.tenants[name] = x
	i, _ := slices.BinarySearch(s.tenantNames, name)
	s.tenantNames = slices.Insert(s.tenantNames, i, name)
	return x, true
}

// removeIfUnknown removes a tenant of which no version is known.
func (s *State) removeIfUnknown(name request.Tenant) {
	if i, found := slices.BinarySearch(s.tenantNames, name); found && s.tenants[name].known.Version == 0 {
		delete(s.tenants, name)
		s.tenantNames = slices.Delete(s.tenantNames, i, i+1)
	}
}

// heldVersion returns the version in force, 0 if none.
func (x *tenant) heldVersion() int64 {
	if x.held == nil {
		return 0
	}
	return x.held.Head().Version
}

// learn records a head if it is newer. Two heads with the same version can't
// both be accepted: the first one received stays, so that they don't replace
// each other across the fleet, and the digest decides when the set is fetched.
func (s *State) learn(now time.Duration, h configset.Head) {
	if h.Version <= 0 {
		return
	}
	x, ok := s.tenant(h.Tenant)
	if !ok {
		return
	}
	if h.Version == x.known.Version && h.Digest != x.known.Digest {
		s.stats.Refused++
	}
	if h.Version <= x.known.Version {
		return
	}
	if x.heldVersion() >= x.known.Version {
		x.behindSince = now
	}
	x.known = h
	x.failures, x.nextFetch = 0, min(x.nextFetch, now+s.cfg.MinFetchInterval)
	s.emit(GossipHead{Head: h})
	s.fetchIfDue(now, x)
}

// install puts a set in force. No other function does.
//
// It accepts only a higher version, so a late answer changes nothing. Otherwise
// an answer delayed by an outage or a pause could arrive after a newer one and
// lower the version in force.
func (s *State) install(now time.Duration, x *tenant, p *configset.EncodedSet, by Source) {
	h := p.Head()
	if h.Version <= x.heldVersion() {
		return
	}
	if x.held != nil {
		p = p.WithHistoryOf(x.held)
	}
	x.held, x.compressedBody, x.deltaRejected = p, nil, false
	x.behindSince = now
	s.index = s.index.WithSet(p.Set())
	s.stats.Installed++
	s.emit(Install{Head: h, Index: s.index, By: by})
	s.learn(now, h)
	s.answerWaiters(now, x)
	s.checkReady()
}
