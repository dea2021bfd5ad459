package pace

import "time"

// Config holds the settings of the package.
type Config struct {
	// DemandWindow is the time constant over which demand is measured. Default 1s. Higher
	// values smooth the demand of entries with few requests; lower values follow changes
	// sooner.
	DemandWindow time.Duration
	// GrowthStep is the time in which a paced rate grows by the factor Growth at most.
	// Default 50ms. Higher values admit a rise of demand later; lower values exceed the
	// capacity by more until the level has followed.
	GrowthStep time.Duration
	// Growth is the factor per GrowthStep, above 1. Default 1.1. Higher and lower values
	// act as lower and higher values of GrowthStep.
	Growth float64
	// Depth is the time for which tokens are kept: a bucket holds Depth of its rate, but
	// at least one request. Default 100ms. Higher values allow larger bursts; lower
	// values leave more capacity unused where arrivals are irregular.
	Depth time.Duration
	// ProbeFraction is the lowest fraction that is started, 0 to 1. Default 0.01. Higher
	// values detect a recovery sooner and start more requests that are refused further
	// down.
	ProbeFraction float64
	// Recheck is the longest time that Next lies ahead, since the level may change at any
	// time. Default 50ms. Higher values start waiting requests later after a recovery;
	// lower values cost more checks.
	Recheck time.Duration
	// MaxKeys is the maximum number of keys and importances that are recorded. Default
	// 1024. Requests of further ones are not paced.
	MaxKeys int
}

// DefaultConfig returns the defaults documented on the fields.
func DefaultConfig() Config {
	return Config{
		DemandWindow:  time.Second,
		GrowthStep:    50 * time.Millisecond,
		Growth:        1.1,
		Depth:         100 * time.Millisecond,
		ProbeFraction: 0.01,
		Recheck:       50 * time.Millisecond,
		MaxKeys:       1024,
	}
}
