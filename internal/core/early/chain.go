package early

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

// use is one callee of a class.
type use struct {
	key   Key
	calls float64 // requests that called it, decayed over UseWindow
	at    time.Duration
}

// class is what is known of one class of the node's own service.
type class struct {
	served float64 // requests, decayed over UseWindow
	at     time.Duration
	uses   []use
}

// Work is a class of the node's own service, and the tenant it is done for.
// Symptom if it lacked the tenant: one tenant floods a service below, and the
// chain's level that is meant for it refuses the other's requests early.
type Work struct {
	Class  request.Class
	Tenant request.Tenant
}

// Chain holds which callees each class of the node's own service uses for each
// tenant.
type Chain struct {
	cfg     *Config
	table   *Table
	classes map[Work]*class
}

// maxUses bounds the callees remembered for a class.
const maxUses = 32

// NewChain returns a chain that looks up callees' levels in table.
func NewChain(cfg *Config, table *Table) *Chain {
	return &Chain{cfg: cfg, table: table, classes: map[Work]*class{}}
}

// Served counts a request of the class that the own target begins to serve.
func (c *Chain) Served(now time.Duration, w Work) {
	cl := c.classes[w]
	if cl == nil {
		if len(c.classes) >= c.cfg.MaxKeys {
			return
		}
		cl = &class{at: now}
		c.classes[w] = cl
	}
	cl.served = c.decay(cl.served, now-cl.at) + 1
	cl.at = now
}

// Used counts the first call that a request of the class makes to a callee.
func (c *Chain) Used(now time.Duration, w Work, k Key) {
	cl := c.classes[w]
	if cl == nil {
		return
	}
	for i := range cl.uses {
		if u := &cl.uses[i]; u.key == k {
			u.calls = c.decay(u.calls, now-u.at) + 1
			u.at = now
			return
		}
	}
	if len(cl.uses) < maxUses {
		cl.uses = append(cl.uses, use{key: k, calls: 1, at: now})
	}
}

// Level returns the level that the services below refuse at for a class: the
// highest among the callees that at least MinUse of its requests call. A callee
// that few requests need is left out; those that do call it are refused there.
func (c *Chain) Level(now time.Duration, w Work) request.Level {
	cl := c.classes[w]
	if cl == nil {
		return 0
	}
	var level request.Level
	need := c.cfg.MinUse * c.decay(cl.served, now-cl.at)
	for i := range cl.uses {
		u := &cl.uses[i]
		if c.decay(u.calls, now-u.at) < need {
			continue
		}
		level = max(level, c.table.latest(now, u.key))
	}
	return level
}

func (c *Chain) decay(n float64, dt time.Duration) float64 {
	if dt <= 0 {
		return n
	}
	return n * math.Exp(-dt.Seconds()/c.cfg.UseWindow.Seconds())
}
