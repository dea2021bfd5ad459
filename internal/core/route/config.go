package route

import "time"

// Config holds the settings of the package.
type Config struct {
	// Subset is the maximum number of targets of one service that a caller uses.
	// Default 16. Higher balances load better and tolerates more failures, but costs
	// connections: callers x Subset / targets at each target.
	Subset int
	// MinSubset is the minimum subset size for any number of callers. Default 3.
	MinSubset int
	// LocalShare is the fraction of the subset taken from the caller's zone, 0 to 1.
	// Default 0.6. Higher keeps more calls in the zone, lower leaves more targets to
	// spill over to.
	LocalShare float64
	// ConnShare is the fraction of a target's connections that callers may plan for, 0
	// to 1. Default 0.5; the rest is headroom for uneven subsets and for connections
	// that are being replaced.
	ConnShare float64
	// PeakFactor limits one caller to this multiple of its even share of a target's
	// connections. Default 4. Higher allows higher peaks of single callers, and fewer
	// callers that peak at the same time.
	PeakFactor float64
	// ZoneCost is added to the expected latency of a target in another zone of the
	// region. Default 3ms, the round trip.
	ZoneCost time.Duration
	// ZoneFactor multiplies the cost of a target in another zone while the caller's
	// zone is loaded at MinHotLoad; the multiplier falls to 1 at full load. Default 4.
	// Higher keeps more calls in a zone that is more loaded than the others.
	ZoneFactor float64
	// ZoneGap, if above 0, replaces ZoneFactor where traffic between zones is
	// expensive: a target in another zone is chosen only if its load is lower by at
	// least this much. A load of 1 means that all slots are taken, more than 1 that
	// calls are queued. Default 0. Higher saves traffic between zones and lets calls
	// wait longer, by this many service times.
	ZoneGap float64
	// PoolWidth applies where ZoneGap is above 0. If the targets of the caller's zone report
	// that nearly all of their slots are taken, calls leave the zone with a probability that
	// rises to 1 where another zone's target has this much less work ahead of a call, in
	// loads as for ZoneGap. Default 0.25; 0: calls leave by ZoneGap only. Higher leaves more
	// difference between zones; with lower values callers that know the same reports fill
	// the targets in turn.
	PoolWidth float64
	// Refresh is how long derived values (mean load, cost, whether a target is hot) are
	// reused. Default 10ms. Longer is cheaper but slower to react.
	Refresh time.Duration
	// LatencyWeight is the weight of a new latency sample in the moving average, 0 to
	// 1. Default 0.05. Higher detects a slow target sooner, but moves calls between
	// zones because of noise in single samples.
	LatencyWeight float64
	// DecayTime is the time constant with which measurements of a target without calls
	// decay to the mean, so that it is tried again. Default 5s.
	DecayTime time.Duration
	// ReportAge is how long a reported load is valid. Default 2s.
	ReportAge time.Duration
	// HotFactor times the mean load is the load above which a target is hot; a hot
	// target is chosen only if no cold one was sampled. Default 1.25. Lower balances
	// load better but sends fewer calls to the nearest and fastest targets.
	HotFactor float64
	// MinHotLoad is the load, 0 to 1, below which no target is hot and other zones aren't
	// considered. Default 0.5. Lower balances load that does no harm, at the price of
	// calls between zones.
	MinHotLoad float64
	// SlowStart is the time in which the weight of a new target rises to its full
	// value. Default 10s. Longer protects cold targets and loads the others.
	SlowStart time.Duration
	// SlowStartMin is the fraction of its weight that a new target starts with, 0 to 1.
	// Default 0.1.
	SlowStartMin float64
	// EjectAfter is the number of consecutive failures that ejects a target. Default 5.
	EjectAfter int
	// EjectErrors is the failure rate, 0 to 1, that ejects a target. Default 0.5.
	EjectErrors float64
	// EjectTime is the duration of the first ejection; it doubles with each consecutive
	// one, up to EjectMax. Defaults 1s and 30s.
	EjectTime time.Duration
	EjectMax  time.Duration
	// MaxEjected is the fraction of the subset, 0 to 1, that may be ejected for
	// failures at the same time; at least one target if there are two or more. Default
	// 0.3.
	MaxEjected float64
	// BreakTime is how long a target is avoided after a connection failure; it doubles
	// with each consecutive one, up to BreakMax. Defaults 50ms and 10s. Shorter detects
	// a recovered target sooner and tries a dead one more often.
	BreakTime time.Duration
	BreakMax  time.Duration
}

// DefaultConfig returns the default settings, which need no tuning for the deployments
// that the project is made for.
func DefaultConfig() Config {
	return Config{
		Subset:        16,
		MinSubset:     3,
		LocalShare:    0.6,
		ConnShare:     0.5,
		PeakFactor:    4,
		ZoneCost:      3 * time.Millisecond,
		ZoneFactor:    4,
		PoolWidth:     0.25,
		Refresh:       10 * time.Millisecond,
		LatencyWeight: 0.05,
		DecayTime:     5 * time.Second,
		ReportAge:     2 * time.Second,
		HotFactor:     1.25,
		MinHotLoad:    0.5,
		SlowStart:     10 * time.Second,
		SlowStartMin:  0.1,
		EjectAfter:    5,
		EjectErrors:   0.5,
		EjectTime:     time.Second,
		EjectMax:      30 * time.Second,
		MaxEjected:    0.3,
		BreakTime:     50 * time.Millisecond,
		BreakMax:      10 * time.Second,
	}
}
