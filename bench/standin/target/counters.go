package target

import "sync"

// Counters are the counters that GET /control/counters reports.
type Counters struct {
	// Runs counts the runs per route ("METHOD prefix") and key: the request's
	// Idempotency-Key or, without one, its mark.
	Runs map[string]map[string]int `json:"runs"`
	// Started counts runs that got a slot; each is counted once more as Finished,
	// Cancelled (stopped early) or Failed (a required call failed).
	Started   int64 `json:"started"`
	Finished  int64 `json:"finished"`
	Cancelled int64 `json:"cancelled"`
	Failed    int64 `json:"failed"`
	// FinishedLate counts runs that finished after their client had disconnected or
	// their deadline had passed.
	FinishedLate int64 `json:"useless"`
	// Shed counts requests answered 503 without a run.
	Shed int64 `json:"shed"`
	// Abandoned counts requests cancelled before they got a slot.
	Abandoned int64 `json:"abandoned"`
	// AfterDrain counts requests received after a drain began.
	AfterDrain int64 `json:"after_drain"`
	Crashes    int64 `json:"crashes"`
	// Calls counts the attempts at outgoing calls.
	Calls         int64 `json:"calls"`
	InFlight      int   `json:"in_flight"`
	Queued        int   `json:"queued"`
	OpenConns     int   `json:"open_conns"`
	RejectedConns int64 `json:"rejected_conns"`
}

// RepeatedKeys returns the keys of a route that ran more than once.
func (c Counters) RepeatedKeys(route string) []string {
	var out []string
	for k, n := range c.Runs[route] {
		if n > 1 {
			out = append(out, k)
		}
	}
	return out
}

type counters struct {
	mu sync.Mutex
	c  Counters
}

func (c *counters) update(f func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.c)
}

func (c *counters) start(route, key string) {
	c.update(func(c *Counters) {
		if c.Runs[route] == nil {
			c.Runs[route] = make(map[string]int)
		}
		c.Runs[route][key]++
		c.Started++
		c.InFlight++
	})
}

// snapshot returns a deep copy.
func (c *counters) snapshot() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.c
	out.Runs = make(map[string]map[string]int, len(c.c.Runs))
	for route, keys := range c.c.Runs {
		m := make(map[string]int, len(keys))
		for k, n := range keys {
			m[k] = n
		}
		out.Runs[route] = m
	}
	return out
}
