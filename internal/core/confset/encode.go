package confset

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// MaxEncoded bounds the canonical bytes of a set.
const MaxEncoded = 4 << 20

// Digest is the SHA-256 of a set's canonical bytes.
type Digest [sha256.Size]byte

// String returns the digest as 64 hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest was never set.
func (d Digest) IsZero() bool { return d == Digest{} }

// ParseDigest is the inverse of String.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, status.New(status.CodeProtocol, "%q is no digest", s)
	}
	copy(d[:], b)
	return d, nil
}

// DigestOf returns the digest of canonical bytes.
func DigestOf(encoded []byte) Digest { return sha256.Sum256(encoded) }

// Canonical returns a copy of s in which everything whose order has no meaning
// is sorted: sets that mean the same have the same canonical form.
func Canonical(s Set) Set {
	s.Services = slices.Clone(s.Services)
	for i := range s.Services {
		s.Services[i] = canonicalService(s.Services[i])
	}
	slices.SortStableFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func canonicalService(s Service) Service {
	s.Calls = slices.Sorted(slices.Values(s.Calls))
	s.Allow = slices.Sorted(slices.Values(s.Allow))
	s.Classes = slices.Clone(s.Classes)
	slices.SortStableFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// Encode returns the canonical bytes of a set, without its version, and their
// digest.
func Encode(s Set) ([]byte, Digest, error) {
	body, err := marshal(Canonical(s))
	if err != nil {
		return nil, Digest{}, err
	}
	if len(body) > MaxEncoded {
		return nil, Digest{}, status.New(status.CodeTooLarge,
			"the set has %d bytes encoded, at most %d are allowed", len(body), MaxEncoded)
	}
	return body, DigestOf(body), nil
}

// Decode is the inverse of Encode for a set that was accepted as the given
// version. It refuses bytes with another digest and sets that are not valid.
func Decode(body []byte, want Digest, version int64) (Set, error) {
	var s Set
	if len(body) > MaxEncoded {
		return s, status.New(status.CodeTooLarge, "an encoded set of %d bytes", len(body))
	}
	if got := DigestOf(body); got != want {
		return s, status.New(status.CodeProtocol, "a set with digest %v, want %v", got, want)
	}
	if err := msgpack.Unmarshal(body, &s); err != nil {
		return Set{}, status.Wrap(status.CodeProtocol, err, "undecodable set")
	}
	if ps := Validate(s); len(ps) > 0 {
		return Set{}, status.New(status.CodeInvalidSet, "%s: %s (%d problems in all)",
			ps[0].Field, ps[0].Message, len(ps))
	}
	s.Version = version
	return s, nil
}

// marshal encodes deterministically: struct fields in their order, integers in
// their shortest form.
func marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, status.Wrap(status.CodeInternal, err, "cannot encode a set")
	}
	return buf.Bytes(), nil
}

// ServiceNames returns the names by which callers address the set's services.
func (s Set) ServiceNames() []request.Service {
	names := make([]request.Service, len(s.Services))
	for i, svc := range s.Services {
		names[i] = FullName(svc.Name, s.Tenant)
	}
	return names
}
