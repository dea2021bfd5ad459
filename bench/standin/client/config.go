package client

import (
	"iter"
	"math/rand/v2"
	"slices"
	"time"
)

// Config is one run of load.
type Config struct {
	// URLs are the callers' faces of entry nodes, used in turn.
	URLs []string
	// Duration ends closed loops; default 1s. Open loops end with their phases.
	Duration time.Duration
	// Seed seeds arrivals, back-off and the marks of requests.
	Seed uint64
	// MaxOpen bounds the requests in flight; arrivals beyond it are counted as
	// overrun and not sent. Default 10,000.
	MaxOpen int
	// Observe, if set, is called after each attempt, from many goroutines.
	Observe func(Attempt)
	Classes []Class
}

// Class is one kind of request and how its callers behave.
type Class struct {
	Name   string
	Method string // default GET
	Host   string // the service, as "feed.khaosan"
	Path   string
	Body   int  // bytes to upload
	Key    bool // send an Idempotency-Key
	Dated  bool // whose key is a UUID of version 7

	// Phases are an open loop's arrivals, one after the other.
	Phases []Phase
	// Times are an open loop's arrivals since the start, in rising order, in
	// place of Phases: those of a recorded trace.
	Times []time.Duration
	// Workers are a closed loop's callers; each sends its next request when its
	// last is done.
	Workers int
	// Requests ends each worker's loop before Config.Duration; 0: no bound.
	Requests int

	// Timeout bounds one attempt; default 10s.
	Timeout time.Duration
	// Attempts in all; default 1. Whatever isn't completed is tried again, with
	// the same mark and key.
	Attempts int
	// Backoff is the mean wait before the second attempt, doubled for each
	// further one and drawn evenly from 0 to twice that; 0: none.
	Backoff time.Duration
	// MaxBackoff bounds what the doubled wait is drawn from; 0: no bound.
	MaxBackoff time.Duration
	// Patience ends a request: no attempt begins later than this after its
	// arrival. 0: no bound.
	Patience time.Duration
	// HonourRetryAfter waits at least as long as an answer asks for.
	HonourRetryAfter bool
}

// Phase is a time of Poisson arrivals at a mean rate a second.
type Phase struct {
	For  time.Duration
	Rate float64
}

const (
	defaultDuration = time.Second
	defaultMaxOpen  = 10_000
	defaultTimeout  = 10 * time.Second
)

func (c Config) withDefaults() Config {
	c.Duration = positive(c.Duration, defaultDuration)
	c.MaxOpen = positive(c.MaxOpen, defaultMaxOpen)
	classes := make([]Class, 0, len(c.Classes))
	for _, cl := range c.Classes {
		cl.Timeout = positive(cl.Timeout, defaultTimeout)
		cl.Attempts = positive(cl.Attempts, 1)
		if cl.Method == "" {
			cl.Method = "GET"
		}
		classes = append(classes, cl)
	}
	c.Classes = classes
	return c
}

func positive[T int | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}

// arrivals yields the times since the start at which the class's requests
// arrive in an open loop.
func (c Class) arrivals(rng *rand.Rand) iter.Seq[time.Duration] {
	if len(c.Times) > 0 {
		return slices.Values(c.Times)
	}
	return arrivals(c.Phases, rng)
}

// arrivals yields the times since the start at which requests of phases arrive.
func arrivals(phases []Phase, rng *rand.Rand) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		var begin time.Duration
		for _, p := range phases {
			end := begin + p.For
			// Poisson arrivals have no memory: each phase may start anew.
			for at := begin; p.Rate > 0; {
				at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
				if at >= end {
					break
				}
				if !yield(at) {
					return
				}
			}
			begin = end
		}
	}
}

// wait returns how long to wait before the attempt after n attempts.
func (c Class) wait(n int, retryAfter time.Duration, rng *rand.Rand) time.Duration {
	var d time.Duration
	if c.Backoff > 0 {
		most := 2 * c.Backoff << min(n-1, 16)
		if c.MaxBackoff > 0 {
			most = min(most, c.MaxBackoff)
		}
		d = time.Duration(rng.Int64N(int64(most)))
	}
	if c.HonourRetryAfter {
		d = max(d, retryAfter)
	}
	return d
}
