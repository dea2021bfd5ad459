package configset

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"peardrift/internal/core/request"
)

// Route directs requests for a host and a path prefix to the service that
// declares it. Several services may declare the same route, each with its
// weight; they then share its requests and must agree on all other fields.
type Route struct {
	// Name is the class of the route's requests, unique in the set.
	Name request.Class `msgpack:"n"`

	// Host is the name in the Host header, without a port, in lower case.
	Host string `msgpack:"h"`

	// Prefix begins and ends with a slash. The longest prefix of the host's
	// routes that matches the path wins; the path is compared as sent,
	// undecoded.
	Prefix string `msgpack:"p"`

	// Weight is the service's share of the requests, relative to the weights
	// that other services declare for the route.
	Weight int `msgpack:"w"`

	// Importance orders refusal: requests of lower importance are refused
	// earlier.
	Importance request.Importance `msgpack:"i"`

	// Deadline is the longest time that a caller waits.
	Deadline time.Duration `msgpack:"d"`

	// Objective is the target response time, within which an answer is worth
	// most to the caller; 0 if none is declared.
	Objective time.Duration `msgpack:"o,omitempty"`

	// Runs is the number of targets on which one request may run, at least 1.
	Runs int `msgpack:"r"`

	// NeverRepeat requests must never run twice, so they are not retried once they may
	// have run. Unlike an at-most-once class they need no key: a repeated call
	// is a new request.
	NeverRepeat bool `msgpack:"u,omitempty"`

	// MaxBody is the maximum size of a request's body in bytes.
	MaxBody int64 `msgpack:"b"`

	// Anonymous requests need no key, even where others do.
	Anonymous bool `msgpack:"a,omitempty"`
}

// Limits of routes.
const (
	MaxRoutes = 4096 // per service
	MaxWeight = 1_000_000
)

// RouteInfo is a compiled route. Its fields are read-only.
type RouteInfo struct {
	Host        string
	Prefix      string
	Class       Class // the route's declarations for its requests
	Services    []WeightedService
	TotalWeight int // sum of the weights of Services
}

// WeightedService is one of the services that share a route's requests.
type WeightedService struct {
	Service *ServiceInfo
	Weight  int
}

// toClass converts a route's declarations to a class, the form that the traffic
// path uses. It has more attempts than runs, as attempts include those on
// targets that refused the request.
func (r *Route) toClass() Class {
	c := Class{
		Name: r.Name, Path: r.Prefix, Importance: r.Importance, Deadline: r.Deadline,
		Objective: r.Objective, Attempts: r.Runs + extraRouteAttempts, Runs: r.Runs,
		Repeat: Repeatable, MaxBody: r.MaxBody, Anonymous: r.Anonymous,
	}
	if r.NeverRepeat {
		c.Repeat = NeverRepeatable
	}
	return c
}

// extraRouteAttempts is how many targets beyond its runs may refuse a request
// before it fails: one that is leaving, and one that is full.
const extraRouteAttempts = 2

// equalExceptWeight reports whether two services declare the same route, apart
// from its weight.
func (r Route) equalExceptWeight(o Route) bool {
	r.Weight = o.Weight
	return r == o
}

// Route returns the route of a request by its host and its undecoded path
// without the query. It does not allocate.
func (x *Index) Route(host, path string) (*RouteInfo, bool) {
	if x == nil {
		return nil, false
	}
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasRoutes reports whether requests are routed by host and path instead of by
// service name.
func (x *Index) HasRoutes() bool { return x != nil && len(x.routes) > 0 }

// compileRoutes compiles the routes of all services of an index, by host.
func compileRoutes(services map[request.Service]*ServiceInfo) map[string][]*RouteInfo {
	type routeKey struct{ host, prefix string }
	found := make(map[routeKey]*RouteInfo)
	for _, info := range services {
		for i := range info.Routes {
			r := &info.Routes[i]
			key := routeKey{r.Host, r.Prefix}
			have := found[key]
			if have == nil {
				have = &RouteInfo{Host: r.Host, Prefix: r.Prefix, Class: r.toClass()}
				found[key] = have
			}
			have.Services = append(have.Services, WeightedService{Service: info, Weight: r.Weight})
			have.TotalWeight += r.Weight
		}
	}
	hosts := make(map[string][]*RouteInfo)
	for _, r := range found {
		slices.SortFunc(r.Services, func(a, b WeightedService) int { return cmp.Compare(a.Service.Name, b.Service.Name) })
		hosts[r.Host] = append(hosts[r.Host], r)
	}
	for _, rs := range hosts {
		slices.SortFunc(rs, func(a, b *RouteInfo) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
	return hosts
}

// checkRoutes validates a service's routes against each other and against those
// of the services checked before.
func (v *validator) checkRoutes(field fieldPath, routes []Route, known map[request.Class]Route) {
	if len(routes) > MaxRoutes {
		v.report(field.withKey("routes"), "must have at most %d routes", MaxRoutes)
		return
	}
	here := make(map[request.Class]bool, len(routes))
	for i, r := range routes {
		field.class = i
		if here[r.Name] {
			v.report(field.withKey("name"), "%q is declared twice", r.Name)
		}
		here[r.Name] = true
		if have, ok := known[r.Name]; ok && !have.equalExceptWeight(r) {
			v.report(field.withKey("name"), "%q is declared differently by another service", r.Name)
		}
		known[r.Name] = r
		key := [2]string{r.Host, r.Prefix}
		if have, ok := v.routeNames[key]; ok && have != r.Name {
			v.report(field.withKey("prefix"), "%q matches the same requests as %q", r.Name, have)
		}
		v.routeNames[key] = r.Name
		v.checkRoute(field, r)
	}
}

func (v *validator) checkRoute(field fieldPath, r Route) {
	if r.Name == "" || len(r.Name) > MaxPathLength {
		v.report(field.withKey("name"), "must have 1 to %d bytes", MaxPathLength)
	}
	if r.Host == "" || r.Host != strings.ToLower(r.Host) || strings.ContainsAny(r.Host, ":/ ") {
		v.report(field.withKey("host"), "%q must be a host name in lower case", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") || len(r.Prefix) > MaxPathLength {
		v.report(field.withKey("prefix"), "must begin and end with a slash and have at most %d bytes", MaxPathLength)
	}
	checkRange(v, field.withKey("weight"), r.Weight, 0, MaxWeight)
	checkRange(v, field.withKey("importance"), r.Importance, 0, request.MaxImportance)
	checkRange(v, field.withKey("deadline"), r.Deadline, MinDeadline, MaxDeadline)
	checkRange(v, field.withKey("objective"), r.Objective, 0, MaxDeadline)
	checkRange(v, field.withKey("runs"), r.Runs, 1, MaxAttempts)
	checkRange(v, field.withKey("maxBody"), r.MaxBody, 0, MaxBodyLimit)
}
