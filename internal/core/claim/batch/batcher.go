package batch

import (
	"maps"
	"time"
)

// Op is a conditional write of one entry.
type Op struct {
	ID        uint64 // the caller's, returned in Reply
	Slot      Slot
	Key       string // EntryKey
	Entry     Entry  // Entry.Version must be IfVersion+1
	IfVersion int64  // 0: no entry
	Lazy      bool   // nobody waits for it
}

// Result is how an Op ended.
type Result uint8

const (
	// Unavailable: nothing was written.
	Unavailable Result = iota
	// OK: the entry is durable.
	OK
	// ConditionFailed: nothing was written; Reply.Current is the entry found.
	ConditionFailed
	// Ambiguous: the entry may be in the row, now or later.
	Ambiguous
	// Full: nothing was written, as the row has no room for another entry.
	Full
)

// Actions of a Batcher.
type (
	// Write puts a row if the table's is at Version-1.
	Write struct {
		Row     string
		Version int64
		Entries map[string]Entry // not to be changed
		Expires time.Duration
	}
	// Read gets a row.
	Read struct{ Row string }
	// Reply answers an Op.
	Reply struct {
		ID      uint64
		Result  Result
		Current Entry
	}
)

// Action is a Write, Read or Reply.
type Action any

type phase uint8

const (
	resting phase = iota
	writing
	reading
)

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)

// pendingOp is an op on its way.
type pendingOp struct {
	Op
	doubt bool // a write with it had no answer
	fits  bool // its condition held in the write under way
	full  bool // its condition held, but there was no room
}

// row is what a batcher knows of one row.
type row struct {
	slot    Slot
	known   bool // version and entries were right a moment ago
	version int64
	entries map[string]Entry
	next    map[string]Entry // entries after the write under way

	phase  phase
	queue  []*pendingOp // waiting
	flight []*pendingOp // in the write or read under way
	tries  int
	due    time.Duration // when queue is written
	paced  time.Duration // no write before
	used   time.Duration // last op
}

// Batcher collects ops by row.
type Batcher struct {
	cfg  Config
	rows map[string]*row
}

// New returns an empty Batcher.
func New(cfg Config) *Batcher { return &Batcher{cfg: cfg, rows: make(map[string]*row)} }

// Submit takes an op.
func (b *Batcher) Submit(now time.Duration, op Op) []Action {
	r := b.rows[op.Slot.Row]
	if r == nil {
		r = &row{slot: op.Slot, due: never}
		b.rows[op.Slot.Row] = r
	}
	r.used = now
	r.queue = append(r.queue, &pendingOp{Op: op})
	wait := time.Duration(0)
	if op.Lazy {
		wait = b.cfg.LazyWait
	}
	r.due = min(r.due, max(r.paced, now+wait))
	return b.flush(now, r)
}

// Len returns how many rows are in memory.
func (b *Batcher) Len() int { return len(b.rows) }

// Has reports whether a row is in memory.
func (b *Batcher) Has(name string) bool { return b.rows[name] != nil }

// Hurry makes all that waits due: a node that stops has no time to hold ops
// back.
func (b *Batcher) Hurry(now time.Duration) []Action {
	for _, r := range b.rows {
		if len(r.queue) > 0 {
			r.due = now
		}
	}
	return b.Tick(now)
}

// Due returns when Tick is to be called next; ok is false if it needn't.
func (b *Batcher) Due() (at time.Duration, ok bool) {
	at = never
	for _, r := range b.rows {
		if r.phase == resting {
			at = min(at, r.due)
		}
		if r.phase == resting && len(r.queue) == 0 {
			at = min(at, r.used+b.cfg.Idle+1)
		}
	}
	return at, at != never
}

// Tick writes what is due and forgets idle rows.
func (b *Batcher) Tick(now time.Duration) []Action {
	var acts []Action
	for _, name := range sortedKeys(b.rows) {
		r := b.rows[name]
		acts = append(acts, b.flush(now, r)...)
		if r.phase == resting && len(r.queue) == 0 && now-r.used > b.cfg.Idle {
			delete(b.rows, name)
		}
	}
	return acts
}

// flush begins a batch of all that waits, if its time has come.
func (b *Batcher) flush(now time.Duration, r *row) []Action {
	if r.phase != resting || len(r.queue) == 0 || now < r.due {
		return nil
	}
	r.flight, r.queue, r.due = r.queue, nil, never
	r.paced, r.tries = now+b.cfg.Pace, 0
	if !r.known && now-r.slot.Start > b.cfg.Fresh {
		return b.read(r)
	}
	if !r.known {
		r.version, r.entries = 0, nil // a guess, which the condition checks
	}
	if !b.merge(r) {
		return b.read(r) // only a read can confirm that all conditions fail
	}
	return b.write(r)
}

// merge applies the flight to what is known of the row, and reports whether it
// changes. Ops whose condition does not hold wait for the write's answer: if
// the row's own condition holds, what is known was right.
func (b *Batcher) merge(r *row) bool {
	next := maps.Clone(r.entries)
	if next == nil {
		next = make(map[string]Entry)
	}
	size, changed := b.sizeOf(next), false
	for _, op := range r.flight {
		op.fits, op.full = next[op.Key].Version == op.IfVersion, false
		if !op.fits {
			continue
		}
		// An entry that is there may always move on, on room reserved for it: a
		// claim whose outcome had none would be unknown for good.
		if op.IfVersion == 0 {
			size += b.sizeOfOne(op.Key, op.Entry)
			if size > b.cfg.MaxRow {
				size -= b.sizeOfOne(op.Key, op.Entry)
				op.fits, op.full = false, true
				continue
			}
		}
		next[op.Key], changed = op.Entry, true
	}
	r.next = next
	return changed
}

