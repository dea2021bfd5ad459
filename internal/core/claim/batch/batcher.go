package batch

import (
	"maps"
	"time"
)

type phase uint8

const (
	idle phase = iota
	writing
	reading
)

// never is the due time of a row with nothing scheduled.
const never = time.Duration(1<<63 - 1)

// pendingOp is an op without a reply yet.
type pendingOp struct {
	Op
	maybeWritten bool // an earlier write containing it had no answer
	fits         bool // its condition holds in the write in flight
	full         bool // its condition holds, but the row has no room
}

// row is a batcher's state of one row.
type row struct {
	slot    Slot
	cached  bool // version and entries come from the last write or read
	version int64
	entries map[string]Entry
	next    map[string]Entry // entries after the write in flight

	phase     phase
	queue     []*pendingOp // waiting
	batch     []*pendingOp // in the write or read in flight
	attempts  int
	due       time.Duration // when queue is to be written
	notBefore time.Duration // earliest time of the next write
	lastUsed  time.Duration // time of the last op
	failures  int           // consecutive batches that the platform did not answer
}

// Batcher batches ops by row.
type Batcher struct {
	cfg  Config
	rows map[string]*row
}

// New returns an empty Batcher.
func New(cfg Config) *Batcher { return &Batcher{cfg: cfg, rows: make(map[string]*row)} }

// Submit queues an op and returns the actions that are due.
func (b *Batcher) Submit(now time.Duration, op Op) []Action {
	r := b.rows[op.Slot.Row]
	if r == nil {
		r = &row{slot: op.Slot, due: never}
		b.rows[op.Slot.Row] = r
	}
	r.lastUsed = now
	r.queue = append(r.queue, &pendingOp{Op: op})
	wait := time.Duration(0)
	if op.Deferrable {
		wait = b.cfg.DeferDelay
	}
	r.due = min(r.due, max(r.notBefore, now+wait))
	return b.flush(now, r)
}

// Len returns the number of rows in memory.
func (b *Batcher) Len() int { return len(b.rows) }

// Has reports whether a row is in memory.
func (b *Batcher) Has(name string) bool { return b.rows[name] != nil }

// FlushAll makes all queued ops due immediately, because a stopping node must not
// delay them.
func (b *Batcher) FlushAll(now time.Duration) []Action {
	for _, r := range b.rows {
		if len(r.queue) > 0 {
			r.due = now
		}
	}
	return b.Tick(now)
}

// Due returns when to call Tick next; ok is false if no call is needed.
func (b *Batcher) Due() (at time.Duration, ok bool) {
	at = never
	for _, r := range b.rows {
		if r.phase == idle {
			at = min(at, r.due)
		}
		if r.phase == idle && len(r.queue) == 0 {
			at = min(at, r.lastUsed+b.cfg.IdleTimeout+1)
		}
	}
	return at, at != never
}

// Tick starts the batches that are due and evicts idle rows.
func (b *Batcher) Tick(now time.Duration) []Action {
	var acts []Action
	for _, name := range sortedKeys(b.rows) {
		r := b.rows[name]
		acts = append(acts, b.flush(now, r)...)
		if r.phase == idle && len(r.queue) == 0 && now-r.lastUsed > b.cfg.IdleTimeout {
			delete(b.rows, name)
		}
	}
	return acts
}

// flush starts a batch of all queued ops if it is due.
func (b *Batcher) flush(now time.Duration, r *row) []Action {
	if r.phase != idle || len(r.queue) == 0 || now < r.due {
		return nil
	}
	r.batch, r.queue, r.due = r.queue, nil, never
	acts := b.dropExpired(now, r)
	if len(r.batch) == 0 {
		return acts
	}
	r.notBefore, r.attempts = now+b.cfg.MinWriteInterval, 0
	return append(acts, b.start(now, r)...)
}

