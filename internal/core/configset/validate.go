package configset

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"peardrift/internal/core/request"
)

// Limits of a set.
const (
	MaxServices     = 4096
	MaxClasses      = 128 // per service
	MaxCalls        = 256 // per service
	MaxAllow        = 256 // per service
	MaxNameLength   = 40
	MaxTenantName   = 32 // so that a head fits in the value of one gossiped fact
	MaxPathLength   = 512
	MaxSlots        = 100_000
	MaxConnections  = 1_000_000
	MaxAttempts     = 16
	MinDeadline     = time.Millisecond
	MaxDeadline     = time.Hour
	MaxKeyRetention = 30 * 24 * time.Hour
	MaxBodyLimit    = int64(4) << 30
)

// allowedMethods are the methods that a class may name.
var allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Problem is one validation error of a set.
type Problem struct {
	Field   string // path from the set's root, for example "services[2].classes[0].path"
	Message string
}

// fieldPath is the location of a field in a set. It is formatted only for a
// problem, as a node validates a whole set at each change.
type fieldPath struct {
	service int // index, -1 for a field of the set itself
	class   int // index, -1 for a field of the service itself
	key     string
	index   int // index in a list, -1 for the field itself
}

func (p fieldPath) withKey(key string) fieldPath { p.key = key; return p }

func (p fieldPath) withIndex(i int) fieldPath { p.index = i; return p }

// String returns the path from the set's root.
func (p fieldPath) String() string {
	var b strings.Builder
	if p.service >= 0 {
		fmt.Fprintf(&b, "services[%d].", p.service)
	}
	if p.class >= 0 {
		fmt.Fprintf(&b, "classes[%d].", p.class)
	}
	b.WriteString(p.key)
	if p.index >= 0 {
		fmt.Fprintf(&b, "[%d]", p.index)
	}
	return b.String()
}

// validator collects the problems of one set.
type validator struct {
	problems   []Problem
	hasRoutes  bool                        // some service of the set declares routes
	routeNames map[[2]string]request.Class // route names by host and prefix
}

func (v *validator) report(field fieldPath, format string, args ...any) {
	v.problems = append(v.problems, Problem{Field: field.String(), Message: fmt.Sprintf(format, args...)})
}

// checkRange checks that a number lies in a range, both ends included.
func checkRange[N int | int64 | time.Duration | request.Importance](v *validator, field fieldPath, n, low, high N) {
	if n < low || n > high {
		v.report(field, "must be %v to %v", low, high)
	}
}

// Validate returns all problems of a set, none if it is valid.
func Validate(s Set) []Problem {
	v := &validator{routeNames: make(map[[2]string]request.Class)}
	root := fieldPath{service: -1, class: -1, index: -1}
	v.checkName(root.withKey("tenant"), string(s.Tenant), MaxTenantName)
	if !(s.Share > 0 && s.Share <= 1) { // also rejects NaN
		v.report(root.withKey("share"), "must be above 0 and at most 1")
	}
	if n := len(s.Services); n == 0 || n > MaxServices {
		v.report(root.withKey("services"), "must have 1 to %d services, not %d", MaxServices, n)
	}
	known := make(map[string]bool, len(s.Services))
	v.hasRoutes = slices.ContainsFunc(s.Services, func(svc Service) bool { return len(svc.Routes) > 0 })
	routes := make(map[request.Class]Route)
	for i, svc := range s.Services {
		field := fieldPath{service: i, class: -1, index: -1}
		if known[svc.Name] {
			v.report(field.withKey("name"), "%q is already the name of another service", svc.Name)
		}
		known[svc.Name] = true
		v.checkService(field, svc)
		v.checkRoutes(field, svc.Routes, routes)
	}
	v.checkOrganisations(s.Organisations)
	for i, svc := range s.Services {
		v.checkCalls(fieldPath{service: i, class: -1, key: "calls"}, s.Tenant, svc, known)
	}
	return v.problems
}

func (v *validator) checkService(field fieldPath, s Service) {
	v.checkName(field.withKey("name"), s.Name, MaxNameLength)
	checkRange(v, field.withKey("slots"), s.Slots, 1, MaxSlots)
	checkRange(v, field.withKey("connections"), s.Connections, 1, MaxConnections)
	if s.Connections >= 1 && s.Connections < s.Slots {
		v.report(field.withKey("connections"), "must be at least the %d slots, or some can never be used", s.Slots)
	}
	v.checkAllow(field.withKey("allow"), s.Allow)
	if n := len(s.Classes); n == 0 && !v.hasRoutes || n > MaxClasses {
		v.report(field.withKey("classes"), "must have 1 to %d classes, not %d", MaxClasses, n)
		return
	}
	for i, c := range s.Classes {
		field.class = i
		v.checkClass(field, c, s.Classes[:i])
	}
}

