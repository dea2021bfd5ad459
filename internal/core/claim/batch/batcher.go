package batch

import (
	"maps"
	"time"
)

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
	fails  int           // batches in a row that the platform did not answer
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
	acts := b.drop(now, r)
	if len(r.flight) == 0 {
		return acts
	}
	r.paced, r.tries = now+b.cfg.Pace, 0
	return append(acts, b.begin(now, r)...)
}

// drop answers the ops of the flight whose senders have given up.
//
// Symptom without: a platform that was slow for a second is kept busy by the
// claims of callers that have gone, each of which has to be undone by further
// writes, while those that wait go stale behind them.
func (b *Batcher) drop(now time.Duration, r *row) []Action {
	var acts []Action
	var left []*pendingOp
	for _, op := range r.flight {
		if op.Until == 0 || now < op.Until {
			left = append(left, op)
			continue
		}
		acts = append(acts, Reply{ID: op.ID, Result: unanswered(op)})
	}
	r.flight = left
	return acts
}

// begin reads or writes the row for the flight.
func (b *Batcher) begin(now time.Duration, r *row) []Action {
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
		if op.Look {
			continue // what the write confirms, or else a read, is its answer
		}
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
	r.entries, r.known, r.fails = r.next, true, 0
	return b.finish(now, r, func(op *pendingOp) Result {
		switch {
		case op.fits, op.Look:
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
	acts := b.drop(now, r)
	if len(r.flight) == 0 {
		return append(acts, b.fail(now, r)...)
	}
	return append(acts, b.read(r)...)
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
	acts := b.drop(now, r)
	var left []*pendingOp
	for _, op := range r.flight {
		// An op whose entry is behind its condition stays: its forerunner may be
		// in this flight, and a write with both be under way.
		e := entries[op.Key]
		if op.Look {
			acts = append(acts, Reply{ID: op.ID, Result: OK, Current: e})
			continue
		}
		if e.Version > op.IfVersion {
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
	b.slowDown(now, r)
	return b.finish(now, r, unanswered)
}

// unanswered says how an op ended that the platform has not answered.
func unanswered(op *pendingOp) Result {
	if op.doubt {
		return Ambiguous
	}
	return Unavailable
}

// slowDown puts off the row's next batch, the longer the more have failed.
//
// Symptom without: a platform that was slow for a second stays so. What failed
// is tried again, in a batch of each row each Pace; together that is more than
// the platform can do, so all of it fails again.
func (b *Batcher) slowDown(now time.Duration, r *row) {
	pause := b.cfg.Pace
	for range r.fails {
		pause = min(2*pause, b.cfg.MaxPace)
	}
	r.fails++
	r.paced = now + pause
	if r.due != never {
		r.due = max(r.due, r.paced)
	}
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
