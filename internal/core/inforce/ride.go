package inforce

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/core/budget"
	"peardrift/internal/core/confset"
	"peardrift/internal/status"
)

// While the node's budget is short, what changed rides along with the heartbeats
// of the membership in place of being asked for over a connection of its own.
//
// Symptom of its absence: in a busy minute each node spends twice its budget, the
// heads of new versions wait behind the questions for older ones, and a change is
// in force everywhere after a minute. Opening a connection for a question costs
// ten times what a changed service does, at both ends.

// question says which versions a node holds. Whoever is asked finds what it holds
// newer itself, whether the asker has heard of that or not.
type question struct {
	Tenants  uint32 // which tenants the asker knows; both must know the same
	From     int    // the first of them, in the order of their names
	Versions []byte // the lowest byte of each one's version, from that one on
}

// part is what a peer answers for one tenant.
type part struct {
	Tenant  int // by the order of names
	Version int64
	Digest  []byte
	Delta   []byte
}

// Bounds of what rides along in one message. Sizes are in bytes, rounded up.
const (
	maxVersions  = 64
	questionSize = 12 // without the versions
	partSize     = 50 // without the delta
)

// SetBudget makes the state ask the node's budget before it spends of it.
func (s *State) SetBudget(b *budget.Bucket) { s.budget = b }

// short reports whether deltas have to wait for heartbeats. A tenant that is
// behind for too long though it asked along with them is fetched in spite of
// that: its peers may all be behind, or hold too little to tell what changed.
func (s *State) short(now time.Duration, x *tenant) bool {
	return x.held != nil && !s.budget.Allows(budget.Conn) && now-x.behind < s.cfg.RideFor
}

// behind reports whether a newer version of some tenant has been heard of than the
// one in force.
func (s *State) behind() bool {
	for _, x := range s.tenants {
		if x.held != nil && x.version() < x.known.Version {
			return true
		}
	}
	return false
}

// RideAsk returns a question for the peer of the next heartbeat, of at most room
// bytes; nil if there is nothing to ask. It asks several peers at a time: some
// answers come twice, but at most a third of those asked have something newer.
func (s *State) RideAsk(room int) []byte {
	n := min(room-questionSize, maxVersions, len(s.order))
	if !s.start.informed || s.budget.Allows(budget.Conn) && !s.behind() || n <= 0 {
		return nil
	}
	q := question{Tenants: s.tenantsSum(), From: s.rideFrom, Versions: make([]byte, n)}
	for i := range q.Versions {
		q.Versions[i] = byte(s.at(q.From + i).version())
	}
	s.rideFrom = (q.From + n) % len(s.order)
	return encode(&q)
}

// at returns a tenant by the order of names, going round.
func (s *State) at(i int) *tenant { return s.tenants[s.order[i%len(s.order)]] }

func (s *State) tenantsSum() uint32 {
	d := xxhash.New()
	for _, name := range s.order {
		_, _ = d.WriteString(string(name)) // never fails
		_, _ = d.Write([]byte{0})
	}
	return uint32(d.Sum64())
}

// RideAnswer answers a peer's question with what is newer here, in at most room
// bytes; nil if that is nothing.
func (s *State) RideAnswer(body []byte, room int) []byte {
	var q question
	if msgpack.Unmarshal(body, &q) != nil || len(q.Versions) > min(maxVersions, len(s.order)) ||
		q.From < 0 || q.From >= len(s.order) || q.Tenants != s.tenantsSum() {
		return nil
	}
	var parts []part
	for i, low := range q.Versions {
		x := s.at(q.From + i)
		behind := int8(byte(x.version()) - low)
		if behind <= 0 {
			continue
		}
		delta := x.deltaSince(x.version() - int64(behind))
		if size := partSize + len(delta); delta != nil && size <= room {
			room -= size
			h := x.held.Head()
			parts = append(parts, part{(q.From + i) % len(s.order), h.Version, h.Digest[:], delta})
		}
	}
	if len(parts) == 0 {
		return nil
	}
	return encode(parts)
}

// RideTake takes a peer's answer.
func (s *State) RideTake(now time.Duration, body []byte) []Action {
	parts, err := decodeParts(body)
	if err != nil {
		s.stats.Refused++
		return nil
	}
	order := slices.Clone(s.order)
	for _, p := range parts {
		if p.Tenant >= 0 && p.Tenant < len(order) {
			s.takePart(now, s.tenants[order[p.Tenant]], p)
		}
	}
	return s.take()
}

func (s *State) takePart(now time.Duration, x *tenant, p part) {
	h := confset.Head{Tenant: x.known.Tenant, Version: p.Version}
	if x.held == nil || p.Version <= x.version() || len(p.Digest) != len(h.Digest) {
		return
	}
	if d, err := confset.DecodeDelta(p.Delta); err == nil && d.Since < x.version() {
		return // a newer version than that has come since this one was asked for
	}
	copy(h.Digest[:], p.Digest)
	set, err := s.read(x, Reply{Head: h, Delta: p.Delta})
	if err != nil || set == nil {
		// A delta that is not what it should be is found out by the digest. The
		// set is then fetched over a connection, from others.
		s.refuse(x)
		x.behind = now - s.cfg.RideFor
		return
	}
	s.stats.ByRide++
	s.install(now, x, set, ByHeartbeat)
}

func encode(v any) []byte {
	var w appender
	enc := msgpack.NewEncoder(&w)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if enc.Encode(v) != nil {
		return nil
	}
	return w
}

// appender collects what is written to it.
type appender []byte

func (w *appender) Write(b []byte) (int, error) {
	*w = append(*w, b...)
	return len(b), nil
}

// decodeParts reads an answer. The library would make room for as many parts as
// are announced, whatever follows.
func decodeParts(body []byte) ([]part, error) {
	dec := msgpack.NewDecoder(bytes.NewReader(body))
	n, err := dec.DecodeArrayLen()
	if err != nil || n < 0 || n > maxVersions {
		return nil, status.Wrap(status.CodeProtocol, err, "an answer of %d parts along with a heartbeat", n)
	}
	parts := make([]part, n)
	for i := range parts {
		if err := dec.Decode(&parts[i]); err != nil {
			return nil, status.Wrap(status.CodeProtocol, err, "an answer along with a heartbeat can't be read")
		}
	}
	return parts, nil
}
