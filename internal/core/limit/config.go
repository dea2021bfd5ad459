package limit

import "time"

// Config configures Probe. DefaultConfig needs no tuning for targets with 1 to a few
// thousand slots and service times from 1 ms to a few seconds.
type Config struct {
	// Headroom is the fraction of the declared slots, 0 to 1, that is never used.
	// Default 0. Some targets take a third longer per request when nearly all of
	// their slots are in use, which costs far more than the last slots contribute.
	Headroom float64
	// InitialFraction is the first limit as a fraction of the declared slots.
	// Default 0.25. With higher values a new target takes load sooner; lower values
	// spare a cold target (empty caches) for longer.
	InitialFraction float64
	// MinInitial is the lower bound of the first limit, in requests. Default 8. With
	// higher values small targets ramp up faster, but with colder caches.
	MinInitial int
	// MinSamples is the number of completions that a measurement needs. Default 150
	// (about 8% error). Higher values give more reliable steps, later.
	MinSamples int
	// MinMeasure is the minimum duration of a measurement. Default 100 ms. Higher
	// values give more reliable steps, later; it also sets the pace of the initial
	// ramp.
	MinMeasure time.Duration
	// MaxMeasure ends a measurement that lacks completions. Default 5 s. With higher
	// values targets with few completions are judged on more of them.
	MaxMeasure time.Duration
	// Inflation is the ratio of the time in the target to its best value above which
	// a lower limit is tried. Default 2. Higher values tolerate more queueing inside
	// the target; lower values cause more trials.
	Inflation float64
	// InflationPeriod is how long the time in the target must stay inflated before the
	// first trial. Default 10 s. With higher values a short slowdown causes no
	// trial; with lower values queueing inside the target ends sooner.
	InflationPeriod time.Duration
	// ShedFraction is the fraction of requests shed by the target above which the
	// limit is cut at once. Default 0.02. Higher values react later to a target that
	// sheds.
	ShedFraction float64
	// Backoff is the first pause after a trial that did not help; it doubles up to
	// MaxBackoff. Defaults 1 s and 30 s. Higher values cause fewer trials and detect
	// a change of the target later.
	Backoff, MaxBackoff time.Duration
}

// DefaultConfig returns the defaults documented on the fields.
func DefaultConfig() Config {
	return Config{
		InitialFraction: 0.25,
		MinInitial:      8,
		MinSamples:      150,
		MinMeasure:      100 * time.Millisecond,
		MaxMeasure:      5 * time.Second,
		Inflation:       2,
		InflationPeriod: 10 * time.Second,
		ShedFraction:    0.02,
		Backoff:         time.Second,
		MaxBackoff:      30 * time.Second,
	}
}

// Usable returns the number of declared slots that may be used, at least one.
func (c *Config) Usable(slots int) int {
	return max(1, int((1-c.Headroom)*float64(slots)))
}
