package resend

import "time"

// Config holds the settings of the package.
type Config struct {
	// Ratio bounds the resends of one target, per first send in Window, from 0 to 1.
	// Default 0: nothing is resent and no class is refused. Higher completes more requests
	// while targets reject calls, and adds load to them. What callers' nodes may spend on
	// retries for each call (retry.Config.Ratio) comes off it: at 0.11 or less nothing is
	// left for calls that callers may retry at the default of 0.1.
	Ratio float64
	// Reserve is the fraction of Ratio, 0 to 1, that is not spent. Default 0.1. It covers
	// shares of the load that move from one target to another within two windows, and the
	// retries at other targets. Lower resends more; too low exceeds the bound of the
	// service.
	Reserve float64
	// Window is the length of the window in which sends are counted. Default 10 s. It is
	// the window of the bound that Ratio comes from.
	Window time.Duration
	// MaxResends bounds the resends of one call. Default 12, with which a call fails
	// once in 2,400 while a target rejects 55 of 100 sends. Higher completes more requests
	// of many calls; lower spends less on a target that rejects all.
	MaxResends int
	// Wait is the mean time between a rejection and the next send; the actual one is
	// between 0.5 and 1.5 of it. Default 3 ms, in which a target whose queue was full for
	// an instant ends some of its calls. Longer holds the gate's slot longer; shorter
	// meets the same full queue.
	Wait time.Duration
	// Average is the time constant with which the rate of first sends is measured. Default
	// 1 s. Longer gives a steadier threshold, which lags behind the demand.
	Average time.Duration
	// Sample is the number of sends over which the share of rejections is averaged.
	// Default 128. Higher gives a steadier threshold; lower notices sooner that
	// rejections begin, before which calls of all priorities are resent.
	Sample int
	// Starts holds the settings of the entry's decision.
	Starts StartsConfig
}

// Enabled reports whether the settings name a bound.
func (c *Config) Enabled() bool {
	return c.Ratio > 0 && c.Ratio <= 1 && c.Window >= windowBins*time.Millisecond
}

// StartsConfig holds the settings of Starts.
type StartsConfig struct {
	// Span is how long an ended request counts. Default 1 s. Longer needs fewer requests
	// of a class, and refuses the class later.
	Span time.Duration
	// MinEnded is the number of ended requests below which a class is not refused.
	// Default 20. Lower also judges rare classes, by less.
	MinEnded int
	// MaxRejected is the fraction of ended requests, 0 to 1, that may have failed because
	// targets below rejected calls. Default 0.9. Lower refuses requests of which more
	// would complete.
	MaxRejected float64
	// ProbeEvery is the number of requests of a refused class of which one is started.
	// Default 20. Lower notices the end sooner, for more requests that fail.
	ProbeEvery int
	// MaxClasses bounds the classes that are counted. Default 1024, about 150 KB. Further
	// classes are always started.
	MaxClasses int
}

// DefaultConfig returns the defaults documented on the fields.
func DefaultConfig() Config {
	return Config{
		Reserve:    0.1,
		Window:     10 * time.Second,
		MaxResends: 12,
		Wait:       3 * time.Millisecond,
		Average:    time.Second,
		Sample:     128,
		Starts: StartsConfig{
			Span:        time.Second,
			MinEnded:    20,
			MaxRejected: 0.9,
			ProbeEvery:  20,
			MaxClasses:  1024,
		},
	}
}
