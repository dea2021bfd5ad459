package configset

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"

	"peardrift/internal/core/request"
)

// Difference is one field that differs between two sets.
type Difference struct {
	Field string `json:"field"`         // for example "services[feed].classes[read].deadline"
	Old   string `json:"old,omitempty"` // empty: not in the old set
	New   string `json:"new,omitempty"` // empty: not in the new set
}

// Diff returns the differences between two sets, sorted by field. Versions are
// not compared.
func Diff(from, to Set) []Difference {
	a, b := flattenFields(from), flattenFields(to)
	var out []Difference
	for _, field := range slices.Sorted(maps.Keys(union(a, b))) {
		if a[field] != b[field] {
			out = append(out, Difference{Field: field, Old: a[field], New: b[field]})
		}
	}
	return out
}

func union(a, b map[string]string) map[string]string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// flattenFields flattens a set to a map from field to text; empty fields are
// left out.
func flattenFields(s Set) map[string]string {
	out := make(map[string]string)
	if s.Tenant == "" {
		return out
	}
	out["tenant"] = string(s.Tenant)
	out["share"] = fmt.Sprint(s.Share)
	putLimits(out, s.Limits)
	for _, svc := range s.Services {
		at := "services[" + svc.Name + "]."
		out[at+"slots"] = fmt.Sprint(svc.Slots)
		out[at+"connections"] = fmt.Sprint(svc.Connections)
		putList(out, at+"calls", svc.Calls)
		putList(out, at+"allow", svc.Allow)
		for _, c := range svc.Classes {
			putClass(out, at+"classes["+string(c.Name)+"].", c)
		}
	}
	for _, o := range s.Organisations {
		putOrganisation(out, "organisations["+string(o.Name)+"].", o)
	}
	return out
}

func putLimits(out map[string]string, l ClientLimits) {
	if l.HeaderBytes > 0 {
		out["limits.headerBytes"] = fmt.Sprint(l.HeaderBytes)
	}
	if l.HeaderTimeout > 0 {
		out["limits.headerTimeout"] = l.HeaderTimeout.String()
	}
	if l.IdleTimeout > 0 {
		out["limits.idleTimeout"] = l.IdleTimeout.String()
	}
}

// putOrganisation represents the keys by their count and a checksum over all of
// them, so that a change of keys is visible.
func putOrganisation(out map[string]string, at string, o Organisation) {
	sum := sha256.New()
	for _, k := range canonicalOrganisation(o).Keys {
		sum.Write(k[:])
	}
	out[at+"keys"] = fmt.Sprintf("%d, checksum %x", len(o.Keys), sum.Sum(nil)[:4])
	out[at+"rank"] = fmt.Sprint(o.Rank)
	if o.Rate > 0 {
		out[at+"rate"], out[at+"burst"] = fmt.Sprint(o.Rate), fmt.Sprint(o.Burst)
	}
}

func putList[S request.Service | request.Tenant](out map[string]string, field string, list []S) {
	if len(list) == 0 {
		return
	}
	words := make([]string, len(list))
	for i, s := range slices.Sorted(slices.Values(list)) {
		words[i] = string(s)
	}
	out[field] = strings.Join(words, ", ")
}

func putClass(out map[string]string, at string, c Class) {
	if c.Method != "" {
		out[at+"method"] = c.Method
	}
	out[at+"path"] = c.Path
	out[at+"importance"] = fmt.Sprint(c.Importance)
	out[at+"deadline"] = c.Deadline.String()
	if c.Objective > 0 {
		out[at+"objective"] = c.Objective.String()
	}
	out[at+"attempts"] = fmt.Sprint(c.Attempts)
	out[at+"maxBody"] = fmt.Sprint(c.MaxBody)
	if c.Anonymous {
		out[at+"anonymous"] = "true"
	}
	if c.AtMostOnce {
		out[at+"atMostOnce"] = "true"
		out[at+"remember"] = c.KeyRetention.String()
	}
}
