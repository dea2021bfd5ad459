package earlyrefusal

import (
	"math"
	"time"

	"peardrift/internal/core/request"
)

// calleeUse records how often a class calls one callee.
type calleeUse struct {
	key   Key
	calls float64 // requests that called it, with exponential decay over UseWindow
	at    time.Duration
}

// class holds the request and call counts of one class of the node's own service.
type class struct {
	served  float64 // requests, with exponential decay over UseWindow
	at      time.Duration
	callees []calleeUse
}

// WorkKey identifies a class of the node's own service and the tenant that it serves.
// Without the tenant, a chain level caused by one tenant's flood of a service below
// would refuse the other tenants' requests early.
type WorkKey struct {
	Class  request.Class
	Tenant request.Tenant
}

// Chain records which callees each class of the node's own service uses for each
// tenant.
type Chain struct {
	cfg     *Config
	table   *Table
	classes map[WorkKey]*class
}

// maxCallees is the maximum number of callees recorded for a class.
const maxCallees = 32

// NewChain returns a chain that reads callees' levels from table.
func NewChain(cfg *Config, table *Table) *Chain {
	return &Chain{cfg: cfg, table: table, classes: map[WorkKey]*class{}}
}

// RecordRequest counts a request of the class that the node's own target starts to serve.
func (c *Chain) RecordRequest(now time.Duration, w WorkKey) {
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

// RecordCall counts the first call that a request of the class makes to a callee.
func (c *Chain) RecordCall(now time.Duration, w WorkKey, k Key) {
	cl := c.classes[w]
	if cl == nil {
		return
	}
	for i := range cl.callees {
		if u := &cl.callees[i]; u.key == k {
			u.calls = c.decay(u.calls, now-u.at) + 1
			u.at = now
			return
		}
	}
	if len(cl.callees) < maxCallees {
		cl.callees = append(cl.callees, calleeUse{key: k, calls: 1, at: now})
	}
}

// Level returns the level at which services further down the chain refuse requests
// of a class and priority: the highest among the callees that at least MinUseFraction of
// its requests call. Callees needed by fewer requests are ignored; they refuse those
// requests themselves.
func (c *Chain) Level(now time.Duration, w WorkKey, p request.Priority) request.Level {
	cl := c.classes[w]
	if cl == nil {
		return 0
	}
	var level request.Level
	need := c.cfg.MinUseFraction * c.decay(cl.served, now-cl.at)
	for i := range cl.callees {
		u := &cl.callees[i]
		if c.decay(u.calls, now-u.at) < need {
			continue
		}
		level = max(level, c.table.latest(now, u.key, p))
	}
	return level
}

func (c *Chain) decay(n float64, dt time.Duration) float64 {
	if dt <= 0 {
		return n
	}
	return n * math.Exp(-dt.Seconds()/c.cfg.UseWindow.Seconds())
}
