package configset

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"math"
	"slices"
	"strings"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Organisation is a caller with API keys, a rank and a rate limit. Unlike a
// tenant it declares no services. If a set has organisations, each request from
// outside needs a key of one of them, unless its route is anonymous.
type Organisation struct {
	// Name is the name that is passed to targets, unique in the set.
	Name request.Organisation `msgpack:"n"`

	// Keys are the digests of its API keys. The keys themselves are not stored.
	Keys []KeyDigest `msgpack:"k,omitempty"`

	// Rank takes precedence over a route's importance: requests of
	// organisations with a higher rank number are refused before those with a
	// lower one. 0 to MaxRank.
	Rank int `msgpack:"p,omitempty"`

	// Rate is the limit in requests per second over all nodes; 0 means
	// unlimited.
	Rate float64 `msgpack:"r,omitempty"`

	// Burst is the number of requests that it may send at once beyond its rate.
	// It only applies with a rate.
	Burst float64 `msgpack:"b,omitempty"`
}

// Limits of organisations.
const (
	MaxOrganisations     = 10_000
	MaxKeys              = 64 // per organisation
	MaxRank              = 9
	MaxRate              = 10_000_000
	maxOrganisationBytes = 200 // of a name, so that it fits in a header
)

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key. It does not allocate.
func DigestKey(key []byte) KeyDigest { return sha256.Sum256(key) }

// NewKey returns a new API key of 160 random bits.
func NewKey() string {
	var b [20]byte
	_, _ = rand.Read(b[:]) // documented never to fail
	return strings.ToLower(base32.StdEncoding.EncodeToString(b[:]))
}

// keyPrefix names the hash function in the text form of a digest.
const keyPrefix = "sha256-"

// String returns the digest as operators write it: "sha256-" and 64 hexadecimal
// digits.
func (d KeyDigest) String() string { return keyPrefix + hex.EncodeToString(d[:]) }

// ParseKeyDigest is the inverse of String. Its error does not contain the text,
// which may be a key entered in place of a digest.
func ParseKeyDigest(s string) (KeyDigest, error) {
	var d KeyDigest
	b, err := hex.DecodeString(strings.TrimPrefix(s, keyPrefix))
	if err != nil || len(b) != len(d) || !strings.HasPrefix(s, keyPrefix) {
		return d, status.New(status.CodeInvalidSet, "invalid key digest: must be %s and %d hexadecimal digits", keyPrefix, 2*len(d))
	}
	copy(d[:], b)
	return d, nil
}

// OrganisationInfo is a compiled organisation. Its fields are read-only.
type OrganisationInfo struct {
	Name request.Organisation
	// ID distinguishes it from organisations of the same name in other tenants'
	// sets.
	ID    request.Organisation
	Rank  int
	Rate  float64
	Burst float64
}

// Importance returns the importance of a request of the organisation on a route
// of the given importance. Ranks divide the scale evenly, and the route's
// importance orders the requests within a rank.
func (o *OrganisationInfo) Importance(route request.Importance) request.Importance {
	const perRank = int(request.MaxImportance) / (MaxRank + 1)
	within := int(route) * perRank / (int(request.MaxImportance) + 1)
	return request.Importance((MaxRank-o.Rank)*perRank + within)
}

// organisationsByKey maps key digests to the organisations that may call a
// tenant's services.
type organisationsByKey map[KeyDigest]*OrganisationInfo

// RequiresKey reports whether requests from outside to a tenant's services need a
// key.
func (x *Index) RequiresKey(t request.Tenant) bool {
	if x == nil {
		return false
	}
	_, ok := x.byKey[t]
	return ok
}

// OrganisationByKey returns the organisation that holds a key for a tenant's services. It
// does not allocate.
func (x *Index) OrganisationByKey(t request.Tenant, key []byte) (*OrganisationInfo, bool) {
	if x == nil || len(key) == 0 {
		return nil, false
	}
	o, ok := x.byKey[t][DigestKey(key)]
	return o, ok
}

// Organisation looks up an organisation by its ID.
func (x *Index) Organisation(id request.Organisation) (*OrganisationInfo, bool) {
	if x == nil {
		return nil, false
	}
	o, ok := x.organisations[id]
	return o, ok
}

// Organisations calls f for each organisation, in no particular order.
func (x *Index) Organisations(f func(*OrganisationInfo)) {
	if x == nil {
		return
	}
	for _, o := range x.organisations {
		f(o)
	}
}

// compileOrganisations compiles the organisations of all sets in the index.
func (x *Index) compileOrganisations() {
	x.organisations = make(map[request.Organisation]*OrganisationInfo)
	x.byKey = make(map[request.Tenant]organisationsByKey)
	for name, t := range x.tenants {
		if len(t.organisations) == 0 {
			continue
		}
		byKey := make(organisationsByKey)
		x.byKey[name] = byKey
		for _, o := range t.organisations {
			info := &OrganisationInfo{
				Name: o.Name, ID: request.Organisation(name) + "/" + o.Name,
				Rank: o.Rank, Rate: o.Rate, Burst: o.Burst,
			}
			x.organisations[info.ID] = info
			for _, k := range o.Keys {
				byKey[k] = info
			}
		}
	}
}

func canonicalOrganisation(o Organisation) Organisation {
	o.Keys = slices.Clone(o.Keys)
	slices.SortFunc(o.Keys, func(a, b KeyDigest) int { return slices.Compare(a[:], b[:]) })
	return o
}

func compareOrganisations(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) }

// checkOrganisations validates the organisations of a set. Problems name the
// position of a key, never the key or its digest.
func (v *validator) checkOrganisations(list []Organisation) {
	root := fieldPath{service: -1, class: -1, index: -1}
	if len(list) > MaxOrganisations {
		v.report(root.withKey("organisations"), "must have at most %d organisations", MaxOrganisations)
		return
	}
	names := make(map[request.Organisation]bool, len(list))
	holders := make(map[KeyDigest]request.Organisation)
	for i, o := range list {
		field := root.withKey("organisations").withIndex(i)
		if !isOrganisationName(string(o.Name)) {
			v.report(field, "name must have 1 to %d printable characters without spaces", maxOrganisationBytes)
		}
		if names[o.Name] {
			v.report(field, "name %q is already used by another organisation", o.Name)
		}
		names[o.Name] = true
		v.checkOrganisation(field, o)
		for j, k := range o.Keys {
			if other, ok := holders[k]; ok {
				v.report(field, "keys[%d] is already a key of organisation %q", j, other)
			}
			holders[k] = o.Name
		}
	}
}

func (v *validator) checkOrganisation(path fieldPath, o Organisation) {
	if len(o.Keys) > MaxKeys {
		v.report(path, "must have at most %d keys", MaxKeys)
	}
	if o.Rank < 0 || o.Rank > MaxRank {
		v.report(path, "rank must be 0 to %d", MaxRank)
	}
	if !(o.Rate >= 0 && o.Rate <= MaxRate) { // also rejects NaN
		v.report(path, "rate must be 0 to %d", MaxRate)
	}
	if !(o.Burst >= 0 && o.Burst <= MaxRate) || math.IsInf(o.Burst, 0) {
		v.report(path, "burst must be 0 to %d", MaxRate)
	}
}

// isOrganisationName reports whether a name is valid in a header.
func isOrganisationName(s string) bool {
	if s == "" || len(s) > maxOrganisationBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}
