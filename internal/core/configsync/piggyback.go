package configsync

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/budget"
	"peardrift/internal/core/configset"
	"peardrift/internal/status"
)

// While the node's control budget is exhausted, changes are piggybacked on
// membership heartbeats instead of being fetched over a separate connection.
//
// Without this, each node spends twice its budget in a busy minute, the heads
// of new versions queue behind requests for older ones, and a change takes a
// minute to be in force everywhere. Opening a connection for a request costs
// ten times as much as a changed service, at both ends.

// versionQuery lists the versions that a node holds. The receiver finds out
// which of its own versions are newer, whether or not the sender has heard of
// them.
type versionQuery struct {
	TenantsHash uint32 // hash of the sender's tenant names; the receiver's must be equal
	From        int    // index of the first tenant, in the order of names
	Versions    []byte // low byte of each tenant's version, starting at From
}

// tenantDelta is the part of a piggybacked answer for one tenant.
type tenantDelta struct {
	Tenant  int // index in the order of names
	Version int64
	Digest  []byte
	Delta   []byte
}

// Limits of piggybacked messages. Sizes are in bytes, rounded up.
const (
	maxQueryVersions    = 64
	queryOverhead       = 12 // excludes the versions
	tenantDeltaOverhead = 50 // excludes the delta
)

// SetBudget sets the control budget that the state checks before it opens
// connections.
func (s *State) SetBudget(b *budget.Bucket) { s.budget = b }

// waitsForHeartbeat reports whether to wait for piggybacked deltas instead of
// fetching the tenant's set. A tenant that stays behind longer than PiggybackTimeout is
// fetched anyway: its peers may all be behind, or hold too little history for a
// delta.
func (s *State) waitsForHeartbeat(now time.Duration, x *tenant) bool {
	return x.held != nil && !s.budget.Allows(budget.SeparateConn) && now-x.behindSince < s.cfg.PiggybackTimeout
}

// isBehind reports whether a version newer than the one in force is known for
// some tenant.
func (s *State) isBehind() bool {
	for _, x := range s.tenants {
		if x.held != nil && x.heldVersion() < x.known.Version {
			return true
		}
	}
	return false
}

// PiggybackQuery returns a query to piggyback on the next heartbeat, of at most room
// bytes; nil if there is nothing to ask. Several peers are queried at a time:
// some answers are duplicates, but at most a third of the queried peers have
// something newer.
func (s *State) PiggybackQuery(room int) []byte {
	n := min(room-queryOverhead, maxQueryVersions, len(s.tenantNames))
	if !s.startup.informed || s.budget.Allows(budget.SeparateConn) && !s.isBehind() || n <= 0 {
		return nil
	}
	q := versionQuery{TenantsHash: s.tenantNamesHash(), From: s.nextQueried, Versions: make([]byte, n)}
	for i := range q.Versions {
		q.Versions[i] = byte(s.tenantAt(q.From + i).heldVersion())
	}
	s.nextQueried = (q.From + n) % len(s.tenantNames)
	return encodeArray(&q)
}

// tenantAt returns the i-th tenant by name, wrapping around.
func (s *State) tenantAt(i int) *tenant { return s.tenants[s.tenantNames[i%len(s.tenantNames)]] }

func (s *State) tenantNamesHash() uint32 {
	d := xxhash.New()
	for _, name := range s.tenantNames {
		_, _ = d.WriteString(string(name)) // hash writes never fail
		_, _ = d.Write([]byte{0})
	}
	return uint32(d.Sum64())
}

// PiggybackAnswer answers a peer's query with deltas to newer versions, in at most
// room bytes; nil if there are none.
func (s *State) PiggybackAnswer(body []byte, room int) []byte {
	var q versionQuery
	if msgpack.Unmarshal(body, &q) != nil || len(q.Versions) > min(maxQueryVersions, len(s.tenantNames)) ||
		q.From < 0 || q.From >= len(s.tenantNames) || q.TenantsHash != s.tenantNamesHash() {
		return nil
	}
	var deltas []tenantDelta
	for i, low := range q.Versions {
		x := s.tenantAt(q.From + i)
		behind := int8(byte(x.heldVersion()) - low)
		if behind <= 0 {
			continue
		}
		delta := x.deltaSince(x.heldVersion() - int64(behind))
		if size := tenantDeltaOverhead + len(delta); delta != nil && size <= room {
			room -= size
			h := x.held.Head()
			deltas = append(deltas, tenantDelta{(q.From + i) % len(s.tenantNames), h.Version, h.Digest[:], delta})
		}
	}
	if len(deltas) == 0 {
		return nil
	}
	return encodeArray(deltas)
}

// HandlePiggyback handles a peer's answer.
func (s *State) HandlePiggyback(now time.Duration, body []byte) []Action {
	deltas, err := decodeTenantDeltas(body)
	if err != nil {
		s.stats.Refused++
		return nil
	}
	names := slices.Clone(s.tenantNames)
	for _, p := range deltas {
		if p.Tenant >= 0 && p.Tenant < len(names) {
			s.applyTenantDelta(now, s.tenants[names[p.Tenant]], p)
		}
	}
	return s.takeActions()
}

func (s *State) applyTenantDelta(now time.Duration, x *tenant, p tenantDelta) {
	h := configset.Head{Tenant: x.known.Tenant, Version: p.Version}
	if x.held == nil || p.Version <= x.heldVersion() || len(p.Digest) != len(h.Digest) {
		return
	}
	if d, err := configset.DecodeDelta(p.Delta); err == nil && d.Since < x.heldVersion() {
		return // stale: a newer version was installed after the query
	}
	copy(h.Digest[:], p.Digest)
	set, err := s.verifyReply(x, Reply{Head: h, Delta: p.Delta})
	if err != nil || set == nil {
		// The delta is invalid, as its digest shows. The set is then fetched
		// over a connection, from other peers.
		s.rejectDelta(x)
		x.behindSince = now - s.cfg.PiggybackTimeout
		return
	}
	s.stats.ByPiggyback++
	s.install(now, x, set, ByHeartbeat)
}

func encodeArray(v any) []byte {
	var w byteWriter
	enc := msgpack.NewEncoder(&w)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if enc.Encode(v) != nil {
		return nil
	}
	return w
}

// byteWriter appends what is written to it.
type byteWriter []byte

func (w *byteWriter) Write(b []byte) (int, error) {
	*w = append(*w, b...)
	return len(b), nil
}

// decodeTenantDeltas decodes an answer. It checks the array length first,
// because the library would allocate as many elements as announced, whatever
// follows.
func decodeTenantDeltas(body []byte) ([]tenantDelta, error) {
	dec := msgpack.NewDecoder(bytes.NewReader(body))
	n, err := dec.DecodeArrayLen()
	if err != nil || n < 0 || n > maxQueryVersions {
		return nil, status.Wrap(status.CodeProtocol, err, "invalid piggybacked answer of %d deltas", n)
	}
	deltas := make([]tenantDelta, n)
	for i := range deltas {
		if err := dec.Decode(&deltas[i]); err != nil {
			return nil, status.Wrap(status.CodeProtocol, err, "cannot decode piggybacked answer")
		}
	}
	return deltas, nil
}
