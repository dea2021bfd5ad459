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
}

// Table holds the token buckets of one entry node.
type Table struct {
	cfg      Config
	admitted Admitted
	buckets  map[bucketKey]*bucket
	services map[serviceKey]*service
}

type serviceKey struct {
	name   request.Service
	tenant request.Tenant
}

type bucketKey struct {
	key        earlyrefusal.Key
	importance request.Importance
}

// New returns a table without demand.
func New(cfg Config, a Admitted) *Table {
	return &Table{cfg: cfg, admitted: a, buckets: map[bucketKey]*bucket{}, services: map[serviceKey]*service{}}
}

// Arrived counts a request as demand. It is called once for each request, before Start.
func (t *Table) Arrived(now time.Duration, k earlyrefusal.Key, imp request.Importance) {
	b := t.advance(now, k, imp)
	if b == nil {
		if len(t.buckets) >= t.cfg.MaxKeys && !t.dropIdle(now) {
			return
		}
		b = &bucket{importance: imp, service: t.service(k), at: now, admitted: t.admitted.Fraction(now, k, imp)}
		t.buckets[bucketKey{k, imp}] = b
	}
	b.arrived(&t.cfg)
}

// service returns the state that the keys of a service share.
func (t *Table) service(k earlyrefusal.Key) *service {
	id := serviceKey{k.Service, k.Tenant}
	s := t.services[id]
	if s == nil {
		s = &service{}
		t.services[id] = s
	}
	return s
}

// Start reports whether a request of the importance may start now and, if so, counts it.
func (t *Table) Start(now time.Duration, k earlyrefusal.Key, imp request.Importance) bool {
	b := t.advance(now, k, imp)
	return b == nil || b.take()
}

// Next returns the earliest time at which Start may succeed without a further arrival, at
// most Config.Recheck ahead.
func (t *Table) Next(now time.Duration, k earlyrefusal.Key, imp request.Importance) time.Duration {
	b := t.advance(now, k, imp)
	if b == nil {
		return now
	}
	return now + b.wait(&t.cfg)
}

// DrawLevel returns the level above which the identity of a request that starts now is
// drawn with request.Draw: the part of the importance above it is the part that is
// admitted.
func (t *Table) DrawLevel(k earlyrefusal.Key, imp request.Importance) request.Level {
	first, end := request.LowestPriority(imp), request.LowestPriority(imp+1)
	b := t.buckets[bucketKey{k, imp}]
	if b == nil {
		return first
	}
	return first + request.Level((1-b.admitted)*float64(end-first))
}

// advance moves a bucket to now; it returns nil if there is none.
func (t *Table) advance(now time.Duration, k earlyrefusal.Key, imp request.Importance) *bucket {
	b := t.buckets[bucketKey{k, imp}]
	if b != nil {
		b.advance(now, &t.cfg, t.admitted.Fraction(now, k, imp))
	}
	return b
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
	return dropped
}
