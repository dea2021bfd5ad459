// Package request defines the types shared by the decision packages: the identity of a
// request, its importance, and its outcome.
//
// All of internal/core is pure: events and the current time go in, typed actions come
// out. Nothing here does I/O, starts goroutines, reads a clock or uses global
// randomness. Time is a time.Duration since an epoch chosen by the caller (a node uses
// its start on the monotonic clock, a replay its virtual clock); only differences
// matter.
package request

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// IDSize is the size of a request ID in bytes, that of a W3C trace ID.
const IDSize = 16

// ID identifies one request over its whole call chain. It is the W3C trace ID generated
// by the entry node, so a target passes it on with traceparent.
type ID [IDSize]byte

// String returns the ID as 32 lower-case hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool { return id == ID{} }

// Importance orders request classes: classes with a higher value are refused later.
// Operators declare it, from 0 (lowest) to MaxImportance.
type Importance uint8

// MaxImportance is the highest importance that an operator may declare.
const MaxImportance Importance = 100

const (
	hashBits = 16
	hashMask = 1<<hashBits - 1
)

// Priority is the order in which all nodes refuse requests: by importance, then by a
// hash of the request ID. Since every hop derives the same Priority for a request, an
// overloaded chain refuses the same requests at each of its services, and the others
// complete. A higher Priority is refused later.
type Priority uint32

// MaxPriority is above every priority that PriorityOf returns.
const MaxPriority = Priority(uint32(MaxImportance)+1) << hashBits

// PriorityOf derives the priority of a request.
func PriorityOf(imp Importance, id ID) Priority {
	h := xxhash.Sum64(id[:])
	return Priority(imp)<<hashBits | Priority(h&hashMask)
}

// LowestPriority returns the lowest priority of an importance.
func LowestPriority(imp Importance) Priority { return Priority(imp) << hashBits }

// DrawTries is the number of identities that Draw tries. It finds an identity in 96 of 100
// draws where a level admits a twentieth of the importance.
const DrawTries = 64

// Draw draws a request identity whose priority is at least level, by rejection sampling
// from random, which returns uniformly distributed identities. The part of an importance
// that a level admits is thereby drawn uniformly. After DrawTries tries it returns the
// identity with the highest priority seen.
func Draw(imp Importance, level Level, random func() ID) ID {
	best := random()
	top := PriorityOf(imp, best)
	for n := 1; n < DrawTries && top < level; n++ {
		id := random()
		if p := PriorityOf(imp, id); p > top {
			best, top = id, p
		}
	}
	return best
}

// Assured reports whether a request belongs to the given fraction of requests that are
// refused last, regardless of class. All nodes select the same requests, by ID and
// independently of the order within an importance.
func Assured(id ID, part float64) bool {
	const bits = 16
	return float64(xxhash.Sum64(id[:])>>(64-bits)) < part*(1<<bits)
}

// Importance returns the importance that the priority was derived from.
func (p Priority) Importance() Importance { return Importance(p >> hashBits) }

// AsImportance returns the priority on the scale of importances. For a level, the
// integer part is the importance at the admission threshold, and the fraction is the
// part of that importance that is refused.
func (p Priority) AsImportance() float64 { return float64(p) / (1 << hashBits) }

// Level is an admission threshold: requests with a lower Priority are refused. Level 0
// admits all.
type Level = Priority

// Service is a service name, "service.tenant", as callers put it in the Host header.
type Service string

// Label returns the name without its tenant. It may contain dots.
func (s Service) Label() string {
	label, _ := s.cut()
	return label
}

// Tenant returns the tenant, or "" if the name has none.
func (s Service) Tenant() Tenant {
	_, tenant := s.cut()
	return Tenant(tenant)
}

func (s Service) cut() (label, tenant string) {
	if i := strings.LastIndexByte(string(s), '.'); i >= 0 {
		return string(s[:i]), string(s[i+1:])
	}
	return string(s), ""
}

// Tenant is the name of a tenant.
type Tenant string

// Organisation is the name of a calling organisation, the holder of API keys.
type Organisation string

// Class is the name of a request class, unique within its service.
type Class string

// TargetID identifies a target instance across its incarnations. It is a hash of the
// announced name.
type TargetID uint64

// SortKey returns a sort key of the target that is the same at all nodes and evenly
// distributed over 64-bit numbers; each salt gives a different order.
func (t TargetID) SortKey(salt ...uint64) uint64 {
	var room [4 * 8]byte
	b := binary.LittleEndian.AppendUint64(room[:0], uint64(t))
	for _, s := range salt {
		b = binary.LittleEndian.AppendUint64(b, s)
	}
	return xxhash.Sum64(b)
}

// TargetIDOf returns the TargetID of an instance's announced name.
func TargetIDOf(name string) TargetID { return TargetID(xxhash.Sum64String(name)) }

// String returns the ID as 16 hexadecimal digits.
func (t TargetID) String() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(t))
	return hex.EncodeToString(b[:])
}

// Outcome is what a caller is told about a request; it never claims more than is known.
type Outcome uint8

const (
	// Unknown: an attempt may have run, and its result is not known. It is the zero
	// value, so that a missing assignment claims nothing.
	Unknown Outcome = iota
	// Completed: the request ran and its complete answer follows.
	Completed
	// Refused: the request did not run anywhere, not even in part.
	Refused
	// Failed: the request ran and is known to have failed.
	Failed
)

// String returns the outcome as it appears in headers, logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Completed:
		return "completed"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	default:
		return "unknown"
	}
}

// ParseOutcome is the inverse of String; anything else is Unknown.
func ParseOutcome(s string) Outcome {
	for _, o := range [...]Outcome{Completed, Refused, Failed} {
		if o.String() == s {
			return o
		}
	}
	return Unknown
}
