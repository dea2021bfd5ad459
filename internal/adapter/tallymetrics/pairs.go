package tallymetrics

import (
	"maps"
	"sync/atomic"

	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
)

// pair is a service and the class of a request that it serves.
type pair struct{ service, class string }

// otherPair has the series of all pairs that have none of their own.
var otherPair = pair{other, other}

// hopKinds is how many kinds of hop there are.
const hopKinds = int(dataplane.HopServe) + 1

// group holds the series of one pair, by kind of hop; nil until first used.
type group [hopKinds]atomic.Pointer[calls]

// state is what traffic looks series up in. It is replaced, never changed.
type state struct {
	services, classes map[string]bool // that the configuration names
	pairs             map[pair]*group
	max               int             // pairs with series of their own
	owners            map[string]bool // tenants of the services
	tenants           map[string]*tenant
}

// place returns the pair whose series p is counted in.
func (s *state) place(p pair) pair {
	if _, ok := s.pairs[p]; ok {
		return p
	}
	if s.known(p) && len(s.pairs) < s.max {
		return p
	}
	return otherPair
}

func (s *state) known(p pair) bool { return s.services[p.service] && s.classes[p.class] }

// Configure tells which services and classes there are. Pairs of others, and
// tenants without a service, have no series of their own, and lose those that they had. Called at each change of
// the configuration, before traffic sees it.
func (m *Metrics) Configure(services []request.Service, classes []request.Class) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := *m.state.Load()
	s.services, s.classes = set(services), set(classes)
	s.owners = ownersOf(services)
	m.retireTenants(&s)
	s.pairs = maps.Clone(s.pairs)
	for p, g := range s.pairs {
		if p == otherPair || s.known(p) {
			continue
		}
		delete(s.pairs, p)
		m.retire(p, g)
	}
	m.state.Store(&s)
}

func set[S ~string](names []S) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, n := range names {
		s[string(n)] = true
	}
	return s
}

func (m *Metrics) retire(p pair, g *group) {
	for i := range g {
		if c := g[i].Load(); c != nil {
			c.close()
		}
	}
	m.vecs.remove(p)
}

// calls returns the series of a hop, creating them at their first use.
func (m *Metrics) calls(kind dataplane.HopKind, p pair) *calls {
	s := m.state.Load()
	if g, ok := s.pairs[s.place(p)]; ok {
		if c := g[kind].Load(); c != nil {
			return c
		}
	}
	return m.add(kind, p)
}

// add creates the series of a hop, or finds those that stand for it.
func (m *Metrics) add(kind dataplane.HopKind, p pair) *calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := *m.state.Load()
	p = s.place(p)
	g, ok := s.pairs[p]
	if !ok {
		g = new(group)
		s.pairs = maps.Clone(s.pairs)
		s.pairs[p] = g
		m.state.Store(&s)
	}
	if c := g[kind].Load(); c != nil {
		return c
	}
	c := newCalls(m.scope, kind, p)
	g[kind].Store(c)
	return c
}
