package pace

import (
	"time"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
)

// Admitted tells what a service admits. earlyrefusal.Table implements it.
type Admitted interface {
	// Fraction returns the part of an importance that the callee and the chain below it
	// admit, 0 to 1.
	Fraction(now time.Duration, k earlyrefusal.Key, imp request.Importance) float64
	// AboveLevel reports whether the callee refuses requests, but none of an importance.
	AboveLevel(now time.Duration, k earlyrefusal.Key, imp request.Importance) bool
	// ReportedAt returns when the callee last reported for the key.
	ReportedAt(k earlyrefusal.Key) time.Duration
}

// Table holds the token buckets of one entry node.
type Table struct {
	cfg      Config
	admitted Admitted
	buckets  map[bucketKey]*bucket
	services map[serviceKey]*service
}

type bucketKey struct {
	key        earlyrefusal.Key
	importance request.Importance
}

type serviceKey struct {
	name   request.Service
	tenant request.Tenant
}

// New returns a table without demand.
func New(cfg Config, a Admitted) *Table {
	return &Table{cfg: cfg, admitted: a, buckets: map[bucketKey]*bucket{}, services: map[serviceKey]*service{}}
}

// Arrived counts a request as demand. It is called once for each request.
func (t *Table) Arrived(now time.Duration, k earlyrefusal.Key, imp request.Importance) {
	if b := t.advance(now, k, imp); b != nil {
		b.demand += 1 / t.cfg.DemandWindow.Seconds()
		return
	}
	t.add(now, k, imp)
}

// Start reports whether a request of the importance may start now and, if so, counts it.
func (t *Table) Start(now time.Duration, k earlyrefusal.Key, imp request.Importance) bool {
	b := t.advance(now, k, imp)
	return b == nil || b.take(&t.cfg)
}

// Next returns the earliest time at which Start may succeed, at most Config.Recheck ahead.
func (t *Table) Next(now time.Duration, k earlyrefusal.Key, imp request.Importance) time.Duration {
	b := t.advance(now, k, imp)
	if b == nil {
		return now
	}
	return now + min(b.wait(&t.cfg), t.cfg.Recheck)
}

// DrawLevel returns the level above which the identity of a request that starts now is
// drawn with request.Draw. The part of the importance above it is the part of the demand
// that starts, so that the gates, which infer the demand that they don't see from what they
// see of an importance, find the demand that the entries receive.
func (t *Table) DrawLevel(k earlyrefusal.Key, imp request.Importance) request.Level {
	first, end := request.LowestPriority(imp), request.LowestPriority(imp+1)
	b := t.buckets[bucketKey{k, imp}]
	if b == nil || !b.limited {
		return first
	}
	return first + request.Level(max(1-b.part(), 0)*float64(end-first))
}

// advance moves a bucket to now; it returns nil if there is none.
func (t *Table) advance(now time.Duration, k earlyrefusal.Key, imp request.Importance) *bucket {
	b := t.buckets[bucketKey{k, imp}]
	if b == nil {
		return nil
	}
	b.advance(now, &t.cfg, t.admitted.Fraction(now, k, imp))
	if b.limited {
		b.adjust(&t.cfg, t.newsOf(now, k, imp))
	}
	return b
}

// newsOf returns what a callee reported beside the admitted fraction.
func (t *Table) newsOf(now time.Duration, k earlyrefusal.Key, imp request.Importance) news {
	return news{reportedAt: t.admitted.ReportedAt(k), aboveLevel: t.admitted.AboveLevel(now, k, imp)}
}

// add adds the bucket of a first request.
func (t *Table) add(now time.Duration, k earlyrefusal.Key, imp request.Importance) {
	if len(t.buckets) >= t.cfg.MaxKeys && !t.dropIdle(now) {
		return
	}
	id := serviceKey{k.Service, k.Tenant}
	s := t.services[id]
	if s == nil {
		s = &service{}
		t.services[id] = s
	}
	t.buckets[bucketKey{k, imp}] = &bucket{
		importance: imp, service: s, addedAt: now, at: now, fullAt: now, demand: 1 / t.cfg.DemandWindow.Seconds(),
	}
}

// dropIdle drops the buckets unused for Config.Expiry and reports whether there were any.
func (t *Table) dropIdle(now time.Duration) bool {
	dropped := false
	for id, b := range t.buckets {
		if now-b.at > t.cfg.Expiry {
			delete(t.buckets, id)
			dropped = true
		}
	}
	if dropped {
		t.dropServices()
	}
	return dropped
}

// dropServices drops the services without buckets.
func (t *Table) dropServices() {
	used := map[*service]bool{}
	for _, b := range t.buckets {
		used[b.service] = true
	}
	for id, s := range t.services {
		if !used[s] {
			delete(t.services, id)
		}
	}
}
