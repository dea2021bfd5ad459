package retry

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Config holds the settings of the package.
type Config struct {
	// Attempts is the allowance of a request whose class declares none: the extra
	// attempts over the whole chain. Default 6. A call is repeated only if the
	// allowance covers the calls below it too, so it should exceed the number of calls
	// that a request makes, to cover failures near the entry. Higher completes more
	// requests when single calls fail; the service budget bounds the load.
	Attempts int
	// PerCall bounds the attempts of one sub-call, including the first. Default 3.
	// Higher lets one failing call use up the request's allowance.
	PerCall int
	// Ratio is how much one success adds to a service's retry budget, in attempts; a
	// repeat also pays for the calls that it makes below. Default 0.1. Higher allows
	// more extra load on a service that partly succeeds; 0 leaves only MinRate.
	Ratio float64
	// CallRatio is Ratio for the calls that targets make. Default 0.1. A service called
	// mostly from inside chains sees far more of these calls than whole requests; set
	// it to 0 where the service's budget is a fraction of its whole requests.
	CallRatio float64
	// FleetBudget is the number of attempts that all nodes together may spend on one
	// service in FleetWindow, in addition to what successes earn; each node gets an
	// equal part. It replaces MinRate and Burst. Default 0: MinRate and Burst apply to
	// each node.
	FleetBudget float64
	FleetWindow time.Duration
	// FreeRefusals makes attempts that are refused before they reach a target free of
	// charge. Default false. Set it where the budget counts what reaches targets.
	FreeRefusals bool
	// MinRate fills the budget independently of successes, in attempts per second for
	// each calling node and service. Default 0.2. Higher helps rarely called services;
	// the extra load on the service grows by it times the number of nodes.
	MinRate float64
	// Burst caps the budget, in attempts. Default 10. Higher allows more immediate
	// retries after a quiet period.
	Burst float64
	// RefusedShare is the fraction of attempts refused for load, 0 to 1, above which
	// the whole service counts as overloaded. Default 0.5. Lower stops retries earlier.
	RefusedShare float64
	// Window is the time constant of the RefusedShare measurement. Default 1s. Longer
	// is steadier but resumes retries later.
	Window time.Duration
	// MinSample is the number of attempts in the window below which RefusedShare isn't
	// evaluated. Default 5.
	MinSample float64
	// Backoff is the mean delay before the second attempt of a call that ran or may
	// have run. It doubles with each further attempt, with jitter between 0.5 and 1.5
	// of the mean. A refused call is retried on another target without delay. Default
	// 5ms.
	Backoff time.Duration
	// RepeatWindow is how long a node remembers a request that ran on its target, by
	// the caller's name for it and counted from when it was last seen: at least this
	// long, at most twice. Default 30s. Longer also bounds callers that resend more
	// slowly.
	RepeatWindow time.Duration
	// MaxRepeats bounds the requests remembered in one window. Default 4096, about 0.4
	// MB. Beyond it the older half is dropped early.
	MaxRepeats int
	// CostWeight is the weight, 0 to 1, of a new observation in the mean number of
	// calls below an attempt. Default 0.1. Higher follows changes faster.
	CostWeight float64
}

// Free reports whether an attempt with this result costs nothing.
func (c *Config) Free(o request.Outcome, code status.Code) bool {
	return c.FreeRefusals && o == request.Refused && code != status.CodeTargetShed
}

// Unreached reports whether an attempt with this result is left out of the request's
// allowance: it could not have reached a target, whatever its priority. A refusal for load is
// not, since a further attempt may displace other requests at another target.
func (c *Config) Unreached(o request.Outcome, code status.Code) bool {
	return c.FreeRefusals && o == request.Refused && code.TakesNoCalls()
}

// RatioAt returns how much one success of a call at a depth of its chain adds to the
// service's retry budget.
func (c *Config) RatioAt(depth int) float64 {
	if depth == 0 {
		return c.Ratio
	}
	return c.CallRatio
}

// DefaultConfig returns the default settings, which need no tuning for the deployments
// that the project is made for.
func DefaultConfig() Config {
	return Config{
		Attempts:     6,
		PerCall:      3,
		Ratio:        0.1,
		CallRatio:    0.1,
		MinRate:      0.2,
		Burst:        10,
		RefusedShare: 0.5,
		Window:       time.Second,
		MinSample:    5,
		Backoff:      5 * time.Millisecond,
		RepeatWindow: 30 * time.Second,
		MaxRepeats:   4096,
		CostWeight:   0.1,
	}
}