// dropExpired answers the ops of the batch whose senders have given up. Without
// it a platform that was slow for a second stays busy with claims of callers that
// have left, each of which further writes must undo, while the ops queued behind
// them expire as well.
func (b *Batcher) dropExpired(now time.Duration, r *row) []Action {
	var acts []Action
	var remaining []*pendingOp
	for _, op := range r.batch {
		if op.Deadline == 0 || now < op.Deadline {
			remaining = append(remaining, op)
			continue
		}
		acts = append(acts, Reply{ID: op.ID, Result: unansweredResult(op)})
	}
	r.batch = remaining
	return acts
}

// start reads or writes the row for the batch.
func (b *Batcher) start(now time.Duration, r *row) []Action {
	if !r.cached && now-r.slot.Start > b.cfg.AssumeAbsentAge {
		return b.read(r)
	}
	if !r.cached {
		r.version, r.entries = 0, nil // an assumption that the write's condition verifies
	}
	if !b.merge(r) {
		return b.read(r) // only a read can confirm that no condition holds
	}
	return b.write(r)
}

// merge applies the batch to the cached row and reports whether the row changes.
// Ops whose condition does not hold wait for the write's answer: if the row's own
// condition holds, the cache was correct.
func (b *Batcher) merge(r *row) bool {
	next := maps.Clone(r.entries)
	if next == nil {
		next = make(map[string]Entry)
	}
	size, changed := b.totalSize(next), false
	for _, op := range r.batch {
		if op.ReadOnly {
			continue // answered by the write's confirmation or by a read
		}
		op.fits, op.full = next[op.Key].Version == op.IfVersion, false
		if !op.fits {
			continue
		}
		// An existing entry may always be updated in the space reserved for it: a
		// claim without space for its outcome would be unknown permanently.
		if op.IfVersion == 0 {
			size += b.entrySize(op.Key, op.Entry)
			if size > b.cfg.MaxRow {
				size -= b.entrySize(op.Key, op.Entry)
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

// entryOverhead is an upper bound, in bytes, of an entry's encoding beyond its
// key, token and value.
const entryOverhead = 32

// entrySize returns the bytes that an entry uses or reserves.
func (b *Batcher) entrySize(key string, e Entry) int {
	return entryOverhead + len(key) + len(e.Token) + max(len(e.Value), b.cfg.ReservedValueSize)
}

func (b *Batcher) totalSize(entries map[string]Entry) int {
	n := 0
	for k, e := range entries {
		n += b.entrySize(k, e)
	}
	return n
}

func (b *Batcher) read(r *row) []Action {
	r.phase = reading
	return []Action{Read{Row: r.slot.Row}}
}

// Written reports that the row's write is durable.
func (b *Batcher) Written(now time.Duration, name string) []Action {
	r := b.rows[name]
	if r == nil || r.phase != writing {
		return nil
	}
	r.version++
	r.entries, r.cached, r.failures = r.next, true, 0
	return b.finish(now, r, func(op *pendingOp) Result {
		switch {
		case op.fits, op.ReadOnly:
			return OK
		case op.full:
			return Full
		default:
			return mismatchResult(r.entries[op.Key], op)
		}
	})
}

// ConditionFailed reports that another batching node has written the row.
func (b *Batcher) ConditionFailed(now time.Duration, name string) []Action {
	return b.retry(now, name, false)
}

// Ambiguous reports that the write may have taken effect or may still do so. The
// batcher resolves this by reading the row; a further write under the same
// condition keeps the lost one from taking effect after it.
func (b *Batcher) Ambiguous(now time.Duration, name string) []Action {
	return b.retry(now, name, true)
}

func (b *Batcher) retry(now time.Duration, name string, ambiguous bool) []Action {
	r := b.rows[name]
	if r == nil || r.phase != writing {
		return nil
	}
	for _, op := range r.batch {
		op.maybeWritten = op.maybeWritten || ambiguous && op.fits
	}
	if r.attempts++; r.attempts >= b.cfg.MaxAttempts {
		return b.fail(now, r)
	}
	acts := b.dropExpired(now, r)
	if len(r.batch) == 0 {
		return append(acts, b.fail(now, r)...)
	}
	return append(acts, b.read(r)...)
}

// NotWritten reports that the platform certainly did not receive the write.
func (b *Batcher) NotWritten(now time.Duration, name string) []Action {
	r := b.rows[name]
	if r == nil || r.phase != writing {
		return nil
	}
	return b.fail(now, r)
}

// ReadFailed reports that the row could not be read.
func (b *Batcher) ReadFailed(now time.Duration, name string) []Action {
	r := b.rows[name]
	if r == nil || r.phase != reading {
		return nil
	}
	return b.fail(now, r)
}

// RowRead reports the row's content; version 0 and no entries if it is absent.
func (b *Batcher) RowRead(now time.Duration, name string, version int64, entries map[string]Entry) []Action {
	r := b.rows[name]
	if r == nil || r.phase != reading {
		return nil
	}
	r.version, r.entries, r.cached = version, entries, true
	acts := b.dropExpired(now, r)
	var remaining []*pendingOp
	for _, op := range r.batch {
		// An op whose entry is older than its condition stays: the op that it
		// follows may be in this batch, with a write of both in flight.
		e := entries[op.Key]
		if op.ReadOnly {
			acts = append(acts, Reply{ID: op.ID, Result: OK, Current: e})
			continue
		}
		if e.Version > op.IfVersion {
			acts = append(acts, Reply{ID: op.ID, Result: mismatchResult(e, op), Current: e})
			continue
		}
		remaining = append(remaining, op)
	}
	r.batch = remaining
	if b.merge(r) {
		return append(acts, b.write(r)...)
	}
	return append(acts, b.finish(now, r, unmergedResult)...)
}

// unmergedResult returns the result of an op that does not fit a row just read.
func unmergedResult(op *pendingOp) Result {
	switch {
	case op.maybeWritten:
		return Ambiguous
	case op.full:
		return Full
	default:
		return ConditionFailed
	}
}

// mismatchResult returns the result of an op that has no write in flight and
// whose condition does not hold against e.
func mismatchResult(e Entry, op *pendingOp) Result {
	switch {
	case e.Version == op.Entry.Version && e.Token == op.Entry.Token:
		return OK
	case op.maybeWritten && e.Version > op.Entry.Version:
		return Ambiguous // the op may have been written before a later version replaced it
	default:
		return ConditionFailed
	}
}

// fail ends the batch because it could not be written.
func (b *Batcher) fail(now time.Duration, r *row) []Action {
	r.cached = false
	b.backOff(now, r)
	return b.finish(now, r, unansweredResult)
}

// unansweredResult returns the result of an op that the platform did not answer.
func unansweredResult(op *pendingOp) Result {
	if op.maybeWritten {
		return Ambiguous
	}
	return Unavailable
}

// backOff delays the row's next batch exponentially with consecutive failures.
// Without it a platform that was slow for a second stays slow: every row retries
// its failed ops each MinWriteInterval, which together exceeds the platform's capacity, so
// all of them fail again.
func (b *Batcher) backOff(now time.Duration, r *row) {
	pause := b.cfg.MinWriteInterval
	for range r.failures {
		pause = min(2*pause, b.cfg.MaxWriteInterval)
	}
	r.failures++
	r.notBefore = now + pause
	if r.due != never {
		r.due = max(r.due, r.notBefore)
	}
}

// finish replies to the ops of the batch and starts the next batch if it is due.
func (b *Batcher) finish(now time.Duration, r *row, result func(*pendingOp) Result) []Action {
	var acts []Action
	for _, op := range r.batch {
		acts = append(acts, Reply{ID: op.ID, Result: result(op), Current: r.entries[op.Key]})
	}
	return append(acts, b.endBatch(now, r)...)
}

func (b *Batcher) endBatch(now time.Duration, r *row) []Action {
	r.phase, r.batch, r.next = idle, nil, nil
	return b.flush(now, r)
}
