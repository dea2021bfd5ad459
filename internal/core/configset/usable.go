package configset

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/request"
)

const (
	// maxUsableTime limits times of routes. It leaves room for sums of times.
	maxUsableTime = 1000 * time.Hour
	// maxUsableWeight limits weights. It leaves room for sums of weights.
	maxUsableWeight = 1 << 40
	// maxClassName limits a class's name in bytes, as each call carries it.
	maxClassName = 200
)

// Usable returns the part of a set that nodes can put in force, and the problems of the rest.
//
// Validate checks what an operator may declare here. A set that was accepted elsewhere may
// exceed its limits, and a set of which one part is unusable must not leave an older one in
// force. Usable therefore only requires what nodes can't work without: it changes numbers to
// the nearest usable ones and leaves out parts that have no meaning. A route that
// a service declares twice gets the sum of the weights. Usable finds no problem in its own
// result.
func Usable(s Set) (Set, []Problem) {
	u := &usable{set: s}
	if !(s.Share > 0 && s.Share <= 1) { // also NaN
		u.report("share", "is %v instead of above 0 and at most 1; 1 is used", s.Share)
		u.set.Share = 1
	}
	u.limits()
	u.services()
	u.organisations()
	return u.set, u.problems
}

// usable builds the usable part of a set.
type usable struct {
	set      Set
	problems []Problem
}

func (u *usable) report(field, format string, args ...any) {
	u.problems = append(u.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

// routeKey identifies the requests of a route.
type routeKey struct{ host, prefix string }

func (r *Route) key() routeKey { return routeKey{r.Host, r.Prefix} }

func (u *usable) services() {
	names := make(map[string]bool, len(u.set.Services))
	declared := make(map[routeKey]Route)
	kept := make([]Service, 0, len(u.set.Services))
	for i, svc := range u.set.Services {
		field := fmt.Sprintf("services[%d]", i)
		switch {
		case !isHeaderText(svc.Name):
			u.report(field, "left out: the name %q is empty or can't be sent in a header", svc.Name)
		case names[svc.Name]:
			u.report(field, "left out: %q is already the name of another service", svc.Name)
		default:
			names[svc.Name] = true
			svc.Slots = clamp(u, field+".slots", svc.Slots, 1, MaxSlots)
			svc.Connections = clamp(u, field+".connections", svc.Connections, 1, MaxConnections)
			svc.Routes = u.routes(field, svc.Routes, declared)
			kept = append(kept, svc)
		}
	}
	u.set.Services = kept
	u.nameClasses()
}

// routes returns the usable routes of a service. declared holds the routes of the services
// before and is updated.
func (u *usable) routes(service string, routes []Route, declared map[routeKey]Route) []Route {
	at := make(map[routeKey]int, len(routes)) // positions in kept
	kept := make([]Route, 0, len(routes))
	for i, r := range routes {
		field := fmt.Sprintf("%s.routes[%d]", service, i)
		if r.Host == "" || r.Host != strings.ToLower(r.Host) || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			u.report(field, "left out: %q with the prefix %q matches no requests", r.Host, r.Prefix)
			continue
		}
		u.clampRoute(field, &r)
		have, ok := declared[r.key()]
		if ok && !have.equalExceptWeight(r) {
			u.report(field, "left out: %q is declared differently before", r.Host+r.Prefix)
			continue
		}
		declared[r.key()] = r
		if j, ok := at[r.key()]; ok {
			kept[j].Weight = min(kept[j].Weight+r.Weight, maxUsableWeight)
			continue
		}
		at[r.key()] = len(kept)
		kept = append(kept, r)
	}
	if len(kept) == 0 {
		return nil
	}
	return kept
}

func (u *usable) clampRoute(field string, r *Route) {
	r.Weight = clamp(u, field+".weight", r.Weight, 0, maxUsableWeight)
	r.Importance = clamp(u, field+".importance", r.Importance, 0, request.MaxImportance)
	r.Deadline = clamp(u, field+".deadline", r.Deadline, MinDeadline, maxUsableTime)
	r.Objective = clamp(u, field+".objective", r.Objective, 0, maxUsableTime)
	r.Runs = clamp(u, field+".runs", r.Runs, 1, MaxAttempts)
	r.MaxBody = clamp(u, field+".maxBody", r.MaxBody, 0, MaxBodyLimit)
}

// nameClasses gives each route a class name of its own: nodes keep statistics by class.
// Routes of several hosts may share a name; they are then named after their requests.
func (u *usable) nameClasses() {
	keys := make(map[request.Class]map[routeKey]bool)
	u.eachRoute(func(r *Route) {
		if keys[r.Name] == nil {
			keys[r.Name] = make(map[routeKey]bool)
		}
		keys[r.Name][r.key()] = true
	})
	u.eachRoute(func(r *Route) {
		if r.Name == "" || len(keys[r.Name]) > 1 {
			r.Name += request.Class("@" + r.Host + r.Prefix)
		}
		if len(r.Name) > maxClassName {
			digest := strconv.FormatUint(xxhash.Sum64String(string(r.Name)), 16)
			r.Name = r.Name[:maxClassName-len(digest)-1] + request.Class("~"+digest)
		}
	})
}

func (u *usable) eachRoute(f func(*Route)) {
	for i := range u.set.Services {
		for j := range u.set.Services[i].Routes {
			f(&u.set.Services[i].Routes[j])
		}
	}
}

// organisations never names a key in a problem.
func (u *usable) organisations() {
	names := make(map[request.Organisation]bool, len(u.set.Organisations))
	holders := make(map[KeyDigest]request.Organisation)
	kept := make([]Organisation, 0, len(u.set.Organisations))
	for i, o := range u.set.Organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		switch {
		case !isHeaderText(string(o.Name)):
			u.report(field, "left out: the name %q is empty or can't be sent in a header", o.Name)
			continue
		case names[o.Name]:
			u.report(field, "left out: %q is already the name of another organisation", o.Name)
			continue
		}
		names[o.Name] = true
		o.Rank = clamp(u, field+".rank", o.Rank, 0, MaxRank)
		o.Rate = u.rate(field+".rate", o.Rate)
		o.Burst = u.rate(field+".burst", o.Burst)
		o.Keys = u.keys(field, o, holders)
		kept = append(kept, o)
	}
	if len(kept) == 0 {
		kept = nil
	}
	u.set.Organisations = kept
}

func (u *usable) keys(field string, o Organisation, holders map[KeyDigest]request.Organisation) []KeyDigest {
	return slices.DeleteFunc(slices.Clone(o.Keys), func(k KeyDigest) bool {
		holder, held := holders[k]
		if !held {
			holders[k] = o.Name
			return false
		}
		u.report(field, "a key is left out: it is already a key of %q", holder)
		return true
	})
}

func (u *usable) rate(field string, rate float64) float64 {
	if rate >= 0 && rate <= MaxRate {
		return rate
	}
	usable := 0.0 // also for NaN
	if rate > 0 {
		usable = MaxRate
	}
	u.report(field, "is %v instead of 0 to %d; %v is used", rate, MaxRate, usable)
	return usable
}

// clamp returns the number nearest to n that lies in a range.
func clamp[N cmp.Ordered](u *usable, field string, n, low, high N) N {
	m := min(max(n, low), high)
	if m != n {
		u.report(field, "is %v instead of %v to %v; %v is used", n, low, high, m)
	}
	return m
}

// isHeaderText reports whether s is the same after it was sent in a header field.
func isHeaderText(s string) bool {
	if s == "" || strings.Trim(s, " \t") != s {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
