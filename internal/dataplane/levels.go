package dataplane

import (
	"sync"
	"time"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/pace"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// levels holds the admission levels that this node has learned of its callees. Safe
// for concurrent use.
type levels struct {
	now   func() time.Duration
	mu    sync.Mutex
	table *earlyrefusal.Table
	chain *earlyrefusal.Chain
}

func newLevels(cfg *earlyrefusal.Config, now func() time.Duration) *levels {
	table := earlyrefusal.NewTable(cfg, newRand())
	return &levels{now: now, table: table, chain: earlyrefusal.NewChain(cfg, table)}
}

// check refuses a call that its callee, or a service below it, would refuse.
func (l *levels) check(c *outboundCall) *status.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.table.Check(l.now(), c.key(), c.priority)
	c.knownLevel = v.Level
	if !v.Refuse {
		return nil
	}
	return status.Refuse(status.CodeOverloaded, v.RetryAfter, "%s is overloaded", c.info.Name)
}

// level returns the level learned for a call's service, class and priority.
func (l *levels) level(c *outboundCall) request.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Level(l.now(), c.key(), c.priority)
}

// learn records the levels that an answer reported. A target that takes no calls has none:
// the level of its gate, which nothing passes, would count as capacity that admits all.
func (l *levels) learn(c *outboundCall, r *result) {
	takesNone := r.code.TakesNoCalls()
	if !r.answered && !takesNone {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if takesNone {
		l.table.Forget(r.target)
		return
	}
	l.table.Learn(l.now(), c.key(), earlyrefusal.Report{
		Target: r.target,
		Own:    r.answer.Level,
		Exempt: r.answer.Exempt,
		Chain:  r.answer.ChainLevel,
		Slots:  r.answer.Limit,
	})
}

// recordServed counts a request that the own target begins to serve.
func (l *levels) recordServed(w earlyrefusal.WorkKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chain.RecordRequest(l.now(), w)
}

// recordCall counts a call that such a request makes.
func (l *levels) recordCall(w earlyrefusal.WorkKey, c *outboundCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chain.RecordCall(l.now(), w, c.key())
}

// chainLevel returns the admission level of the downstream services for such requests.
func (l *levels) chainLevel(x *runningRequest) request.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chain.Level(l.now(), x.work(), x.priority)
}

func (c *outboundCall) key() earlyrefusal.Key {
	return earlyrefusal.Key{Service: c.info.Name, Class: c.class.Name, Tenant: c.meta.Tenant}
}

var _ pace.Admitted = (*levels)(nil)

// Fraction implements pace.Admitted.
func (l *levels) Fraction(now time.Duration, k earlyrefusal.Key, imp request.Importance) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Fraction(now, k, imp)
}

// forget drops a target that is no longer a member.
func (l *levels) forget(id request.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Forget(id)
}

// work returns the key of the request in the chain statistics.
func (x *runningRequest) work() earlyrefusal.WorkKey {
	return earlyrefusal.WorkKey{Class: x.class, Tenant: x.meta.Tenant}
}
