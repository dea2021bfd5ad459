package suspect

import "time"

// Config holds the settings of the package.
type Config struct {
	// MaxCrashes is the number of crashes at which a fingerprint is refused. Default 3,
	// at most MaxCrashLimit. Lower spares targets but blames innocent requests that
	// were in flight at the same crashes.
	MaxCrashes int
	// IsolateAfter is the number of crashes from which a fingerprint is run in
	// isolation. Default 2. Lower identifies the culprit sooner but delays everything
	// that was in flight at any crash.
	IsolateAfter int
	// AloneWeight is the weight at which a fingerprint is refused before MaxCrashes; a
	// crash with n fingerprints in flight weighs 1/n. Default 2: two crashes with no
	// other request in flight.
	AloneWeight float64
	// SuspectTTL is how long a fingerprint below MaxCrashes is remembered after its last
	// crash. Default 10m. Longer detects slower repetition.
	SuspectTTL time.Duration
	// RefusedTTL is how long a refused fingerprint is remembered after it was last seen.
	// Default 1h. Longer keeps the bound for callers that rarely retry.
	RefusedTTL time.Duration
	// MaxEntries bounds the remembered fingerprints. Default 4096, about 0.5 MB. Beyond
	// it, those with the fewest and oldest crashes are evicted first.
	MaxEntries int
	// MaxReport bounds the fingerprints of one report. Default 1024; it should exceed a
	// target's slots.
	MaxReport int
	// RetryAfter is the Retry-After of a request that waits for another suspect to end.
	// Default 1s.
	RetryAfter time.Duration
}

// MaxCrashLimit is the highest Config.MaxCrashes.
const MaxCrashLimit = 8

// DefaultConfig returns the default settings, which need no tuning for the deployments
// that the project is made for.
func DefaultConfig() Config {
	return Config{
		MaxCrashes:   3,
		IsolateAfter: 2,
		AloneWeight:  2,
		SuspectTTL:   10 * time.Minute,
		RefusedTTL:   time.Hour,
		MaxEntries:   4096,
		MaxReport:    1024,
		RetryAfter:   time.Second,
	}
}
