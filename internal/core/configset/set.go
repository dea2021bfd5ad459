package configset

import (
	"time"

	"peardrift/internal/core/request"
)

// Set is the complete configuration of one tenant.
//
// The encoded field names of its services are single letters, as nodes exchange
// sets under a tight byte budget. New names may be added, but none changes its
// meaning, and a decoder skips unknown ones.
type Set struct {
	Tenant request.Tenant

	// Version is assigned when the set is accepted, starts at 1 and only
	// increases. It is not part of the encoding, so the same content has the
	// same digest in each version.
	Version int64

	// Share is the fraction of the shared capacity that the tenant may use
	// under contention, above 0 and at most 1. Idle capacity is available to
	// all tenants.
	Share float64

	Services []Service

	// Limits bounds what callers may send.
	Limits ClientLimits

	// Organisations are the organisations that may call; if there are none,
	// callers need no keys.
	Organisations []Organisation
}

// Service declares one service and the requests it receives.
type Service struct {
	// Name is the service's name within its tenant, a DNS label.
	Name string `msgpack:"n"`

	// Slots is the number of requests that one target runs concurrently.
	Slots int `msgpack:"s"`

	// Connections is the number of connections that one target accepts.
	Connections int `msgpack:"c"`

	// Calls lists the services that this one calls, as "service.tenant".
	Calls []request.Service `msgpack:"l,omitempty"`

	// Allow lists the other tenants whose requests this service accepts.
	Allow []request.Tenant `msgpack:"w,omitempty"`

	// Classes classify requests by method and path.
	Classes []Class `msgpack:"k"`

	// Routes direct requests to this service by host and path. If a set
	// declares any, callers address hosts instead of services, and services
	// need no classes.
	Routes []Route `msgpack:"r,omitempty"`
}

// Class declares a class of requests.
type Class struct {
	// Name is unique in its service.
	Name request.Class `msgpack:"n"`

	// Method is the HTTP method; empty matches any.
	Method string `msgpack:"m,omitempty"`

	// Path is a prefix of whole path segments: "/a" matches "/a" and "/a/b",
	// not "/ab". The longest matching prefix wins; among equally long ones, a
	// class that names a method wins.
	Path string `msgpack:"p"`

	// Importance orders refusal: requests of lower importance are refused
	// earlier.
	Importance request.Importance `msgpack:"i"`

	// Deadline is the time limit of a request of this class that arrives
	// without a shorter deadline of its own. DefaultDeadline if not declared.
	Deadline time.Duration `msgpack:"d"`

	// Attempts is the retry budget of the request: attempts beyond the first
	// ones, over its whole call chain and not per hop. DefaultAttempts if not
	// declared; 0 disables retries.
	Attempts int `msgpack:"a"`

	// AtMostOnce requests carry an idempotency key and never run twice.
	AtMostOnce bool `msgpack:"o,omitempty"`

	// KeyRetention is the retention time of an at-most-once request's key.
	// DefaultKeyRetention if not declared; 0 for other classes.
	KeyRetention time.Duration `msgpack:"r,omitempty"`

	// MaxBody is the maximum size of a request's body in bytes. DefaultMaxBody
	// if not declared.
	MaxBody int64 `msgpack:"b"`

	// Anonymous requests need no key, even where others do.
	Anonymous bool `msgpack:"y,omitempty"`

	// Objective is the time within which an answer is worth most; 0 if none.
	Objective time.Duration `msgpack:"v,omitempty"`

	// The remaining fields are set for routes only and never encoded with a
	// class.

	// Repeat says whether a request may run more than once.
	Repeat RepeatPolicy `msgpack:"-"`

	// Runs is the number of targets on which a request may run; 0: limited by
	// its attempts only.
	Runs int `msgpack:"-"`
}

// RepeatPolicy says whether a request that may have run may be sent again.
type RepeatPolicy uint8

const (
	// ByMethod follows the method's definition (RFC 9110, 9.2.2).
	ByMethod RepeatPolicy = iota
	// Repeatable requests may run more than once, whatever their method.
	Repeatable
	// NeverRepeatable requests never run twice, whatever their method.
	NeverRepeatable
)

// Defaults of classes.
const (
	DefaultDeadline           = 2 * time.Second
	DefaultAttempts           = 6
	DefaultKeyRetention       = 24 * time.Hour
	DefaultMaxBody      int64 = 1 << 20
)

// FullName returns the name that callers use for a service.
func FullName(service string, tenant request.Tenant) request.Service {
	return request.Service(service + "." + string(tenant))
}
