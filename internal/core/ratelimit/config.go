package ratelimit

import "time"

// Config holds the settings of the package. All nodes must use the same ones.
type Config struct {
	// Terms bound what the whole fleet runs.
	Terms Terms
	// Validity is how long a grant may be used after it was asked for. Default 9 s.
	// Higher bridges longer failures of the lease holder and of the table, but a part
	// granted to a lost node stays unused for longer.
	Validity time.Duration
	// RenewAfter is the age at which a grant is renewed. Default 3 s. Lower follows demand
	// sooner at the price of more messages.
	RenewAfter time.Duration
	// LeaseTerm is how long a lease is held after its last renewal. Default 5 s. Higher
	// needs fewer calls to the platform, but a lost holder is replaced later. It
	// must be less than Validity.
	LeaseTerm time.Duration
	// LeaseRenewal is the time between renewals of a lease. Default 2 s.
	LeaseRenewal time.Duration
}

// Terms bound the requests of an organisation that run in any time span of length
// Window: (rate x Window + burst) x (1 + Excess) + Slack.
type Terms struct {
	Window time.Duration // default 5 s
	Excess float64       // default 0.1
	Slack  float64       // in requests; default 0
}

// DefaultConfig returns the defaults documented on the fields.
func DefaultConfig() Config {
	return Config{
		Terms:        Terms{Window: 5 * time.Second, Excess: 0.1},
		Validity:     9 * time.Second,
		RenewAfter:   3 * time.Second,
		LeaseTerm:    5 * time.Second,
		LeaseRenewal: 2 * time.Second,
	}
}

// maxClockDrift bounds the relative difference in speed of two clocks.
const maxClockDrift = 0.02

// withDrift returns a duration after which d has passed on any clock.
func withDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + maxClockDrift)) }

// Limit is an organisation's rate limit.
type Limit struct {
	Rate  float64 // requests per second
	Burst float64 // additional requests in any window
}

// Limit returns the limit of an organisation that declares a rate, in requests per
// second, and a burst, in requests. Half of the burst counts as rate, so that an
// organisation that always uses its full window gets most of it.
func (t Terms) Limit(rate, burst float64) Limit {
	return Limit{Rate: rate + burst/2/t.Window.Seconds(), Burst: burst / 2}
}

// usableFraction is the fraction of what the terms allow beyond the rate that buckets
// may hold. The rest covers clocks of different speed.
const usableFraction = 1 - maxClockDrift

// capacity returns the number of tokens that all buckets of an organisation may hold
// together. No more than these and what the rate adds can be taken in one window.
func (t Terms) capacity(l Limit) float64 {
	inflow := l.Rate * t.Window.Seconds()
	return max(1, ((inflow+l.Burst)*(1+t.Excess)+t.Slack-inflow)*usableFraction)
}
