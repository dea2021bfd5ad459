package inforce

import (
	"math/rand/v2"
	"slices"
	"time"

	"peardrift/internal/core/budget"
	"peardrift/internal/core/confset"
	"peardrift/internal/core/request"
)

// State is one node's configuration in force.
type State struct {
	cfg  Config
	self Peer
	rng  *rand.Rand

	tenants map[request.Tenant]*tenant
	order   []request.Tenant // sorted, so that actions come in one order
	index   *confset.Index

	peers    []Peer // all, this node may be among them
	near     []Peer // those of the own region
	others   int    // peers without this node
	complete bool   // peers are all there are

	start  start
	ledger poll // of the list of tenants
	serve  bucket

	budget   *budget.Bucket // nil: unbounded
	rideFrom int            // the tenant that the next one begins with

	calls map[uint64]call
	last  uint64 // ID of the latest call
	out   []Action
	stats Stats
}

// tenant is what is known of one tenant's set.
type tenant struct {
	known confset.Head    // the highest version heard of
	held  *confset.Packed // the one in force, nil if none
	poll  poll
	hint  hint
	floor int64 // what was known when this node had been told; nothing older is taken

	fetching bool
	attempt  int // failed fetches in a row
	next     time.Duration
	waiters  []waiter
	wrong    bool          // the last delta was refused
	behind   time.Duration // since when it is behind, or the last version came
	whole    []byte        // compressed, of held; nil until asked for
}

// hint is a version that somebody claims to be accepted.
type hint struct {
	version int64
	until   time.Duration
	next    time.Duration // when the head may be read for it
}

// Stats counts what happened since the start.
type Stats struct {
	Installed int // versions put in force
	ByDelta   int // of these, by a delta from a peer
	ByWhole   int // by a whole set from a peer
	ByObject  int // by the object store
	Refused   int // sets and heads that were not what they were said to be
	Failed    int // fetches without result
	Reads     int // of the platform's table
	Answered  int // asks answered with a delta or a whole set
	ByRide    int // of the versions installed, by a delta that came with a heartbeat
}

// New returns the state of a node that starts. The random source must not be
// shared.
func New(cfg Config, self Peer, rng *rand.Rand, now time.Duration) *State {
	return &State{
		cfg: cfg, self: self, rng: rng,
		tenants: make(map[request.Tenant]*tenant),
		index:   confset.NewIndex(),
		calls:   make(map[uint64]call),
		start:   start{told: make(map[request.TargetID]bool)},
		serve:   bucket{tokens: cfg.ServeBurst, at: now},
	}
}

// Index returns the sets in force; it may be published to other goroutines.
func (s *State) Index() *confset.Index { return s.index }

// Stats returns the counters.
func (s *State) Stats() Stats { return s.stats }

// InForce returns the version of a tenant's set in force, 0 if none.
func (s *State) InForce(t request.Tenant) int64 {
	if x := s.tenants[t]; x != nil {
		return x.version()
	}
	return 0
}

// Known returns the heads heard of, sorted by tenant.
func (s *State) Known() []confset.Head {
	var out []confset.Head
	for _, name := range s.order {
		if h := s.tenants[name].known; h.Version > 0 {
			out = append(out, h)
		}
	}
	return out
}

// Ready reports whether the node was told the newest versions and has all of
// them in force, or had so at some time: a node that falls behind later serves
// on with what it has.
func (s *State) Ready() bool { return s.start.ready }

// SetPeers tells the nodes that are alive, all and those of the own region; the
// own node may be among them. complete says that these are all: a node that
// still joins would take itself for a poller or root. The slices are kept and
// must not be modified.
func (s *State) SetPeers(all, near []Peer, complete bool) {
	s.peers, s.near, s.complete = all, near, complete
	s.others = len(all)
	if slices.ContainsFunc(all, func(p Peer) bool { return p.ID == s.self.ID }) {
		s.others--
	}
}

