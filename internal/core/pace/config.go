package pace

import "time"

// Config holds the settings of the package.
type Config struct {
	// DemandWindow is the time constant over which demand is measured. Default 1s. Higher
	// values smooth the demand of entries with few requests; lower values follow changes
	// sooner.
	DemandWindow time.Duration
	// Rise is the part of the demand by which the rate of starts rises in a second while
	// nothing is refused, times the seconds since the last refusal. Default 0.08. Higher values use capacity that becomes free
	// sooner, and exceed it by more where requests make calls for long.
	Rise float64
	// LowerRise is the fraction of Rise, 0 to 1, that applies to an importance while a
	// higher one of the same service is held back. Default 0.1. Higher values let less
	// important requests take capacity that more important ones wait for; lower values
	// start them later.
	LowerRise float64
	// CutInterval is the shortest time between two cuts of the rate. Default 500ms. The
	// effect of a cut shows only when requests that started before it end. Higher values
	// exceed the capacity for longer; lower values cut more than needed.
	CutInterval time.Duration
	// MaxCut is the lowest factor of one cut, 0 to 1. Default 0.5. Lower values follow
	// the level at once and also follow its short peaks.
	MaxCut float64
	// Margin is the part of what the level admits to which a cut goes, 0 to 1. Default
	// 0.93. Lower values let queues at the gates end sooner and leave capacity unused for
	// longer.
	Margin float64
	// FirstMaxCut and FirstMargin apply in place of MaxCut and Margin to the first cut of a
	// rate that was not limited. Defaults 0.25 and 0.75. Lower values make room for the
	// requests that started before the cut and leave more capacity unused after it.
	FirstMaxCut, FirstMargin float64
	// Spare is the ratio of rate to demand from which requests start without a token.
	// Default 1.4. Lower values exceed the rate in random peaks; with higher values requests
	// wait for tokens although the rate suffices.
	Spare float64
	// Expiry is the time without need for a limit after which it is dropped. Default 30s.
	// Higher values remember the capacity over longer pauses of the demand, also when it
	// has changed.
	Expiry time.Duration
	// Depth is the time for which tokens are kept: a bucket holds Depth of its rate, but
	// at least one request. Default 100ms. Higher values allow larger bursts; lower
	// values leave more capacity unused where arrivals are irregular.
	Depth time.Duration
	// ProbeFraction is the lowest fraction of the demand that is started, 0 to 1. Default
	// 0.01. Higher values detect a recovery sooner and start more requests that are
	// refused further down.
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
		Rise:          0.08,
		LowerRise:     0.1,
		CutInterval:   500 * time.Millisecond,
		MaxCut:        0.5,
		Margin:        0.93,
		FirstMaxCut:   0.25,
		FirstMargin:   0.75,
		Spare:         1.4,
		Expiry:        30 * time.Second,
		Depth:         100 * time.Millisecond,
		ProbeFraction: 0.01,
		Recheck:       50 * time.Millisecond,
		MaxKeys:       1024,
	}
}
