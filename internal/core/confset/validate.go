package confset

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"peardrift/internal/core/request"
)

// Bounds of what a set may declare.
const (
	MaxServices    = 4096
	MaxClasses     = 128 // in a service
	MaxCalls       = 256 // in a service
	MaxAllow       = 256 // in a service
	MaxNameLength  = 40
	MaxPathLength  = 512
	MaxSlots       = 100_000
	MaxConnections = 1_000_000
	MaxAttempts    = 16
	MinDeadline    = time.Millisecond
	MaxDeadline    = time.Hour
	MaxRemember    = 30 * 24 * time.Hour
	MaxBodyLimit   = int64(4) << 30
)

// methods are those that a class may name.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Problem is one fault of a set.
type Problem struct {
	Field   string // path from the set's root, for example "services[2].classes[0].path"
	Message string
}

// validator gathers the problems of one set.
type validator struct {
	problems []Problem
}

func (v *validator) check(ok bool, field, format string, args ...any) {
	if !ok {
		v.problems = append(v.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
	}
}

// Validate returns all the problems of a set, none if it may be accepted.
func Validate(s Set) []Problem {
	v := &validator{}
	v.name("tenant", string(s.Tenant))
	v.check(s.Share > 0 && s.Share <= 1 && !math.IsNaN(s.Share), "share", "must be above 0 and at most 1")
	v.check(len(s.Services) > 0, "services", "must name at least one service")
	v.check(len(s.Services) <= MaxServices, "services", "must have at most %d services", MaxServices)
	known := make(map[string]bool)
	for i, svc := range s.Services {
		field := fmt.Sprintf("services[%d]", i)
		v.check(!known[svc.Name], field+".name", "%q is already the name of another service", svc.Name)
		known[svc.Name] = true
		v.service(field, svc)
	}
	for i, svc := range s.Services {
		v.calls(fmt.Sprintf("services[%d]", i), s.Tenant, svc, known)
	}
	return v.problems
}

func (v *validator) service(field string, s Service) {
	v.name(field+".name", s.Name)
	v.check(s.Slots >= 1 && s.Slots <= MaxSlots, field+".slots", "must be 1 to %d", MaxSlots)
	v.check(s.Connections >= 1 && s.Connections <= MaxConnections,
		field+".connections", "must be 1 to %d", MaxConnections)
	v.check(s.Connections >= s.Slots || s.Connections < 1,
		field+".connections", "must be at least the %d slots, or some can never be used", s.Slots)
	v.check(len(s.Allow) <= MaxAllow, field+".allow", "must have at most %d tenants", MaxAllow)
	for i, t := range s.Allow {
		v.name(fmt.Sprintf("%s.allow[%d]", field, i), string(t))
		v.check(!slices.Contains(s.Allow[:i], t), fmt.Sprintf("%s.allow[%d]", field, i), "%q is named twice", t)
	}
	v.check(len(s.Classes) > 0, field+".classes", "must have at least one class, or no request is served")
	v.check(len(s.Classes) <= MaxClasses, field+".classes", "must have at most %d classes", MaxClasses)
	for i, c := range s.Classes {
		v.class(fmt.Sprintf("%s.classes[%d]", field, i), c, s.Classes[:i])
	}
}

func (v *validator) class(field string, c Class, earlier []Class) {
	v.name(field+".name", string(c.Name))
	for j, e := range earlier {
		v.check(e.Name != c.Name, field+".name", "%q is already the name of classes[%d]", c.Name, j)
		v.check(e.Path != c.Path || e.Method != c.Method, field+".path",
			"matches the same requests as classes[%d]", j)
	}
	v.check(c.Method == "" || slices.Contains(methods, c.Method), field+".method",
		"must be one of %s, or left out for any", strings.Join(methods, ", "))
	v.check(len(c.Path) <= MaxPathLength, field+".path", "must have at most %d bytes", MaxPathLength)
	v.check(isClean(c.Path) && !strings.ContainsAny(c.Path, "?#%"), field+".path",
		"must start with / and have no empty, . or .. segment, no query and no percent sign")
	v.check(c.Importance <= request.MaxImportance, field+".importance", "must be 0 to %d", request.MaxImportance)
	v.check(c.Deadline >= MinDeadline && c.Deadline <= MaxDeadline, field+".deadline",
		"must be %v to %v", MinDeadline, MaxDeadline)
	v.check(c.Attempts >= 0 && c.Attempts <= MaxAttempts, field+".attempts", "must be 0 to %d", MaxAttempts)
	v.check(c.MaxBody >= 0 && c.MaxBody <= MaxBodyLimit, field+".maxBody", "must be 0 to %d bytes", MaxBodyLimit)
	v.remember(field, c)
}

// remember checks what only concerns at-most-once classes.
func (v *validator) remember(field string, c Class) {
	if !c.AtMostOnce {
		v.check(c.Remember == 0, field+".remember", "is only for atMostOnce classes")
		return
	}
	v.check(c.Remember <= MaxRemember, field+".remember", "must be at most %v", MaxRemember)
	v.check(c.Remember >= c.Deadline, field+".remember",
		"must be at least the deadline of %v, or a key is forgotten while its request runs", c.Deadline)
	v.check(c.Method != "" && c.Method != "GET" && c.Method != "HEAD", field+".method",
		"of an atMostOnce class must be named, and neither GET nor HEAD")
}

// calls checks that the calls inside the tenant name services of the set.
// Whether another tenant allows a call is its own set's matter, and is decided
// for each request.
func (v *validator) calls(field string, t request.Tenant, s Service, services map[string]bool) {
	v.check(len(s.Calls) <= MaxCalls, field+".calls", "must have at most %d services", MaxCalls)
	for i, callee := range s.Calls {
		at := fmt.Sprintf("%s.calls[%d]", field, i)
		name, tenant, _ := strings.Cut(string(callee), ".")
		if !isName(name) || !isName(tenant) {
			v.check(false, at, "%q must have the form service.tenant", callee)
			continue
		}
		v.check(!slices.Contains(s.Calls[:i], callee), at, "%q is named twice", callee)
		v.check(callee != FullName(s.Name, t), at, "a service must not call itself")
		v.check(services[name] || request.Tenant(tenant) != t, at, "%q is no service of this set", callee)
	}
}

func (v *validator) name(field, name string) {
	v.check(isName(name), field,
		"%q must be 1 to %d lower-case letters, digits and hyphens, and begin with a letter", name, MaxNameLength)
}

// isName reports whether s can be a label of a host name.
func isName(s string) bool {
	if s == "" || len(s) > MaxNameLength || s[0] < 'a' || s[0] > 'z' || s[len(s)-1] == '-' {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}
