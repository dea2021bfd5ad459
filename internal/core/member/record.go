package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/request"
)

// Status is what is known about a member. Within one incarnation a member's
// status only rises, whatever the order in which news arrives; so a leave wins
// against a late or repeated announcement of the same incarnation.
type Status uint8

const (
	// Alive members take work.
	Alive Status = iota
	// Unreachable members were silent to their observers. They are kept and
	// probed for Config.KeepUnreachable.
	Unreachable
	// Leaving members drain: they take no new work.
	Leaving
	// Dead members left, or were unreachable for too long. Only a tombstone is
	// kept.
	Dead
	// Suspect is local to an observer: the member is silent, but not for long
	// enough. It is never sent.
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

// live reports whether a member with this status takes part in the overlay.
func (s Status) live() bool { return s == Alive || s == Leaving }

// Record describes one member. Records are immutable once passed to a State.
type Record struct {
	ID      request.TargetID
	Name    string          // the announced name that ID is hashed from
	Service request.Service // "service.tenant"
	Tenant  request.Tenant
	Zone    string
	Region  string
	Data    string // address of the data path, ip:port
	Control string // address of the control path, ip:port
	// Incarnation is the one in which these contents were published. A new
	// process takes a higher one than its predecessor, by convention the
	// seconds since 2020 at its start; refuting raises it by one.
	Incarnation uint32
	Slots       uint32
	Connections uint32
}

// bodyMask is the size of a digest of contents. With 24 bits, one in 17 million
// changes of a member's contents would go unnoticed until its next incarnation.
const bodyMask = 1<<24 - 1

// Body returns the digest of the contents, all but the incarnation.
func (r *Record) Body() uint32 {
	b := make([]byte, 0, 256)
	for _, s := range [...]string{
		r.Name, string(r.Service), string(r.Tenant), r.Zone, r.Region, r.Data, r.Control,
	} {
		b = append(append(b, s...), 0)
	}
	b = binary.LittleEndian.AppendUint32(b, r.Slots)
	b = binary.LittleEndian.AppendUint32(b, r.Connections)
	return uint32(xxhash.Sum64(b) & bodyMask)
}

// Change is the news that a member has a status in an incarnation.
type Change struct {
	ID          request.TargetID
	Incarnation uint32
	Status      Status
	// Body is a digest of the record's contents (Record.Body), so that a receiver
	// sees whether the record that it holds is current. A member that restarts
	// unchanged needs no record to be sent again.
	Body uint32
}

// newer reports whether c supersedes a member's incarnation and status.
func (c Change) newer(inc uint32, st Status) bool {
	return c.Incarnation > inc || c.Incarnation == inc && c.Status > st
}

// sum is the contribution of a live member to the digest.
func (c Change) sum() uint64 {
	if !c.Status.live() {
		return 0
	}
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], uint64(c.ID))
	binary.LittleEndian.PutUint32(b[8:], c.Incarnation)
	b[12] = byte(c.Status)
	return xxhash.Sum64(b[:])
}

// FactKind names the meaning of facts; State treats kinds alike, but for the
// order in which they are sent.
type FactKind uint8

const (
	// ConfigHead facts carry the head of the configuration; sent first.
	ConfigHead FactKind = 1
	// CrashSuspect facts carry requests suspected of crashing their targets.
	CrashSuspect FactKind = 2
)

// MaxFactValue bounds Fact.Value in bytes.
const MaxFactValue = 64

// Fact is a small versioned value that every member comes to know. Of two facts
// with the same Kind and Key the one with the higher Version wins.
type Fact struct {
	Kind    FactKind
	Key     uint64
	Version uint64
	Value   []byte
}

// factID places a fact in the key space of the digest.
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