func (v *validator) checkAllow(field fieldPath, tenants []request.Tenant) {
	if len(tenants) > MaxAllow {
		v.report(field, "must have at most %d tenants", MaxAllow)
		return
	}
	for i, t := range tenants {
		v.checkName(field.withIndex(i), string(t), MaxTenantName)
		if slices.Contains(tenants[:i], t) {
			v.report(field.withIndex(i), "%q is named twice", t)
		}
	}
}

func (v *validator) checkClass(field fieldPath, c Class, earlier []Class) {
	v.checkName(field.withKey("name"), string(c.Name), MaxNameLength)
	for j, e := range earlier {
		if e.Name == c.Name {
			v.report(field.withKey("name"), "%q is already the name of classes[%d]", c.Name, j)
		}
		if e.Path == c.Path && e.Method == c.Method {
			v.report(field.withKey("path"), "matches the same requests as classes[%d]", j)
		}
	}
	if c.Method != "" && !slices.Contains(allowedMethods, c.Method) {
		v.report(field.withKey("method"), "must be one of %s, or left out for any", strings.Join(allowedMethods, ", "))
	}
	if len(c.Path) > MaxPathLength {
		v.report(field.withKey("path"), "must have at most %d bytes", MaxPathLength)
	}
	if !isCleanPath(c.Path) || strings.ContainsAny(c.Path, "?#%") {
		v.report(field.withKey("path"), "must start with / and have no empty, . or .. segment, no query and no percent sign")
	}
	checkRange(v, field.withKey("importance"), c.Importance, 0, request.MaxImportance)
	checkRange(v, field.withKey("deadline"), c.Deadline, MinDeadline, MaxDeadline)
	checkRange(v, field.withKey("objective"), c.Objective, 0, MaxDeadline)
	checkRange(v, field.withKey("attempts"), c.Attempts, 0, MaxAttempts)
	checkRange(v, field.withKey("maxBody"), c.MaxBody, 0, MaxBodyLimit)
	v.checkKeyRetention(field, c)
}

// checkKeyRetention validates the fields that concern only at-most-once classes.
func (v *validator) checkKeyRetention(field fieldPath, c Class) {
	switch {
	case !c.AtMostOnce && c.KeyRetention != 0:
		v.report(field.withKey("remember"), "is only for atMostOnce classes")
	case c.AtMostOnce && c.KeyRetention > MaxKeyRetention:
		v.report(field.withKey("remember"), "must be at most %v", MaxKeyRetention)
	case c.AtMostOnce && c.KeyRetention < c.Deadline:
		v.report(field.withKey("remember"), "must be at least the deadline of %v, or a key is forgotten while its request runs",
			c.Deadline)
	}
	if c.AtMostOnce && (c.Method == "" || c.Method == "GET" || c.Method == "HEAD") {
		v.report(field.withKey("method"), "of an atMostOnce class must be named, and neither GET nor HEAD")
	}
}

// checkCalls checks that calls within the tenant name services of the set.
// Whether another tenant allows a call depends on that tenant's set and is
// decided per request.
func (v *validator) checkCalls(field fieldPath, t request.Tenant, s Service, known map[string]bool) {
	if len(s.Calls) > MaxCalls {
		v.report(field.withIndex(-1), "must have at most %d services", MaxCalls)
		return
	}
	for i, callee := range s.Calls {
		name, tenant, _ := strings.Cut(string(callee), ".")
		own := request.Tenant(tenant) == t
		switch {
		case !isName(name, MaxNameLength) || !isName(tenant, MaxTenantName):
			v.report(field.withIndex(i), "%q must have the form service.tenant", callee)
		case slices.Contains(s.Calls[:i], callee):
			v.report(field.withIndex(i), "%q is named twice", callee)
		case own && name == s.Name:
			v.report(field.withIndex(i), "a service must not call itself")
		case own && !known[name]:
			v.report(field.withIndex(i), "%q is not a service of this set", callee)
		}
	}
}

func (v *validator) checkName(field fieldPath, name string, most int) {
	if !isName(name, most) {
		v.report(field, "%q must be 1 to %d lower-case letters, digits and hyphens, and begin with a letter", name, most)
	}
}

// isName reports whether s is a valid host name label.
func isName(s string, most int) bool {
	if s == "" || len(s) > most || s[0] < 'a' || s[0] > 'z' || s[len(s)-1] == '-' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
