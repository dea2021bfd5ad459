package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/url"
	"time"

	"github.com/google/uuid"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// MaxKeyLen is the longest idempotency key in bytes.
const MaxKeyLen = 255

// Digest is a SHA-256 sum. A collision would hand one caller the answer of
// another's request, so the hash is a cryptographic one.
type Digest [sha256.Size]byte

// Sum returns the digest of a body.
func Sum(body []byte) Digest { return sha256.Sum256(body) }

// String returns the digest as lower-case hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Fingerprint identifies the request made under a key. Using a key with a second
// fingerprint is a caller error.
func Fingerprint(method, path string, body Digest) Digest {
	return digestParts(method, path, string(body[:]))
}

// digestParts hashes length-prefixed parts, so that moving a byte from one part
// to the next changes the digest.
func digestParts(parts ...string) Digest {
	h := sha256.New()
	var n [binary.MaxVarintLen64]byte
	for _, p := range parts {
		h.Write(n[:binary.PutUvarint(n[:], uint64(len(p)))])
		h.Write([]byte(p))
	}
	return Digest(h.Sum(nil))
}

// Scope is the namespace of a key. Tenant is the caller's, so that no tenant can
// read another's outcome by guessing its key.
type Scope struct {
	Tenant  request.Tenant
	Service request.Service
	Class   request.Class
}

// RowKey returns the key of the table's row. Parts are escaped, so that two
// scopes never share a row.
func RowKey(s Scope, key string) string {
	esc := url.PathEscape
	return "claim/" + esc(string(s.Tenant)) + "/" + esc(string(s.Service)) + "/" +
		esc(string(s.Class)) + "/" + esc(key)
}

// CheckKey returns nil if key is valid: 1 to MaxKeyLen visible ASCII bytes.
func CheckKey(key string) *status.Error {
	if key == "" {
		return status.Refuse(status.CodeKeyMissing, 0, "an at-most-once request needs an idempotency key")
	}
	if len(key) > MaxKeyLen {
		return status.Refuse(status.CodeMalformed, 0, "the idempotency key has %d bytes, %d are allowed", len(key), MaxKeyLen)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return status.Refuse(status.CodeMalformed, 0, "the idempotency key has a byte that is not visible ASCII")
		}
	}
	return nil
}

// KeyTime returns the creation time of a dated key (a UUIDv7) since the Unix
// epoch; ok is false for any other key.
func KeyTime(key string) (t time.Duration, ok bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidV7 || id.Variant() != uuid.RFC4122 {
		return 0, false
	}
	ms := binary.BigEndian.Uint64(id[:8]) >> uuidRandBits
	return time.Duration(ms) * time.Millisecond, true
}

const (
	uuidV7       = 7
	uuidV8       = 8
	uuidTimeSize = 6  // bytes of a version 7 UUID that hold its time
	uuidRandBits = 16 // bits after the time in its first 8 bytes
)

// Call identifies a nested call for which a key is derived.
type Call struct {
	Service request.Service
	Class   request.Class
	Method  string
	Path    string
	Body    Digest
}

// DeriveKey returns the key of a nested call that has none of its own. root is
// the key of the incoming request, or its trace id if it has no key. When the
// caller repeats the incoming request, the nested call gets the same key and
// runs once. Two equal calls under one request also share a key; an application
// that intends both to run must supply its own keys.
//
// The key is a UUID: version 7 with the root's time if the root is dated, so that
// both have the same retention, otherwise an undated version 8.
func DeriveKey(root string, c Call) string {
	sum := digestParts(root, string(c.Service), string(c.Class), c.Method, c.Path, string(c.Body[:]))
	id := uuid.UUID(sum[:16])
	version := byte(uuidV8)
	if rootID, err := uuid.Parse(root); err == nil && rootID.Version() == uuidV7 {
		copy(id[:uuidTimeSize], rootID[:uuidTimeSize])
		version = uuidV7
	}
	id[6] = id[6]&0x0f | version<<4
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}
