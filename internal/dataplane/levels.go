package dataplane

import (
	"sync"
	"time"

	"peardrift/internal/core/early"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// levels holds what this node knows of its callees' admission levels. Safe for
// concurrent use.
type levels struct {
	now   func() time.Duration
	mu    sync.Mutex
	table *early.Table
	chain *early.Chain
}

func newLevels(cfg *early.Config, now func() time.Duration) *levels {
	table := early.NewTable(cfg, newRand())
	return &levels{now: now, table: table, chain: early.NewChain(cfg, table)}
}

// check refuses a call that its callee, or a service below it, would refuse.
func (l *levels) check(c *outgoing) *status.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.table.Check(l.now(), c.key(), c.priority)
	c.known = v.Level
	if !v.Refuse {
		return nil
	}
	return status.Refuse(status.CodeOverloaded, v.RetryAfter, "%s is overloaded", c.info.Name)
}

// level returns the level learned for a call's service and class.
func (l *levels) level(c *outgoing) request.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Level(l.now(), c.key())
}

// learn takes in what an answer said.
func (l *levels) learn(c *outgoing, r *result) {
	if !r.answered {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Learn(l.now(), c.key(), early.Report{
		Target: r.target,
		Own:    r.answer.Level,
		Chain:  r.answer.Chain,
		Slots:  r.answer.Limit,
	})
}

// served counts a request that the own target begins to serve.
func (l *levels) served(w early.Work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chain.Served(l.now(), w)
}

// used counts a call that such a request makes.
func (l *levels) used(w early.Work, c *outgoing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chain.Used(l.now(), w, c.key())
}

// below returns the level at which the services below refuse such requests.
func (l *levels) below(w early.Work) request.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chain.Level(l.now(), w)
}

func (c *outgoing) key() early.Key {
	return early.Key{Service: c.info.Name, Class: c.class.Name, Tenant: c.meta.Tenant}
}

// forget drops a target that is no member any more.
func (l *levels) forget(id request.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Forget(id)
}

// work is what the request is to the chain.
func (x *running) work() early.Work {
	return early.Work{Class: x.class, Tenant: x.meta.Tenant}
}
