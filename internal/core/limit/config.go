package limit

import "time"

// Config sets Probe up. DefaultConfig needs no tuning for targets with 1 to
// some thousand slots and service times from 1 ms to some seconds.
type Config struct {
	// Headroom is the part of the declared slots, 0 to 1, that is never used.
	// Default 0. Some targets take a third longer for each request when nearly all
	// of their slots are taken, which costs far more than the last slots carry.
	Headroom float64
	// InitialFraction of the declared slots is the first limit. Default 0.25.
	// Higher: a fresh target takes load sooner. Lower: a cold target (empty
	// caches) is spared for longer.
	InitialFraction float64
	// MinInitial bounds the first limit from below, in requests. Default 8.
	// Higher: small targets start faster, and colder.
	MinInitial int
	// MinSamples is the number of completions that a measurement needs.
	// Default 150 (about 8% error). Higher: surer steps, later.
	MinSamples int
	// MinMeasure is the least time a measurement takes. Default 100 ms.
	// Higher: surer steps, later; it also sets the pace of the ramp at start.
	MinMeasure time.Duration
	// MaxMeasure ends a measurement that lacks completions. Default 5 s.
	// Higher: targets with few completions are judged on more of them.
	MaxMeasure time.Duration
	// Inflation is how much longer than at its best a request must take in the
	// target before a lower limit is tried (a ratio). Default 2. Higher: more
	// queueing inside the target is let pass; lower: more trials.
	Inflation float64
	// Patience is for how long requests must take that much longer before the
	// first trial. Default 10 s. Higher: a passing slowdown costs no trial;
	// lower: queueing inside the target ends sooner.
	Patience time.Duration
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
		InitialFraction: 0.25,
		MinInitial:      8,
		MinSamples:      150,
		MinMeasure:      100 * time.Millisecond,
		MaxMeasure:      5 * time.Second,
		Inflation:       2,
		Patience:        10 * time.Second,
		ShedFraction:    0.02,
		Backoff:         time.Second,
		MaxBackoff:      30 * time.Second,
	}
}

// usable returns how many of the declared slots may be used, at least one.
func (c *Config) usable(slots int) int {
	return max(1, int((1-c.Headroom)*float64(slots)))
}
