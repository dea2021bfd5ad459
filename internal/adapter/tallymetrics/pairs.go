package tallymetrics

import (
	"maps"
	"sync/atomic"

	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
)

// pair is a service and a request class.
type pair struct{ service, class string }

// otherPair is the pair that all pairs without their own series share.
var otherPair = pair{other, other}

// hopKinds is the number of hop kinds.
const hopKinds = int(dataplane.HopServe) + 1

// hopSeries holds the series of one pair by hop kind; nil until first used.
type hopSeries [hopKinds]atomic.Pointer[callSeries]

// state is the lookup table of the series. It is immutable and replaced as a whole.
type state struct {
	services, classes map[string]bool // configured names
	pairs             map[pair]*hopSeries
	maxPairs          int             // limit of pairs with their own series
	configuredTenants map[string]bool // tenants of the services
	tenants           map[string]*tenantSeries
}

// seriesPair returns the pair under whose labels p is counted.
func (s *state) seriesPair(p pair) pair {
	if _, ok := s.pairs[p]; ok {
		return p
	}
	if s.configured(p) && len(s.pairs) < s.maxPairs {
		return p
	}
	return otherPair
}

func (s *state) configured(p pair) bool { return s.services[p.service] && s.classes[p.class] }

// Configure sets the configured services and classes. Pairs of other services or
// classes, and tenants without a service, lose their own series. Call it at each
// configuration change, before traffic uses the new configuration.
func (m *Metrics) Configure(services []request.Service, classes []request.Class) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := *m.state.Load()
	s.services, s.classes = stringSet(services), stringSet(classes)
	s.configuredTenants = tenantsOf(services)
	m.removeTenants(&s)
	s.pairs = maps.Clone(s.pairs)
	for p, g := range s.pairs {
		if p == otherPair || s.configured(p) {
			continue
		}
		delete(s.pairs, p)
		m.removePair(p, g)
	}
	m.state.Store(&s)
}

func stringSet[S ~string](names []S) map[string]bool {
	s := make(map[string]bool, len(names))
	for _, n := range names {
		s[string(n)] = true
	}
	return s
}

func (m *Metrics) removePair(p pair, g *hopSeries) {
	for i := range g {
		if c := g[i].Load(); c != nil {
			c.close()
		}
	}
	m.vecs.deletePair(p)
}

// calls returns the series of a hop and creates them at first use.
func (m *Metrics) calls(kind dataplane.HopKind, p pair) *callSeries {
	s := m.state.Load()
	if g, ok := s.pairs[s.seriesPair(p)]; ok {
		if c := g[kind].Load(); c != nil {
			return c
		}
	}
	return m.addCalls(kind, p)
}

// addCalls creates the series of a hop, or returns the existing or shared ones.
func (m *Metrics) addCalls(kind dataplane.HopKind, p pair) *callSeries {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := *m.state.Load()
	p = s.seriesPair(p)
	g, ok := s.pairs[p]
	if !ok {
		g = new(hopSeries)
		s.pairs = maps.Clone(s.pairs)
		s.pairs[p] = g
		m.state.Store(&s)
	}
	if c := g[kind].Load(); c != nil {
		return c
	}
	c := newCallSeries(m.scope, kind, p)
	g[kind].Store(c)
	return c
}
