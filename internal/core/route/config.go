package route

import "time"

// Config holds the settings of the package.
type Config struct {
	// Subset is the most targets of one service that a caller uses. Default 16.
	// Higher evens out load and rides out more failures, at the price of
	// connections: callers x Subset / targets at each target.
	Subset int
	// MinSubset is the fewest, however many callers there are. Default 3.
	MinSubset int
	// LocalShare is the part of the subset filled from the caller's zone, 0 to
	// 1. Default 0.6. Higher keeps more calls in the zone, lower leaves more
	// targets to spill to.
	LocalShare float64
	// ConnShare is the share of a target's connections that callers may plan
	// for, 0 to 1. Default 0.5; the rest is headroom for the uneven spread of
	// subsets and for connections that are being replaced.
	ConnShare float64
	// PeakFactor times its even share of a target's connections is the most that
	// one caller takes. Default 4. Higher lets single callers peak higher, and
	// fewer of them can do so at a time.
	PeakFactor float64
	// ZoneCost is added to the expected time of a target in another zone of the
	// region. Default 3ms: there and back.
	ZoneCost time.Duration
	// ZoneFactor is how much dearer than by its time and load a target in another
	// zone counts while the own zone is loaded at Floor; it falls to 1 at a full
	// load. Default 4. Higher keeps more calls in the zone when it is more
	// loaded than the others.
	ZoneFactor float64
	// ZoneGap, if above 0, takes the place of ZoneFactor where bytes between zones
	// are dear: another zone's target is taken only if its load, 1 where all slots
	// are taken and more where calls wait, is lower by this much. Default 0. Higher
	// saves bytes, and lets calls wait that much longer in units of the time that
	// one takes.
	ZoneGap float64
	// Refresh is how long derived values (mean load, cost, hot or not) are
	// reused. Default 10ms. Longer is cheaper and slower to react.
	Refresh time.Duration
	// LatencyWeight is the weight of a new time in the running mean, 0 to 1.
	// Default 0.05. Higher notices a slow target sooner, and sends calls between
	// zones for the noise of single times.
	LatencyWeight float64
	// Forget is the time constant in which measurements of a target without
	// calls drift back to the mean, so that it is tried again. Default 5s.
	Forget time.Duration
	// ReportAge is how long a reported load counts. Default 2s.
	ReportAge time.Duration
	// HotFactor times the mean load is where a target counts as hot; it then
	// gets a call only if no cold one was drawn. Default 1.25. Lower evens out
	// load more and keeps fewer calls on the nearest and fastest targets.
	HotFactor float64
	// Floor is the load, 0 to 1, below which no target counts as hot and no
	// other zone is looked at. Default 0.5. Lower evens out load that is harmless,
	// at the price of calls between zones.
	Floor float64
	// SlowStart is the time in which the share of a new target rises to that of
	// the others. Default 10s. Longer spares cold targets, and loads the rest.
	SlowStart time.Duration
	// SlowStartMin is the share a new target begins with, 0 to 1. Default 0.1.
	SlowStartMin float64
	// EjectAfter is the number of failures in a row that ejects a target.
	// Default 5.
	EjectAfter int
	// EjectErrors is the share of failures, 0 to 1, that ejects it. Default 0.5.
	EjectErrors float64
	// EjectTime is how long the first ejection lasts; it doubles with each one
	// that follows, up to EjectMax. Defaults 1s and 30s.
	EjectTime time.Duration
	EjectMax  time.Duration
	// MaxEjected is the share of the subset that may be ejected for failures at
	// a time, 0 to 1, at least one of two or more. Default 0.3.
	MaxEjected float64
	// BreakTime is how long a target is avoided after a broken connection; it
	// doubles with each break that follows, up to BreakMax. Defaults 50ms and
	// 10s. Shorter finds a returned target sooner and tries a dead one oftener.
	BreakTime time.Duration
	BreakMax  time.Duration
}

// DefaultConfig returns the settings that need no tuning for the deployments
// the project is made for.
func DefaultConfig() Config {
	return Config{
		Subset:        16,
		MinSubset:     3,
		LocalShare:    0.6,
		ConnShare:     0.5,
		PeakFactor:    4,
		ZoneCost:      3 * time.Millisecond,
		ZoneFactor:    4,
		Refresh:       10 * time.Millisecond,
		LatencyWeight: 0.05,
		Forget:        5 * time.Second,
		ReportAge:     2 * time.Second,
		HotFactor:     1.25,
		Floor:         0.5,
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