// someone draws one of the other nodes; there must be one.
func (s *State) someone() Peer {
	for {
		if p := s.peers[s.rng.IntN(len(s.peers))]; p.ID != s.self.ID {
			return p
		}
	}
}

// Learn takes a head that other nodes hold for accepted.
func (s *State) Learn(now time.Duration, h confset.Head) []Action {
	s.learn(now, h)
	return s.take()
}

// Hint takes an unproven claim that a version was accepted: the head row is
// read before anything else happens.
func (s *State) Hint(now time.Duration, t request.Tenant, version int64) []Action {
	x, ok := s.tenant(t)
	if ok && version > x.known.Version {
		x.hint.version = max(version, x.hint.version)
		x.hint.until = now + s.cfg.HintFor
		s.followHint(now, t, x)
	}
	return s.take()
}

// Tick makes what is due happen.
func (s *State) Tick(now time.Duration) []Action {
	s.expire(now)
	s.tickStart(now)
	s.tickPolls(now)
	for _, name := range slices.Clone(s.order) {
		x := s.tenants[name]
		s.followHint(now, name, x)
		s.fetch(now, x)
		s.answerWaiters(now, x)
	}
	return s.take()
}

// take returns the actions gathered so far.
func (s *State) take() []Action {
	out := s.out
	s.out = nil
	return out
}

func (s *State) do(a Action) { s.out = append(s.out, a) }

// maxTenants bounds what hints and heads of any origin may make a node keep.
const maxTenants = 1024

// tenant returns what is known of a tenant, creating it; ok is false if there
// can be no such tenant.
func (s *State) tenant(name request.Tenant) (x *tenant, ok bool) {
	if x, ok := s.tenants[name]; ok {
		return x, true
	}
	if len(name) == 0 || len(name) > confset.MaxTenantName || len(s.order) >= maxTenants {
		s.stats.Refused++
		return nil, false
	}
	x = &tenant{known: confset.Head{Tenant: name}}
	s.tenants[name] = x
	i, _ := slices.BinarySearch(s.order, name)
	s.order = slices.Insert(s.order, i, name)
	return x, true
}

// forget drops a tenant that turned out to have no set.
func (s *State) forget(name request.Tenant) {
	if i, found := slices.BinarySearch(s.order, name); found && s.tenants[name].known.Version == 0 {
		delete(s.tenants, name)
		s.order = slices.Delete(s.order, i, i+1)
	}
}

// version returns the version in force, 0 if none.
func (x *tenant) version() int64 {
	if x.held == nil {
		return 0
	}
	return x.held.Head().Version
}

// learn notes a head if it is newer. Two heads of one version can't both be
// accepted; the one heard first stays, so that they don't chase each other
// through the fleet, and the digest decides when the set is fetched.
func (s *State) learn(now time.Duration, h confset.Head) {
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
	if x.version() >= x.known.Version {
		x.behind = now
	}
	x.known = h
	x.attempt, x.next = 0, min(x.next, now+s.cfg.Spacing)
	s.do(Spread{Head: h})
	s.fetch(now, x)
}

// install puts a set in force. It is the one place that does.
//
// Symptom of its absence: after an outage or a pause a node serves by an older
// version again, seen as a version in force that falls. An answer that was on
// its way before the pause arrives after a newer one. Only a higher version
// passes here, so whatever arrives late changes nothing.
func (s *State) install(now time.Duration, x *tenant, p *confset.Packed, by Source) {
	h := p.Head()
	if h.Version <= x.version() {
		return
	}
	if x.held != nil {
		p = p.Following(x.held)
	}
	x.held, x.whole, x.wrong = p, nil, false
	x.behind = now
	s.index = s.index.With(p.Set())
	s.stats.Installed++
	s.do(Install{Head: h, Index: s.index, By: by})
	s.learn(now, h)
	s.answerWaiters(now, x)
	s.checkReady()
}
