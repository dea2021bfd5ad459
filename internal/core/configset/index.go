package configset

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"peardrift/internal/core/request"
)

// Index holds the sets of all tenants in compiled form for lookups by the
// traffic path. It is immutable; the zero value and nil are empty indexes.
type Index struct {
	services map[request.Service]*ServiceInfo
	tenants  map[request.Tenant]tenantInfo
	routes   map[string][]*RouteInfo // by host, longest prefix first

	organisations map[request.Organisation]*OrganisationInfo
	byKey         map[request.Tenant]organisationsByKey
}

type tenantInfo struct {
	version       int64
	share         float64
	limits        ClientLimits
	organisations []Organisation
}

// NewIndex compiles validated sets, at most one per tenant.
func NewIndex(sets ...Set) *Index {
	idx := &Index{}
	for _, s := range sets {
		idx = idx.WithSet(s)
	}
	return idx
}

// WithSet returns an index in which s replaces the tenant's set; the receiver is
// not changed. Unchanged services are compiled again too, so counters must be
// keyed by name and not by *ServiceInfo.
func (x *Index) WithSet(s Set) *Index {
	next := &Index{
		services: make(map[request.Service]*ServiceInfo, len(s.Services)),
		tenants:  make(map[request.Tenant]tenantInfo),
	}
	if x != nil {
		maps.Copy(next.tenants, x.tenants)
		for name, info := range x.services {
			if info.Tenant != s.Tenant {
				next.services[name] = info
			}
		}
	}
	next.tenants[s.Tenant] = tenantInfo{version: s.Version, share: s.Share, limits: s.Limits, organisations: s.Organisations}
	for _, svc := range s.Services {
		info := newServiceInfo(s.Tenant, svc)
		next.services[info.Name] = info
	}
	next.routes = compileRoutes(next.services)
	next.compileOrganisations()
	return next
}

// Service looks up a service by the name that callers use, for example
// "feed.khaosan". It does not allocate.
func (x *Index) Service(name request.Service) (*ServiceInfo, bool) {
	if x == nil {
		return nil, false
	}
	info, ok := x.services[name]
	return info, ok
}

// Share returns the tenant's share of capacity under contention, 0 if it has no
// set.
func (x *Index) Share(t request.Tenant) float64 {
	if x == nil {
		return 0
	}
	return x.tenants[t].share
}

// Version returns the version of the tenant's set, 0 if it has none.
func (x *Index) Version(t request.Tenant) int64 {
	if x == nil {
		return 0
	}
	return x.tenants[t].version
}

// Tenants returns the tenants that have a set, sorted.
func (x *Index) Tenants() []request.Tenant {
	if x == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(x.tenants))
}

// Services returns the names of all services, sorted.
func (x *Index) Services() []request.Service {
	if x == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(x.services))
}

// ServiceInfo is a compiled service. Its fields are read-only.
type ServiceInfo struct {
	Name        request.Service
	Tenant      request.Tenant
	Slots       int
	Connections int
	Calls       []request.Service
	Allow       []request.Tenant
	Classes     []Class // longest path first
	Routes      []Route
}

func newServiceInfo(t request.Tenant, s Service) *ServiceInfo {
	info := &ServiceInfo{
		Name:        FullName(s.Name, t),
		Tenant:      t,
		Slots:       s.Slots,
		Connections: s.Connections,
		Calls:       slices.Clone(s.Calls),
		Allow:       slices.Clone(s.Allow),
		Classes:     slices.Clone(s.Classes),
		Routes:      s.Routes,
	}
	slices.SortStableFunc(info.Classes, compareClasses)
	return info
}

// compareClasses orders longer paths first, then classes that name a method.
func compareClasses(a, b Class) int {
	return cmp.Or(
		cmp.Compare(len(b.Path), len(a.Path)),
		cmp.Compare(a.Path, b.Path),
		cmp.Compare(b.Method, a.Method),
	)
}

// Match returns the class of a request by its method and its decoded path
// without the query. It does not allocate.
//
// A path that a target may normalise to another one ("//", "/./", "/../", no
// leading slash) matches nothing. Otherwise a caller could send an at-most-once
// request as "/feed/../payouts" and have it classified as a plain read, so it
// could run twice, unnoticed until the second payout.
func (s *ServiceInfo) Match(method, path string) (*Class, bool) {
	if !isCleanPath(path) {
		return nil, false
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if (c.Method == "" || c.Method == method) && hasPathPrefix(path, c.Path) {
			return c, true
		}
	}
	return nil, false
}

// Class looks up a class by name. It does not allocate.
func (s *ServiceInfo) Class(name request.Class) (*Class, bool) {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i], true
		}
	}
	return nil, false
}

// AllowsTenant reports whether requests of tenant t may call this service.
func (s *ServiceInfo) AllowsTenant(t request.Tenant) bool {
	return t == s.Tenant || slices.Contains(s.Allow, t)
}

// MayCall reports whether this service declares calls to the named service.
func (s *ServiceInfo) MayCall(name request.Service) bool {
	return slices.Contains(s.Calls, name)
}

// hasPathPrefix reports whether prefix matches whole segments of path.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// isCleanPath reports whether path starts with a slash and has no empty, "." or
// ".." segment except an empty last one.
func isCleanPath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	for rest := path[1:]; ; {
		segment, tail, more := strings.Cut(rest, "/")
		if segment == "." || segment == ".." || (segment == "" && more) {
			return false
		}
		if !more {
			return true
		}
		rest = tail
	}
}
