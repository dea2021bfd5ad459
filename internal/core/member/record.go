package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/request"
)

// Status is the state of a member. Within one incarnation a member's status
// only increases, whatever the order in which updates arrive, so a leave wins
// over a late or repeated announcement of the same incarnation.
type Status uint8

const (
	// Alive members accept calls.
	Alive Status = iota
	// Unreachable members were silent to their observers. They are kept and
	// probed for Config.UnreachableRetention.
	Unreachable
	// Leaving members drain: they accept no new calls.
	Leaving
	// Dead members left, or were unreachable for too long. Only a tombstone is
	// kept.
	Dead
	// Suspect is local to an observer: the member has been silent, but not for
	// long enough to be declared unreachable. It is never sent.
	Suspect
)

var statusNames = [...]string{"alive", "unreachable", "leaving", "dead", "suspect"}

// String returns the status as it appears in logs and listings.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return "invalid"
}

// isLive reports whether a member with this status takes part in the overlay.
func (s Status) isLive() bool { return s == Alive || s == Leaving }

// Record describes one member. Records are immutable once passed to a State.
type Record struct {
	ID          request.TargetID
	Name        string          // the announced name; ID is its hash
	Service     request.Service // "service.tenant"
	Tenant      request.Tenant
	Zone        string
	Region      string
	DataAddr    string // address of the data path, ip:port
	ControlAddr string // address of the control path, ip:port
	// Incarnation is the one in which these contents were published. A new
	// process uses a higher one than its predecessor, by convention the seconds
	// since 2020 at its start; a refutation increments it.
	Incarnation uint32
	Slots       uint32
	Connections uint32
}

// bodyMask masks a digest of contents to 24 bits. One in 17 million changes of
// a member's contents goes unnoticed until its next incarnation.
const bodyMask = 1<<24 - 1

// Digest returns the digest of the contents, that is all fields but the
// incarnation.
func (r *Record) Digest() uint32 {
	b := make([]byte, 0, 256)
	for _, s := range [...]string{
		r.Name, string(r.Service), string(r.Tenant), r.Zone, r.Region, r.DataAddr, r.ControlAddr,
	} {
		b = append(append(b, s...), 0)
	}
	b = binary.LittleEndian.AppendUint32(b, r.Slots)
	b = binary.LittleEndian.AppendUint32(b, r.Connections)
	return uint32(xxhash.Sum64(b) & bodyMask)
}

// Change says that a member has a status in an incarnation.
type Change struct {
	ID          request.TargetID
	Incarnation uint32
	Status      Status
	// BodyDigest is a digest of the record's contents (Record.Digest), by which a
	// receiver checks whether its record is current. A member that restarts
	// unchanged need not send its record again.
	BodyDigest uint32
}

// supersedes reports whether c is newer than the given incarnation and status.
func (c Change) supersedes(inc uint32, st Status) bool {
	return c.Incarnation > inc || c.Incarnation == inc && c.Status > st
}

// sum is the contribution of a live member to the digest; other members
// contribute 0.
func (c Change) sum() uint64 {
	if !c.Status.isLive() {
		return 0
	}
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], uint64(c.ID))
	binary.LittleEndian.PutUint32(b[8:], c.Incarnation)
	b[12] = byte(c.Status)
	return xxhash.Sum64(b[:])
}

// FactKind is the type of a fact; State handles all kinds alike, except for the
// order in which they are sent.
type FactKind uint8

const (
	// ConfigHead facts carry the head of the configuration; they are sent
	// first.
	ConfigHead FactKind = 1
	// CrashSuspect facts carry requests suspected of crashing their targets.
	CrashSuspect FactKind = 2
	// TargetLeave facts carry the recent leaves of a member's target. The key
	// is the member's ID; the member gets its fact when it joins again.
	TargetLeave FactKind = 3
)

// MaxFactValue bounds Fact.Value in bytes.
const MaxFactValue = 64

// Fact is a small versioned value that is replicated to every member. Of two
// facts with the same Kind and Key the one with the higher Version wins.
type Fact struct {
	Kind    FactKind
	Key     uint64
	Version uint64
	Value   []byte
}

// factID returns the position of a fact in the key space of the digest.
func factID(kind FactKind, key uint64) uint64 {
	var b [9]byte
	b[0] = byte(kind)
	binary.LittleEndian.PutUint64(b[1:], key)
	return xxhash.Sum64(b[:])
}

// sum is the contribution of a fact to the digest.
func (f *Fact) sum() uint64 {
	var b [17]byte
	b[0] = byte(f.Kind)
	binary.LittleEndian.PutUint64(b[1:], f.Key)
	binary.LittleEndian.PutUint64(b[9:], f.Version)
	return xxhash.Sum64(b[:])
}
