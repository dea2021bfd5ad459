package earlyrefusal

import "time"

// Config holds the settings of the package.
type Config struct {
	// Hold is how long a service's level keeps its full value after the last report
	// from any of its targets. Default 250ms. Higher values refuse more steadily at
	// low request rates and recover later.
	Hold time.Duration
	// LevelTTL is the time without reports after which a service's level is 0; it decays
	// linearly from Hold on. Default 1s. Higher values recover later.
	LevelTTL time.Duration
	// MaxReportLag is the age, relative to the service's newest report, up to which a
	// target's report still counts. Default 3s. Higher values keep reports of
	// targets that a caller seldom calls; lower values follow changes sooner.
	MaxReportLag time.Duration
	// MinReports is the number of latest targets' reports that count however
	// infrequent they are; reports that are older than the newest by Hold count only
	// up to this number. Default 4. Higher values are steadier at low request rates,
	// lower values follow changes sooner.
	MinReports int
	// Span sets the window over which the minimum of a target's levels counts: the
	// last one to two spans. Default 250ms. Higher values tolerate longer overshoot
	// of deep call chains and refuse later.
	Span time.Duration
	// Quantile of the targets' levels, weighted by slots, that counts as the
	// service's level, 0 to 1. Default 0.25: a request is sent as long as more than
	// a quarter of the reported capacity would admit it. Higher values refuse
	// earlier.
	Quantile float64
	// Paced is set where the entry nodes pace the start of requests by Fraction. Default
	// false. Once true, the level reported upstream is the mean of the targets' levels
	// within the importance. The quantile of a few targets is 0 as soon as one has spare
	// capacity, and requests that start by it are refused by the others.
	Paced bool
	// MinTargets is the number of targets whose reports must be current for a level
	// to count, if as many are known. Default 2: a single target can't close a
	// service.
	MinTargets int
	// ProbeFraction is the fraction of refused requests that is sent as probes, 0 to 1.
	// Default 0.01. Higher values detect a recovery sooner and send more calls that
	// are refused further down.
	ProbeFraction float64
	// CacheTTL is how long a computed level is cached. Default 5ms.
	CacheTTL time.Duration
	// RetryAfter is the minimum retry delay. Default 1s. Higher values reduce the
	// load on the entry and delay the return of callers that respect it.
	RetryAfter time.Duration
	// RetryJitter is the range of the uniform jitter added to the retry delay. Default
	// 1s. With 0 all refused callers return at once.
	RetryJitter time.Duration
	// MinUseFraction is the fraction of a class's requests, 0 to 1, that must call a
	// service for its level to be reported upstream. Default 0.5. Lower values refuse
	// requests at the entry also for services that most requests of the class don't need.
	MinUseFraction float64
	// UseWindow is the time constant over which MinUseFraction is measured. Default 10s.
	UseWindow time.Duration
	// MaxTargets is the maximum number of targets recorded per service and class;
	// the one with the oldest report is evicted first. Default 32; must be at least
	// the size of route's subset.
	MaxTargets int
	// MaxKeys is the maximum number of services and classes that a Table or Chain
	// records. Default 1024. Further ones are neither learned nor refused early.
	MaxKeys int
}

// DefaultConfig returns the defaults documented on the fields, which need no tuning
// for the deployments that the project targets.
func DefaultConfig() Config {
	return Config{
		Hold:           250 * time.Millisecond,
		LevelTTL:       time.Second,
		MaxReportLag:   3 * time.Second,
		MinReports:     4,
		Span:           250 * time.Millisecond,
		Quantile:       0.25,
		MinTargets:     2,
		ProbeFraction:  0.01,
		CacheTTL:       5 * time.Millisecond,
		RetryAfter:     time.Second,
		RetryJitter:    time.Second,
		MinUseFraction: 0.5,
		UseWindow:      10 * time.Second,
		MaxTargets:     32,
		MaxKeys:        1024,
	}
}

// pacedSpan is Span where requests are paced: requests that have started are not refused
// by the nodes between for a level that has risen since.
const pacedSpan = 1500 * time.Millisecond

// WithPacing returns the configuration for entry nodes that pace the start of requests.
func (c Config) WithPacing() Config {
	c.Paced, c.Span = true, pacedSpan
	return c
}
