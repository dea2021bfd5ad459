package configsync

import (
	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// FactOf encodes a head as a gossiped fact: a key that is the same for all
// versions of a tenant, the version, and a value of at most 64 bytes.
func FactOf(h configset.Head) (key, version uint64, value []byte) {
	value = make([]byte, 0, len(h.Digest)+len(h.Tenant))
	value = append(value, h.Digest[:]...)
	value = append(value, h.Tenant...)
	return xxhash.Sum64String(string(h.Tenant)), uint64(h.Version), value
}

// HeadOf is the inverse of FactOf. It returns CodeProtocol for a fact that
// FactOf can't have produced.
func HeadOf(key, version uint64, value []byte) (configset.Head, error) {
	var h configset.Head
	n := len(h.Digest)
	if len(value) <= n || len(value) > n+configset.MaxTenantName || int64(version) <= 0 {
		return h, status.New(status.CodeProtocol, "invalid head fact: value of %d bytes, version %d", len(value), int64(version))
	}
	copy(h.Digest[:], value)
	h.Tenant = request.Tenant(value[n:])
	h.Version = int64(version)
	if xxhash.Sum64String(string(h.Tenant)) != key {
		return configset.Head{}, status.New(status.CodeProtocol, "head fact of tenant %q has the wrong key", h.Tenant)
	}
	return h, nil
}
