package client

import (
	"iter"
	"math/rand/v2"
	"slices"
	"time"
)

// Config describes one load run.
type Config struct {
	// URLs are the caller listeners of entry nodes, used in round-robin order.
	URLs []string
	// Duration bounds closed loops; default 1s. Open loops end after their last
	// arrival.
	Duration time.Duration
	// Seed seeds arrivals, backoff and request marks.
	Seed uint64
	// MaxInFlight bounds the open-loop requests in flight; arrivals above it are
	// counted in Stats.Unsent and not sent. Default 10,000.
	MaxInFlight int
	// Observe, if set, is called after each attempt, concurrently.
	Observe func(Attempt)
	Classes []Class
}

// Class is one request class and the behaviour of its callers.
type Class struct {
	Name      string
	Method    string // default GET
	Host      string // the service, as "feed.khaosan"
	Path      string
	Body      int  // size of the request body in bytes
	Key       bool // send an Idempotency-Key
	KeyUUIDv7 bool // use a version 7 UUID as the key
	// APIKey is the key of the organisation that calls; empty: none is sent.
	APIKey string

	// Phases are the consecutive arrival phases of an open loop.
	Phases []Phase
	// ArrivalTimes are an open loop's arrivals as offsets from the start, in ascending
	// order, for example of a recorded trace. They replace Phases.
	ArrivalTimes []time.Duration
	// Workers is the number of closed-loop callers; each sends its next request
	// when the previous one is done.
	Workers int
	// Requests bounds the requests of each worker; 0: only Config.Duration does.
	Requests int

	// Timeout bounds one attempt; default 10s.
	Timeout time.Duration
	// Attempts is the maximum number of attempts, including the first; default 1.
	// Every result but Completed is retried, with the same mark and key.
	Attempts int
	// Backoff is the mean delay before the second attempt; it doubles with each
	// further attempt. The delay is drawn uniformly from 0 to twice the mean.
	// 0: no delay.
	Backoff time.Duration
	// MaxBackoff caps the upper end of the range that a delay is drawn from;
	// 0: no cap.
	MaxBackoff time.Duration
	// RetryWindow is the time after a request's arrival from which no attempt
	// starts; 0: no bound.
	RetryWindow time.Duration
	// HonourRetryAfter waits at least as long as the Retry-After header asks.
	HonourRetryAfter bool
}

// Phase is a period of Poisson arrivals.
type Phase struct {
	Duration time.Duration
	Rate     float64 // mean arrivals per second
}

const (
	defaultDuration    = time.Second
	defaultMaxInFlight = 10_000
	defaultTimeout     = 10 * time.Second
)

func (c Config) withDefaults() Config {
	c.Duration = positiveOr(c.Duration, defaultDuration)
	c.MaxInFlight = positiveOr(c.MaxInFlight, defaultMaxInFlight)
	classes := make([]Class, 0, len(c.Classes))
	for _, cl := range c.Classes {
		cl.Timeout = positiveOr(cl.Timeout, defaultTimeout)
		cl.Attempts = positiveOr(cl.Attempts, 1)
		if cl.Method == "" {
			cl.Method = "GET"
		}
		classes = append(classes, cl)
	}
	c.Classes = classes
	return c
}

func positiveOr[T int | time.Duration](v, def T) T {
	if v > 0 {
		return v
	}
	return def
}

// arrivals yields the arrivals of the class's open loop as offsets from the start.
func (c Class) arrivals(rng *rand.Rand) iter.Seq[time.Duration] {
	if len(c.ArrivalTimes) > 0 {
		return slices.Values(c.ArrivalTimes)
	}
	return arrivals(c.Phases, rng)
}

// arrivals yields the arrivals of phases as offsets from the start.
func arrivals(phases []Phase, rng *rand.Rand) iter.Seq[time.Duration] {
	return func(yield func(time.Duration) bool) {
		var begin time.Duration
		for _, p := range phases {
			end := begin + p.Duration
			// A Poisson process is memoryless: each phase can start afresh.
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

// retryDelay returns the delay between attempt n and the next one.
func (c Class) retryDelay(n int, retryAfter time.Duration, rng *rand.Rand) time.Duration {
	var d time.Duration
	if c.Backoff > 0 {
		upper := 2 * c.Backoff << min(n-1, 16)
		if c.MaxBackoff > 0 {
			upper = min(upper, c.MaxBackoff)
		}
		d = time.Duration(rng.Int64N(int64(upper)))
	}
	if c.HonourRetryAfter {
		d = max(d, retryAfter)
	}
	return d
}
