package tallymetrics

import (
	"io"
	"maps"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
)

// maxTenants bounds the tenants that have series of their own at one node.
const maxTenants = 64

// tenant holds the series of one tenant's requests at the own target, by which
// an operator finds who asks for more than the others.
type tenant struct {
	scope tally.Scope
	ran   tally.Counter // requests that the gate let run
	kept  tally.Counter // requests that were refused
	busy  tally.Counter // milliseconds for which requests ran
}

func newTenant(root tally.Scope, name string) *tenant {
	scope := root.Tagged(map[string]string{labelTenant: name})
	return &tenant{
		scope: scope,
		ran:   scope.Counter(nameTenantRuns),
		kept:  scope.Counter(nameTenantRefusals),
		busy:  scope.Counter(nameTenantBusy),
	}
}

// take counts a serve hop.
func (t *tenant) take(h *dataplane.Hop) {
	if h.Outcome == request.Refused {
		t.kept.Inc(1)
		return
	}
	t.ran.Inc(1)
	t.busy.Inc(int64((h.End.Sub(h.Start) - h.Queued) / time.Millisecond))
}

// owner returns the tenant whose series a tenant is counted in. Tenants that the
// configuration doesn't name, and those beyond the bound, share one.
func (s *state) owner(name request.Tenant) string {
	if _, ok := s.tenants[string(name)]; ok {
		return string(name)
	}
	if s.owners[string(name)] && len(s.tenants) < maxTenants {
		return string(name)
	}
	return other
}

// tenant returns a tenant's series, creating them at their first use.
func (m *Metrics) tenant(name request.Tenant) *tenant {
	s := m.state.Load()
	if t, ok := s.tenants[s.owner(name)]; ok {
		return t
	}
	return m.addTenant(name)
}

// addTenant creates a tenant's series, or finds those that stand for it.
func (m *Metrics) addTenant(name request.Tenant) *tenant {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := *m.state.Load()
	key := s.owner(name)
	if t, ok := s.tenants[key]; ok {
		return t
	}
	t := newTenant(m.scope, key)
	s.tenants = maps.Clone(s.tenants)
	s.tenants[key] = t
	m.state.Store(&s)
	return t
}

// ownersOf returns the tenants of services, whose names end with them.
func ownersOf(services []request.Service) map[string]bool {
	owners := make(map[string]bool)
	for _, s := range services {
		name := string(s)
		owners[name[strings.LastIndexByte(name, '.')+1:]] = true
	}
	return owners
}

// retireTenants ends the series of tenants that are no longer in s.
func (m *Metrics) retireTenants(s *state) {
	s.tenants = maps.Clone(s.tenants)
	for name, t := range s.tenants {
		if name == other || s.owners[name] {
			continue
		}
		delete(s.tenants, name)
		if c, ok := t.scope.(io.Closer); ok {
			_ = c.Close() // only the root's can fail
		}
		m.vecs.removeTenant(name)
	}
}
