package ratelimit

import (
	"time"

	"peardrift/internal/core/request"
)

// Row is the value of a shard's row in the platform's table.
type Row struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Holder      request.TargetID
	Incarnation uint64 // incarnation of the holder
	Count       uint64 // increases with each write of one Incarnation
	Released    bool   // the holder has stopped granting
	// Parts are the grants that nodes may hold; Complete is false if there may be others.
	Organisations []request.Organisation
	Parts         []RowPart
	Complete      bool
}

// RowPart is the part of an organisation's limit that a node may hold.
type RowPart struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 read by the codec

	Organisation int // index into Row.Organisations
	Node         request.TargetID
	Rate         float32
	Capacity     float32
}

// maxParts bounds Row.Parts, so that a row fits into the table: each part takes about
// 22 bytes.
const maxParts = 2500

// Lease is one node's view of the lease on a shard. Its holder divides the shard's
// limits.
type Lease struct {
	cfg         Config
	self        request.TargetID
	incarnation uint64
	first       bool // first start of the whole fleet
	// tableRestored: the table was restored from an older copy, so the row may not name all
	// nodes.
	tableRestored bool

	row         Row
	version     int64 // of the row; 0 if there is none
	known       bool  // the row was read
	holderEnded bool  // the holder's process has ended
	changedAt   time.Duration

	inFlight    bool
	writeSentAt time.Duration // when the unconfirmed write was sent; 0 if none
	count       uint64        // Row.Count of that write
	writtenRow  Row
	// creates: that write creates the row.
	creates    bool
	heldUntil  time.Duration // until when the lease is held
	nextCallAt time.Duration // when the next call is due
	renewedAt  time.Duration // when the lease was last renewed
	askedAt    time.Duration // when a node last asked this one; it then competes for the lease
	ledger     *Ledger
}

// NewLease returns a lease that isn't held.
func NewLease(cfg Config, self request.TargetID, incarnation uint64, first bool) *Lease {
	return &Lease{cfg: cfg, self: self, incarnation: incarnation, first: first, askedAt: -time.Hour}
}

// Step is the next call to the platform.
type Step uint8

const (
	// Idle: no call.
	Idle Step = iota
	// Read the row and pass it to HandleRow.
	Read
	// Write the row if its version is unchanged, then call HandleWrite.
	Write
)

// Held reports whether this node holds the lease and divides the shard's limits.
func (l *Lease) Held(now time.Duration) bool { return now < l.heldUntil && l.ledger != nil }

// Holder returns the lease holder according to the last row read; 0 if unknown.
func (l *Lease) Holder(now time.Duration) request.TargetID {
	if !l.known || l.row.Released || l.row.Holder == l.self || now-l.changedAt > 2*l.cfg.LeaseTerm {
		return 0
	}
	return l.row.Holder
}

const (
	// competeTime is how long after a request a node tries to acquire the lease.
	competeTime = 4 * time.Second
	// failureDelay is the delay before the next call after a failed one.
	failureDelay = 500 * time.Millisecond
	// minWriteInterval is the minimum time between two writes that record new parts.
	minWriteInterval = time.Second
)

// RecordRequest records that another node took this one for the lease holder.
func (l *Lease) RecordRequest(now time.Duration) { l.askedAt = now }

// Next returns the call that is due. Its outcome must be reported once.
func (l *Lease) Next(now time.Duration) (step Step, row Row, version int64) {
	if l.inFlight || now < l.nextCallAt || !l.Held(now) && now-l.askedAt > competeTime {
		return Idle, Row{}, 0
	}
	l.inFlight = true
	switch {
	case l.writeSentAt != 0 || !l.known:
		return Read, Row{}, 0
	case l.Held(now) || l.mayAcquire(now):
		l.count++
		l.writeSentAt = max(now, 1)
		l.writtenRow, l.creates = l.buildRow(now), l.version == 0
		return Write, l.writtenRow, l.version
	default:
		return Read, Row{}, 0
	}
}

// mayAcquire reports whether the lease of the row's holder has certainly ended.
func (l *Lease) mayAcquire(now time.Duration) bool {
	switch {
	case l.version != 0 && (l.row.Released || l.row.Holder == l.self || l.holderEnded):
		return true
	case l.version == 0 && l.first:
		return true
	default:
		return now-l.changedAt > withDrift(l.cfg.LeaseTerm)
	}
}

