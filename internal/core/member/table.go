package member

import (
	"slices"
	"sort"

	"peardrift/internal/core/request"
)

// entry is what a node holds for each member: 32 bytes, to limit the memory for
// the whole fleet. The record is shared and immutable; nil while it is unknown.
type entry struct {
	id          request.TargetID
	rec         *Record
	inc         uint32
	processInc  uint32  // the incarnation that the current process started with
	body        [3]byte // Change.BodyDigest
	status      Status
	recordStale bool // rec does not match the digest in body
}

func (e *entry) change() Change {
	return Change{ID: e.id, Incarnation: e.inc, Status: e.status, BodyDigest: e.bodyDigest()}
}

func (e *entry) bodyDigest() uint32 {
	return uint32(e.body[0]) | uint32(e.body[1])<<8 | uint32(e.body[2])<<16
}

// needsRecord reports whether the member's current record is unknown.
func (e *entry) needsRecord() bool { return e.status != Dead && (e.rec == nil || e.recordStale) }

// apply stores a change and, if not nil, its record.
func (e *entry) apply(c Change, rec *Record) {
	if rec != nil {
		e.rec, e.recordStale = rec, false
	} else if c.BodyDigest != e.bodyDigest() {
		e.recordStale = true
	}
	if c.Incarnation > e.inc+1 { // an increment of one is a refutation
		e.processInc = c.Incarnation
	}
	if rec != nil {
		e.processInc = max(e.processInc, rec.Incarnation)
	}
	e.inc, e.status = c.Incarnation, c.Status
	e.body = [3]byte{byte(c.BodyDigest), byte(c.BodyDigest >> 8), byte(c.BodyDigest >> 16)}
	if e.status == Dead {
		e.rec, e.recordStale = nil, false
	}
}

// isPresent reports whether the member takes part in the overlay.
func (e *entry) isPresent() bool { return e.rec != nil && e.status.isLive() }

// factEntry is a fact with its position in the key space.
type factEntry struct {
	id   uint64
	fact Fact
}

// table holds all members and facts, sorted by key, with incremental digests of
// its 256 top-level buckets.
type table struct {
	members    []entry
	facts      []factEntry
	bucketSums [256]uint64
	root       uint64
	dead       int // number of tombstones
}

// reserve allocates capacity for n members and a few more, so that the first
// later joins do not copy the table.
func (t *table) reserve(n int) {
	const spare = 16
	t.members = slices.Grow(t.members, n+n/spare)
}

func (t *table) add(id, sum uint64) {
	t.bucketSums[id>>56] += sum
	t.root += sum
}

func (t *table) sub(id, sum uint64) { t.add(id, -sum) }

// index returns the position of id and whether it is present. The keys are
// hashes, evenly distributed, so an interpolation search takes few steps.
func (t *table) index(id request.TargetID) (int, bool) {
	n := len(t.members)
	if n == 0 {
		return 0, false
	}
	const window = 32
	guess := int((uint64(id) >> 32) * uint64(n) >> 32)
	lo, hi := max(guess-window, 0), min(guess+window, n)
	if t.members[lo].id > id {
		lo = 0
	}
	if hi < n && t.members[hi].id <= id {
		hi = n
	}
	i := lo + sort.Search(hi-lo, func(i int) bool { return t.members[lo+i].id >= id })
	return i, i < n && t.members[i].id == id
}

// get returns the entry of a member, or nil. It is valid until the next
// modification of the table.
func (t *table) get(id request.TargetID) *entry {
	if i, ok := t.index(id); ok {
		return &t.members[i]
	}
	return nil
}

// shortID returns the upper half of an ID if no other member shares it.
func (t *table) shortID(id request.TargetID) (uint32, bool) {
	i, ok := t.index(id)
	short := uint32(id >> 32)
	if !ok || i > 0 && uint32(t.members[i-1].id>>32) == short ||
		i+1 < len(t.members) && uint32(t.members[i+1].id>>32) == short {
		return 0, false
	}
	return short, true
}

// getByShortID returns the only member with this upper half of the ID, or nil.
func (t *table) getByShortID(short uint32) *entry {
	i, _ := t.index(request.TargetID(short) << 32)
	if i >= len(t.members) || uint32(t.members[i].id>>32) != short {
		return nil
	}
	if i+1 < len(t.members) && uint32(t.members[i+1].id>>32) == short {
		return nil
	}
	return &t.members[i]
}

// set stores the incarnation and status of a member, with its record if not
// nil.
func (t *table) set(c Change, rec *Record) *entry {
	i, ok := t.index(c.ID)
	if !ok {
		t.members = append(t.members, entry{})
		copy(t.members[i+1:], t.members[i:])
		t.members[i] = entry{id: c.ID, status: Unreachable}
	}
	e := &t.members[i]
	t.sub(uint64(c.ID), e.change().sum())
	if e.status == Dead {
		t.dead--
	}
	e.apply(c, rec)
	if e.status == Dead {
		t.dead++
	}
	t.add(uint64(c.ID), e.change().sum())
	return e
}

// remove deletes a member.
func (t *table) remove(id request.TargetID) {
	i, ok := t.index(id)
	if !ok {
		return
	}
	e := &t.members[i]
	t.sub(uint64(id), e.change().sum())
	if e.status == Dead {
		t.dead--
	}
	t.members = append(t.members[:i], t.members[i+1:]...)
}

func (t *table) factIndex(id uint64) (int, bool) {
	i := sort.Search(len(t.facts), func(i int) bool { return t.facts[i].id >= id })
	return i, i < len(t.facts) && t.facts[i].id == id
}

// fact returns the fact with an ID, or nil.
func (t *table) fact(id uint64) *Fact {
	if i, ok := t.factIndex(id); ok {
		return &t.facts[i].fact
	}
	return nil
}

// putFact stores f if it is newer than the known version.
func (t *table) putFact(f Fact) bool {
	id := factID(f.Kind, f.Key)
	i, ok := t.factIndex(id)
	switch {
	case !ok:
		t.facts = append(t.facts, factEntry{})
		copy(t.facts[i+1:], t.facts[i:])
	case t.facts[i].fact.Version >= f.Version:
		return false
	default:
		t.sub(id, t.facts[i].fact.sum())
	}
	t.facts[i] = factEntry{id: id, fact: f}
	t.add(id, f.sum())
	return true
}

// trimFacts removes the fact of a kind with the lowest version if there are
// more than limit. The choice depends on the facts alone, so that all members
// remove the same one.
func (t *table) trimFacts(kind FactKind, limit int) {
	n, oldest := 0, -1
	for i := range t.facts {
		f := &t.facts[i].fact
		if f.Kind != kind {
			continue
		}
		n++
		if oldest < 0 || f.Version < t.facts[oldest].fact.Version {
			oldest = i
		}
	}
	if n <= limit {
		return
	}
	t.sub(t.facts[oldest].id, t.facts[oldest].fact.sum())
	t.facts = append(t.facts[:oldest], t.facts[oldest+1:]...)
}
