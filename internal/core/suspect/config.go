package suspect

import "time"

// Config holds the settings of the package.
type Config struct {
	// MaxCrashes is the number of crashes at which a fingerprint is refused.
	// Default 3; at most MaxCrashLimit. Lower spares targets, and blames
	// innocents that happened to be beside it.
	MaxCrashes int
	// IsolateAfter is the number of crashes from which a fingerprint is run
	// alone. Default 2. Lower tells culprits apart sooner, and delays all that
	// was in flight at any crash.
	IsolateAfter int
	// AloneWeight is the weight at which a fingerprint is refused before
	// MaxCrashes, where a crash with n in flight weighs 1/n. Default 2: two
	// crashes with nothing beside it.
	AloneWeight float64
	// Forget is how long a fingerprint below MaxCrashes is remembered after its
	// last crash. Default 10m. Longer catches slower repetition.
	Forget time.Duration
	// Remember is how long a refused one is remembered after it was last seen.
	// Default 1h. Longer keeps the bound for callers that come back rarely.
	Remember time.Duration
	// MaxEntries bounds the fingerprints remembered. Default 4096, about 0.5 MB.
	// Past it those with the fewest and oldest crashes go first.
	MaxEntries int
	// MaxReport bounds the fingerprints of one report. Default 1024; should be
	// above a target's slots.
	MaxReport int
	// RetryAfter is the advice for a request that waits for another suspect to
	// end. Default 1s.
	RetryAfter time.Duration
}

// MaxCrashLimit is the highest Config.MaxCrashes.
const MaxCrashLimit = 8

// DefaultConfig returns the settings that need no tuning for the deployments
// the project is made for.
func DefaultConfig() Config {
	return Config{
		MaxCrashes:   3,
		IsolateAfter: 2,
		AloneWeight:  2,
		Forget:       10 * time.Minute,
		Remember:     time.Hour,
		MaxEntries:   4096,
		MaxReport:    1024,
		RetryAfter:   time.Second,
	}
}