func (l *Lease) buildRow(now time.Duration) Row {
	r := Row{Holder: l.self, Incarnation: l.incarnation, Count: l.count}
	switch {
	case l.ledger != nil:
		l.ledger.record(now, &r)
	case l.version == 0:
		r.Complete = l.first
	default:
		r.Organisations, r.Parts, r.Complete = l.row.Organisations, l.row.Parts, l.row.Complete
	}
	r.Complete = r.Complete && !l.tableRestored
	return r
}

// HandleWrite records that a write ended. Whether it took effect is known only after
// reading the row. sent is false if the platform certainly did nothing.
func (l *Lease) HandleWrite(now time.Duration, sent bool) {
	l.inFlight = false
	if !sent {
		l.writeSentAt = 0
		l.nextCallAt = now + failureDelay
	}
}

// HandleFailure records that reading the row failed.
func (l *Lease) HandleFailure(now time.Duration) {
	l.inFlight = false
	l.nextCallAt = now + failureDelay
}

// HandleRow processes the row that was read; version 0 means that there is none.
func (l *Lease) HandleRow(now time.Duration, row Row, version int64) {
	l.inFlight = false
	before := l.row
	same := l.known && version == l.version && row.Holder == before.Holder && row.Incarnation == before.Incarnation && row.Count == before.Count
	if !same {
		l.changedAt, l.holderEnded = now, false
	}
	l.row, l.version, l.known = row, version, true
	mine := version != 0 && row.Holder == l.self && row.Incarnation == l.incarnation
	if mine && l.writeSentAt != 0 && row.Count == l.count {
		l.acquire(now)
		return
	}
	l.writeSentAt = 0
	if !mine {
		l.heldUntil, l.ledger = 0, nil
		l.nextCallAt = max(now, l.changedAt+withDrift(l.cfg.LeaseTerm))
		if l.mayAcquire(now) {
			l.nextCallAt = now
		}
		return
	}
	l.nextCallAt = now
}

// acquire handles a confirmed write of this process.
func (l *Lease) acquire(now time.Duration) {
	l.heldUntil = l.writeSentAt + l.cfg.LeaseTerm*9/10
	l.writeSentAt = 0
	l.renewedAt = now
	l.nextCallAt = now + l.cfg.LeaseRenewal
	if l.writtenRow.Released {
		l.heldUntil, l.ledger = 0, nil
		return
	}
	switch {
	case l.ledger != nil:
	case l.creates && l.writtenRow.Complete:
		l.ledger = FirstLedger(l.cfg, now)
	default:
		l.ledger = NewLedger(l.cfg, now, &l.writtenRow)
	}
	l.tableRestored = false
	l.ledger.RowWritten(&l.writtenRow)
}

// Ask answers a node's request if this node holds the lease.
func (l *Lease) Ask(now time.Duration, req *GrantRequest, limits func(request.Organisation) (Limit, bool)) GrantReply {
	l.RecordRequest(now)
	if !l.Held(now) {
		return GrantReply{Holder: l.Holder(now)}
	}
	grants := l.ledger.Ask(now, req, limits)
	if l.ledger.dirty {
		l.ledger.dirty = false
		l.nextCallAt = min(l.nextCallAt, max(now, l.renewedAt+minWriteInterval))
	}
	return GrantReply{Divides: true, Grants: grants}
}

// HolderGone records that the process of a holder has certainly ended.
func (l *Lease) HolderGone(now time.Duration, holder request.TargetID) {
	if l.known && l.row.Holder == holder && holder != l.self {
		l.holderEnded = true
		l.nextCallAt = min(l.nextCallAt, now)
	}
}

// Release gives up the lease. The caller writes the returned row.
func (l *Lease) Release(now time.Duration) (row Row, version int64, ok bool) {
	if !l.Held(now) || l.writeSentAt != 0 {
		return Row{}, 0, false
	}
	l.count++
	r := l.buildRow(now)
	r.Released = true
	l.heldUntil, l.ledger = 0, nil
	return r, l.version, true
}

// TableRestored records that the table was restored from an older copy, so that the time
// for which the row was seen unchanged is no longer meaningful.
func (l *Lease) TableRestored(now time.Duration) {
	l.known, l.changedAt, l.first, l.tableRestored = false, now, false, true
	l.nextCallAt = min(l.nextCallAt, now)
}
