package configset

import (
	"encoding/binary"
	"hash"
	"time"

	"peardrift/internal/core/request"
)

// ClientLimits bounds what callers may send in a request's header, and how long they may
// take. Zero values are not stated; a node's own settings hold for them.
type ClientLimits struct {
	// HeaderBytes bounds a request's header, and separately its request line.
	HeaderBytes int `msgpack:"b,omitempty"`
	// HeaderTimeout bounds the time from the first byte of a request to the end of its
	// header.
	HeaderTimeout time.Duration `msgpack:"h,omitempty"`
	// IdleTimeout bounds the time that a connection stays open without a request.
	IdleTimeout time.Duration `msgpack:"i,omitempty"`
}

// Bounds of ClientLimits. Below the least values a node would refuse ordinary requests.
const (
	MinHeaderBytes   = 1 << 10
	MaxHeaderBytes   = 1 << 20
	MinClientTimeout = 100 * time.Millisecond
	MaxClientTimeout = time.Hour
)

// isZero reports whether no limit is stated.
func (l ClientLimits) isZero() bool { return l == ClientLimits{} }

// encoded returns the limits for an encoding, which omits them if none is stated.
func (l ClientLimits) encoded() *ClientLimits {
	if l.isZero() {
		return nil
	}
	return &l
}

// decodedLimits is the inverse of ClientLimits.encoded.
func decodedLimits(l *ClientLimits) ClientLimits {
	if l == nil {
		return ClientLimits{}
	}
	return *l
}

// hashTo adds the limits to a set's digest. Sets without limits keep the digest that they
// had before there were any.
func (l ClientLimits) hashTo(h hash.Hash) {
	if l.isZero() {
		return
	}
	var b [3 * 8]byte
	for i, n := range [...]int64{int64(l.HeaderBytes), int64(l.HeaderTimeout), int64(l.IdleTimeout)} {
		binary.BigEndian.PutUint64(b[8*i:], uint64(n))
	}
	h.Write([]byte("limits"))
	h.Write(b[:])
}

// ClientLimits returns the limits that the tenant's set states.
func (x *Index) ClientLimits(t request.Tenant) ClientLimits {
	if x == nil {
		return ClientLimits{}
	}
	return x.tenants[t].limits
}

// limits brings the limits that are stated to the nearest usable values.
func (u *usable) limits() {
	l := &u.set.Limits
	if l.HeaderBytes != 0 {
		l.HeaderBytes = clamp(u, "limits.headerBytes", l.HeaderBytes, MinHeaderBytes, MaxHeaderBytes)
	}
	if l.HeaderTimeout != 0 {
		l.HeaderTimeout = clamp(u, "limits.headerTimeout", l.HeaderTimeout, MinClientTimeout, MaxClientTimeout)
	}
	if l.IdleTimeout != 0 {
		l.IdleTimeout = clamp(u, "limits.idleTimeout", l.IdleTimeout, MinClientTimeout, MaxClientTimeout)
	}
}
