package configset

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/request"
	"peardrift/internal/msgpackutil"
	"peardrift/internal/status"
)

// MaxEncoded is the maximum size of a set's canonical encoding, in bytes.
const MaxEncoded = 4 << 20

// formatVersion is the first field of the canonical encoding, and part of the
// input of the digest.
const formatVersion = 1

// Digest identifies a set's content: the SHA-256 over its tenant, its share and
// the SHA-256 of each of its services in the order of their names. So a change
// of one service requires hashing only that service, and a node that does not
// know a field of a newer format still verifies what it receives.
type Digest [sha256.Size]byte

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// ParseDigest is the inverse of String. It returns CodeProtocol for invalid
// text.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, status.New(status.CodeProtocol, "%q is not a digest", s)
	}
	copy(d[:], b)
	return d, nil
}

// Head identifies an accepted set; nodes announce it to each other.
type Head struct {
	Tenant  request.Tenant
	Version int64
	Digest  Digest
}

// encodedSet is the layout of a set's canonical encoding.
type encodedSet struct {
	Format   int                  `msgpack:"f"`
	Tenant   request.Tenant       `msgpack:"t"`
	Share    float64              `msgpack:"s"`
	Services []msgpack.RawMessage `msgpack:"v"` // by name

	Organisations []msgpack.RawMessage `msgpack:"o,omitempty"` // by name

	Limits *ClientLimits `msgpack:"l,omitempty"`
}

// Encode returns the canonical encoding of a set, without its version, and its
// digest.
func Encode(s Set) ([]byte, Digest, error) {
	p, err := Pack(s)
	if err != nil {
		return nil, Digest{}, err
	}
	body, err := p.Bytes()
	return body, p.Head().Digest, err
}

// Decode is the inverse of Encode for a set that was accepted as the given
// version. It returns an error if the digest differs or the set is invalid.
func Decode(body []byte, want Digest, version int64) (Set, error) {
	var encoded encodedSet
	if err := unmarshal(body, &encoded); err != nil {
		return Set{}, err
	}
	p, err := unpack(encoded, Head{Tenant: encoded.Tenant, Version: version, Digest: want})
	if err != nil {
		return Set{}, err
	}
	return p.Set(), nil
}

// Canonical returns a copy of s with all lists sorted whose order has no
// meaning: equivalent sets have the same canonical form.
func Canonical(s Set) Set {
	s.Services = slices.Clone(s.Services)
	for i := range s.Services {
		s.Services[i] = canonicalService(s.Services[i])
	}
	slices.SortStableFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	s.Organisations = slices.Clone(s.Organisations)
	for i := range s.Organisations {
		s.Organisations[i] = canonicalOrganisation(s.Organisations[i])
	}
	slices.SortStableFunc(s.Organisations, compareOrganisations)
	return s
}

func canonicalService(s Service) Service {
	s.Calls = slices.Sorted(slices.Values(s.Calls))
	s.Allow = slices.Sorted(slices.Values(s.Allow))
	s.Routes = slices.Clone(s.Routes)
	slices.SortStableFunc(s.Routes, func(a, b Route) int { return cmp.Compare(a.Name, b.Name) })
	s.Classes = slices.Clone(s.Classes)
	slices.SortStableFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// marshal encodes deterministically: struct fields in declaration order,
// integers in their shortest form.
func marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, status.Wrap(status.CodeInternal, err, "cannot encode a set")
	}
	return buf.Bytes(), nil
}

func unmarshal(body []byte, v any) error {
	if len(body) > MaxEncoded {
		return status.New(status.CodeTooLarge, "encoding has %d bytes, at most %d are allowed", len(body), MaxEncoded)
	}
	if err := msgpackutil.Unmarshal(body, v); err != nil {
		return status.Wrap(status.CodeProtocol, err, "cannot decode set")
	}
	return nil
}
