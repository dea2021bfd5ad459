package pace

import "time"

// Config holds the settings of the package.
type Config struct {
	// DemandWindow is the time constant over which demand is measured. Default 1s. Higher
	// values smooth the demand of entries with few requests; lower values follow changes
	// sooner.
	DemandWindow time.Duration
	// Release is the part of the demand by which requests that have waited start, beside
	// those that arrive, while everything is admitted. Default 0.5. Higher values use
	// capacity that becomes free sooner and exceed it by more; lower values refuse requests
	// whose time runs out although there is capacity.
	Release float64
	// RiseTime is the time in which the admitted fraction that counts rises from 0 to 1; it
	// falls at once. Default 1s. The calls of a request reach the gates until the request
	// ends, so with lower values more is started than they can run; higher values use
	// capacity that becomes free later.
	RiseTime time.Duration
	// LowerRise is the factor of the rise, 0 to 1, that applies to an importance while a
	// higher one of the same service is held back. Default 0.1. Higher values let less
	// important requests take capacity that more important ones wait for; lower values
	// start them later.
	LowerRise float64
	// Margin is the part of an admitted fraction below 1 that is started, 0 to 1. Default
	// 0.93. Higher values use more of the capacity, and more of the requests that start are
	// refused further down.
	Margin float64
	// Depth bounds the tokens of a bucket: those of Depth at the rate of the demand, but at
	// least two. Default 100ms. Higher values allow larger
	// bursts; lower values leave more capacity unused where arrivals are irregular.
	Depth time.Duration
	// ProbeFraction is the lowest fraction of the demand that is started, 0 to 1. Default
	// 0.01. Higher values detect a recovery sooner and start more requests that are
	// refused further down.
	ProbeFraction float64
	// Recheck is the longest time that Next lies ahead, since the level may change at any
	// time. Default 50ms. Higher values start waiting requests later after a recovery;
	// lower values cost more checks.
	Recheck time.Duration
	// Expiry is the time without requests after which a bucket may be dropped. Default 30s.
	Expiry time.Duration
	// MaxKeys is the maximum number of keys and importances that are recorded. Default
	// 1024. Requests of further ones are not paced.
	MaxKeys int
}

// DefaultConfig returns the defaults documented on the fields.
func DefaultConfig() Config {
	return Config{
		DemandWindow:  time.Second,
		Release:       0.5,
		RiseTime:      time.Second,
		LowerRise:     0.1,
		Margin:        0.93,
		Depth:         100 * time.Millisecond,
		ProbeFraction: 0.01,
		Recheck:       50 * time.Millisecond,
		Expiry:        30 * time.Second,
		MaxKeys:       1024,
	}
}
