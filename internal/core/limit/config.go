package limit

import "time"

// Config sets Probe up. DefaultConfig needs no tuning for targets with 1 to
// some thousand slots and service times from 1 ms to some seconds.
type Config struct {
	// InitialFraction of the declared slots is the first limit. Default 0.125.
	// Higher: a fresh target takes load sooner. Lower: a cold target (empty
	// caches) is spared for longer.
	InitialFraction float64
	// MinInitial bounds the first limit from below, in requests. Default 4.
	// Higher: small targets start faster, and colder.
	MinInitial int
	// MinSamples is the number of completions that a measurement needs.
	// Default 200 (about 7% error). Higher: surer steps, later.
	MinSamples int
	// MinMeasure is the least time a measurement takes. Default 100 ms.
	// Higher: surer steps, later; it also sets the pace of the ramp at start.
	MinMeasure time.Duration
	// MaxMeasure ends a measurement that lacks completions. Default 5 s.
	// Higher: targets with few completions are judged on more of them.
	MaxMeasure time.Duration
	// Inflation is how much longer than at its best a request must take in the
	// target before a lower limit is tried (a ratio). Default 1.5. Higher: more
	// queueing inside the target is let pass; lower: more trials.
	Inflation float64
	// Step is the part of the limit by which a trial lowers or raises it.
	// Default 0.3. Higher: trials are clearer and dearer.
	Step float64
	// ShedFraction is the part of requests shed by the target from which the
	// limit is cut at once. Default 0.02. Higher: a target that sheds is
	// believed later.
	ShedFraction float64
	// Backoff is the first pause after a trial that did not help; it doubles up
	// to MaxBackoff. Defaults 1 s and 30 s. Higher: fewer trials, and a change
	// of the target is found later.
	Backoff, MaxBackoff time.Duration
}

// DefaultConfig returns the defaults that the fields name.
func DefaultConfig() Config {
	return Config{
		InitialFraction: 0.125,
		MinInitial:      4,
		MinSamples:      200,
		MinMeasure:      100 * time.Millisecond,
		MaxMeasure:      5 * time.Second,
		Inflation:       1.5,
		Step:            0.3,
		ShedFraction:    0.02,
		Backoff:         time.Second,
		MaxBackoff:      30 * time.Second,
	}
}
