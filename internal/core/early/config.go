package early

import "time"

// Config holds the settings of the package.
type Config struct {
	// Hold is how long a service's level counts in full after the last report of any
	// of its targets. Default 250ms. Longer refuses more steadily on rare traffic and
	// recovers later.
	Hold time.Duration
	// Age is when the level of a service without reports counts as 0; from Hold on it falls in
	// proportion. Default 1s. Longer slows recovery.
	Age time.Duration
	// Outdated is how much older than the service's newest report a target's may be
	// and still count. Default 3s. Longer keeps the reports of targets that a caller
	// seldom calls; shorter follows changes sooner.
	Outdated time.Duration
	// MinReports is how many targets' reports count however rare they are; of reports
	// that are older than the newest by Hold, no more do. Default 4. Higher is steadier
	// on rare traffic, lower follows changes sooner.
	MinReports int
	// Span is over how long the lowest of a target's levels counts: the last one
	// to two spans. Default 250ms. Longer rides out deeper chains' overshoot and
	// refuses later.
	Span time.Duration
	// Quantile of the targets' levels, weighted by slots, that counts as the
	// service's level, 0 to 1. Default 0.25: a request is sent as long as more
	// than a quarter of the capacity that is heard of would take it. Higher
	// refuses earlier.
	Quantile float64
	// MinTargets is the number of targets that must have reported within Age for
	// a level to count, if as many are known. Default 2: one target alone can't
	// shut a service.
	MinTargets int
	// Probe is the share of the refused that is let through nonetheless, 0 to 1.
	// Default 0.01. Higher notices a recovery sooner and sends more calls that
	// are refused further down.
	Probe float64
	// Reuse is how long a worked-out level is reused. Default 5ms.
	Reuse time.Duration
	// RetryAfter is the shortest advice on when to come back. Default 1s. Longer
	// relieves the entry and delays the return of callers that heed it.
	RetryAfter time.Duration
	// Spread is the range over which the advice is spread evenly. Default 1s.
	// 0 brings the refused back all at once.
	Spread time.Duration
	// MinUse is the share of a class's requests, 0 to 1, that must call a service
	// for its level to be reported upward. Default 0.5. Lower refuses at the
	// entry also for services that most requests of the class don't need.
	MinUse float64
	// UseWindow is the time constant over which MinUse is measured. Default 10s.
	UseWindow time.Duration
	// MaxTargets bounds the targets remembered for a service and class; the one
	// heard of longest ago goes first. Default 32; at least route's subset.
	MaxTargets int
	// MaxKeys bounds the services and classes that a Table or Chain remembers.
	// Default 1024. What is beyond it is neither learned nor refused early.
	MaxKeys int
}

// DefaultConfig returns the settings that need no tuning for the deployments
// the project is made for.
func DefaultConfig() Config {
	return Config{
		Hold:       250 * time.Millisecond,
		Age:        time.Second,
		Outdated:   3 * time.Second,
		MinReports: 4,
		Span:       250 * time.Millisecond,
		Quantile:   0.25,
		MinTargets: 2,
		Probe:      0.01,
		Reuse:      5 * time.Millisecond,
		RetryAfter: time.Second,
		Spread:     time.Second,
		MinUse:     0.5,
		UseWindow:  10 * time.Second,
		MaxTargets: 32,
		MaxKeys:    1024,
	}
}
