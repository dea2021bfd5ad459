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

// maxTenants limits the tenants with their own series on one node.
const maxTenants = 64

// tenantSeries holds the series of one tenant's requests at this node's target.
// Operators use them to find the tenant that causes the most load.
type tenantSeries struct {
	scope      tally.Scope
	runs       tally.Counter // requests that were admitted
	refusals   tally.Counter // requests that were refused
	busyMillis tally.Counter // total run time of requests in milliseconds
}

func newTenantSeries(root tally.Scope, name string) *tenantSeries {
	scope := root.Tagged(map[string]string{labelTenant: name})
	return &tenantSeries{
		scope:      scope,
		runs:       scope.Counter(nameTenantRuns),
		refusals:   scope.Counter(nameTenantRefusals),
		busyMillis: scope.Counter(nameTenantBusy),
	}
}

// observe records a serve hop.
func (t *tenantSeries) observe(h *dataplane.Hop) {
	if h.Outcome == request.Refused {
		t.refusals.Inc(1)
		return
	}
	t.runs.Inc(1)
	t.busyMillis.Inc(int64((h.End.Sub(h.Start) - h.Queued) / time.Millisecond))
}

// seriesTenant returns the tenant label under which a tenant is counted. Tenants
// that are not configured, and those beyond maxTenants, share one.
func (s *state) seriesTenant(name request.Tenant) string {
	if _, ok := s.tenants[string(name)]; ok {
		return string(name)
	}
	if s.configuredTenants[string(name)] && len(s.tenants) < maxTenants {
		return string(name)
	}
	return other
}

// tenant returns a tenant's series and creates them at first use.
func (m *Metrics) tenant(name request.Tenant) *tenantSeries {
	s := m.state.Load()
	if t, ok := s.tenants[s.seriesTenant(name)]; ok {
		return t
	}
	return m.addTenant(name)
}

// addTenant creates a tenant's series, or returns the existing or shared ones.
func (m *Metrics) addTenant(name request.Tenant) *tenantSeries {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := *m.state.Load()
	key := s.seriesTenant(name)
	if t, ok := s.tenants[key]; ok {
		return t
	}
	t := newTenantSeries(m.scope, key)
	s.tenants = maps.Clone(s.tenants)
	s.tenants[key] = t
	m.state.Store(&s)
	return t
}

// tenantsOf returns the tenants of services: the last part of a service's name.
func tenantsOf(services []request.Service) map[string]bool {
	tenants := make(map[string]bool)
	for _, s := range services {
		name := string(s)
		tenants[name[strings.LastIndexByte(name, '.')+1:]] = true
	}
	return tenants
}

// removeTenants removes the series of tenants that are no longer configured in s.
func (m *Metrics) removeTenants(s *state) {
	s.tenants = maps.Clone(s.tenants)
	for name, t := range s.tenants {
		if name == other || s.configuredTenants[name] {
			continue
		}
		delete(s.tenants, name)
		if c, ok := t.scope.(io.Closer); ok {
			_ = c.Close() // only the root scope's Close can fail
		}
		m.vecs.deleteTenant(name)
	}
}
