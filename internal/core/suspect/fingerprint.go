package suspect

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/request"
)

// Fingerprint identifies the content of a request. A caller that resends a request gets
// a new request ID but the same fingerprint.
type Fingerprint uint64

// Content is what a fingerprint is computed from.
type Content struct {
	Tenant  request.Tenant
	Service request.Service
	Method  string
	URI     string // path and query as sent
	Body    []byte // its start, as far as the node has read it
	Size    int64  // declared length of the body; -1 if unknown
}

// MaxBody is the number of body bytes in the fingerprint: the part that a node has read
// before it streams the rest.
const MaxBody = 4 << 10

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(c *Content) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	writeField(&d, string(c.Tenant))
	writeField(&d, string(c.Service))
	writeField(&d, c.Method)
	writeField(&d, c.URI)
	writeNumber(&d, uint64(c.Size))
	_, _ = d.Write(c.Body[:min(len(c.Body), MaxBody)])
	return Fingerprint(d.Sum64())
}

// writeField writes the length first, so that moving a byte between adjacent fields
// changes the fingerprint.
func writeField(d *xxhash.Digest, s string) {
	writeNumber(d, uint64(len(s)))
	_, _ = d.WriteString(s)
}

func writeNumber(d *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:])
}
