package ratelimit

import (
	"maps"
	"slices"
	"time"

	"peardrift/internal/core/request"
)

// Ledger divides the limits of a shard's organisations among nodes.
type Ledger struct {
	cfg      Config
	accounts map[request.Organisation]*account
	nodes    map[request.TargetID]*asker

	// Grants from before this ledger: loans end at loansEndAt, and parts that the row
	// didn't record at unrecordedEndAt.
	loansEndAt      time.Duration
	unrecordedEndAt time.Duration
	first           bool // there was no ledger before
	dirty           bool // a part must be written to the row
	// rowPartial: the row says that there may be parts it doesn't record.
	rowPartial bool
}

// asker identifies the last request of a node.
type asker struct {
	incarnation uint64
	seq         uint64
}

// NewLedger returns a ledger that starts from the parts recorded in a predecessor's
// row.
func NewLedger(cfg Config, now time.Duration, row *Row) *Ledger {
	l := &Ledger{
		cfg: cfg, accounts: make(map[request.Organisation]*account), nodes: make(map[request.TargetID]*asker),
		loansEndAt: now + withDrift(loanValidity),
	}
	if !row.Complete {
		l.unrecordedEndAt = now + withDrift(cfg.Validity)
	}
	for _, p := range row.Parts {
		o := row.organisation(&p)
		acc := l.accounts[o]
		if acc == nil {
			acc = &account{updatedAt: now, holdings: make(map[request.TargetID]*holding), dividedAt: -time.Hour}
			l.accounts[o] = acc
		}
		s := allocation{float64(p.Rate), float64(p.Capacity)}
		acc.holdings[p.Node] = &holding{rate: s.rate, capacity: s.capacity, expiresAt: now + withDrift(cfg.Validity), askedAt: now, recorded: s}
		acc.heldRate += s.rate
		acc.heldCapacity += s.capacity
	}
	return l
}

// FirstLedger returns the first ledger of a fleet.
func FirstLedger(cfg Config, now time.Duration) *Ledger {
	l := NewLedger(cfg, now, &Row{Complete: true})
	l.loansEndAt, l.first = now, true
	return l
}

// settledAt is when all parts that nodes may hold are known.
func (l *Ledger) settledAt() time.Duration { return max(l.loansEndAt, l.unrecordedEndAt) }

// Settled reports whether all parts that nodes may hold are known.
func (l *Ledger) Settled(now time.Duration) bool { return now >= l.settledAt() }

// record adds the parts that nodes may hold to a row.
func (l *Ledger) record(now time.Duration, r *Row) {
	r.Complete = now >= l.unrecordedEndAt
	for _, o := range slices.Sorted(maps.Keys(l.accounts)) {
		acc := l.accounts[o]
		acc.expire(now)
		at := len(r.Organisations)
		for _, id := range slices.Sorted(maps.Keys(acc.holdings)) {
			if s := acc.holdings[id].toRecord(now); s.capacity > 0 {
				r.Parts = append(r.Parts, RowPart{Organisation: at, Node: id, Rate: float32(s.rate), Capacity: float32(s.capacity)})
			}
		}
		r.Organisations = append(r.Organisations, o)
	}
	if len(r.Parts) > maxParts {
		r.Organisations, r.Parts, r.Complete = nil, nil, false
	}
}

// organisation returns the organisation of a part; empty if the row is malformed.
func (r *Row) organisation(p *RowPart) request.Organisation {
	if p.Organisation < 0 || p.Organisation >= len(r.Organisations) {
		return ""
	}
	return r.Organisations[p.Organisation]
}

// RowWritten records that the row was written. If it says that there may be parts it
// doesn't record, parts needn't be recorded before they are granted.
func (l *Ledger) RowWritten(row *Row) {
	l.rowPartial = !row.Complete
	for _, acc := range l.accounts {
		for _, h := range acc.holdings {
			h.recorded = allocation{}
		}
	}
	for i := range row.Parts {
		p := &row.Parts[i]
		if acc := l.accounts[row.organisation(p)]; acc != nil {
			if h := acc.holdings[p.Node]; h != nil {
				h.recorded = allocation{float64(p.Rate), float64(p.Capacity)}
			}
		}
	}
}

// Ask answers a node's request. limits returns the limit of an organisation, false if
// it has none. The result is nil for a request that arrives out of order.
func (l *Ledger) Ask(now time.Duration, req *GrantRequest, limits func(request.Organisation) (Limit, bool)) []Grant {
	h := l.nodes[req.Node]
	switch {
	case h == nil || h.incarnation != req.Incarnation:
		if h != nil || req.Starting {
			l.forget(req.Node) // the earlier process and its buckets are gone
		}
		h = &asker{incarnation: req.Incarnation}
		l.nodes[req.Node] = h
	case req.Seq <= h.seq:
		return nil
	}
	h.seq = req.Seq
	if req.Leaving {
		l.forget(req.Node)
		return nil
	}
	settled := l.Settled(now)
	var out []Grant
	for i := range req.Needs {
		n := &req.Needs[i]
		limit, ok := limits(n.Organisation)
		if !ok {
			continue
		}
		acc := l.account(now, n.Organisation, limit)
		g, ok := acc.grant(l, now, req.Node, n, settled)
		if !ok {
			continue
		}
		if settled && n.Waiting {
			g.RetryAfter = acc.retryAfter(now)
		}
		out = append(out, g)
	}
	return out
}

// forget drops the holdings of a node.
func (l *Ledger) forget(id request.TargetID) {
	for _, acc := range l.accounts {
		acc.release(id)
	}
}

func (l *Ledger) account(now time.Duration, o request.Organisation, limit Limit) *account {
	acc := l.accounts[o]
	if acc == nil {
		// Nothing was granted since all earlier grants ended.
		acc = &account{updatedAt: l.settledAt(), holdings: make(map[request.TargetID]*holding), dividedAt: -time.Hour}
		if l.first {
			acc.pool = l.cfg.Terms.capacity(limit)
		}
		l.accounts[o] = acc
	}
	if acc.limit != limit {
		acc.setLimit(limit, l.cfg.Terms.capacity(limit))
	}
	acc.advance(now, l.settledAt())
	return acc
}