func (b *Batcher) write(r *row) []Action {
	r.phase = writing
	return []Action{Write{Row: r.slot.Row, Version: r.version + 1, Entries: r.next, Expires: expiry(r.next)}}
}

// entryOverhead bounds what an entry takes beyond its key, token and value.
const entryOverhead = 32

// sizeOfOne returns the bytes that an entry takes or has reserved.
func (b *Batcher) sizeOfOne(key string, e Entry) int {
	return entryOverhead + len(key) + len(e.Token) + max(len(e.Value), b.cfg.Reserve)
}

func (b *Batcher) sizeOf(entries map[string]Entry) int {
	n := 0
	for k, e := range entries {
		n += b.sizeOfOne(k, e)
	}
	return n
}

func (b *Batcher) read(r *row) []Action {
	r.phase = reading
	return []Action{Read{Row: r.slot.Row}}
}

// Written: the row's write is durable.
func (b *Batcher) Written(now time.Duration, name string) []Action {
	r := b.rows[name]
	if r == nil || r.phase != writing {
		return nil
	}
	r.version++
	r.entries, r.known = r.next, true
	return b.finish(now, r, func(op *pendingOp) Result {
		switch {
		case op.fits:
			return OK
		case op.full:
			return Full
		default:
			return judge(r.entries[op.Key], op)
		}
	})
}

// ConditionFailed: another batching node has written the row.
func (b *Batcher) ConditionFailed(now time.Duration, name string) []Action {
	return b.again(now, name, false)
}

// InDoubt: the write may have taken effect, now or later. It is settled by
// reading the row: a later write under the same condition keeps the lost one
// from arriving after it.
func (b *Batcher) InDoubt(now time.Duration, name string) []Action {
	return b.again(now, name, true)
}

func (b *Batcher) again(now time.Duration, name string, doubt bool) []Action {
	r := b.rows[name]
	if r == nil || r.phase != writing {
		return nil
	}
	for _, op := range r.flight {
		op.doubt = op.doubt || doubt && op.fits
	}
	if r.tries++; r.tries >= b.cfg.Tries {
		return b.fail(now, r)
	}
	return b.read(r)
}

// NothingWritten: the platform is known not to have had the write.
func (b *Batcher) NothingWritten(now time.Duration, name string) []Action {
	r := b.rows[name]
	if r == nil || r.phase != writing {
		return nil
	}
	return b.fail(now, r)
}

// ReadFailed: the row could not be read.
func (b *Batcher) ReadFailed(now time.Duration, name string) []Action {
	r := b.rows[name]
	if r == nil || r.phase != reading {
		return nil
	}
	return b.fail(now, r)
}

// RowRead: the row as it is; version 0 and no entries if there is none.
func (b *Batcher) RowRead(now time.Duration, name string, version int64, entries map[string]Entry) []Action {
	r := b.rows[name]
	if r == nil || r.phase != reading {
		return nil
	}
	r.version, r.entries, r.known = version, entries, true
	var acts []Action
	var left []*pendingOp
	for _, op := range r.flight {
		// An op whose entry is behind its condition stays: its forerunner may be
		// in this flight, and a write with both be under way.
		if e := entries[op.Key]; e.Version > op.IfVersion {
			acts = append(acts, Reply{ID: op.ID, Result: judge(e, op), Current: e})
			continue
		}
		left = append(left, op)
	}
	r.flight = left
	if b.merge(r) {
		return append(acts, b.write(r)...)
	}
	return append(acts, b.finish(now, r, refused)...)
}

// refused says how an op ended that does not fit a row just read.
func refused(op *pendingOp) Result {
	switch {
	case op.doubt:
		return Ambiguous
	case op.full:
		return Full
	default:
		return ConditionFailed
	}
}

// judge says how an op ended that has no write under way, and whose condition
// does not hold against e.
func judge(e Entry, op *pendingOp) Result {
	switch {
	case e.Version == op.Entry.Version && e.Token == op.Entry.Token:
		return OK
	case op.doubt && e.Version > op.Entry.Version:
		return Ambiguous // the entry may have been ours before it moved on
	default:
		return ConditionFailed
	}
}

// fail replies that the batch could not be written.
func (b *Batcher) fail(now time.Duration, r *row) []Action {
	r.known = false
	return b.finish(now, r, func(op *pendingOp) Result {
		if op.doubt {
			return Ambiguous
		}
		return Unavailable
	})
}

// finish replies to the flight and begins the next one if it is due.
func (b *Batcher) finish(now time.Duration, r *row, result func(*pendingOp) Result) []Action {
	var acts []Action
	for _, op := range r.flight {
		acts = append(acts, Reply{ID: op.ID, Result: result(op), Current: r.entries[op.Key]})
	}
	return append(acts, b.rest(now, r)...)
}

func (b *Batcher) rest(now time.Duration, r *row) []Action {
	r.phase, r.flight, r.next = resting, nil, nil
	return b.flush(now, r)
}
