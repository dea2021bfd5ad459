package retry

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Config holds the settings of the package.
type Config struct {
	// Attempts is the allowance of a request whose class declares none: extra
	// attempts over the whole chain. Default 6: a call is repeated only where
	// this covers the calls below it too, so it should be above the number of
	// calls that a request makes, for failures near the entry. Higher completes
	// more requests when single calls fail; the budget below bounds the load.
	Attempts int
	// PerCall bounds the attempts of one sub-call, the first included.
	// Default 3. Higher lets one bad call use up the request's allowance.
	PerCall int
	// Ratio is how much one success adds to a service's retry budget, in
	// attempts; a repeat draws those that it will make below too. Default 0.1. Higher allows more extra load on a service that
	// still succeeds in part; 0 leaves only MinRate.
	Ratio float64
	// CallRatio is Ratio for the calls that targets make. Default 0.1. A service
	// that is mostly called from inside chains has far more of these than whole
	// requests; where its budget is a share of the latter, 0.
	CallRatio float64
	// FleetBudget is the attempts that all nodes together may spend on one service
	// in FleetWindow beside what they earn; each node has its part. It replaces
	// MinRate and Burst. Default 0: each node has MinRate and Burst for itself.
	FleetBudget float64
	FleetWindow time.Duration
	// RefusedFree: a refusal that came before the target costs nothing of the
	// budget. Default false. Where the budget counts what reaches targets, true.
	RefusedFree bool
	// MinRate fills the budget without any success, in attempts a second for
	// each calling node and service. Default 0.2. Higher helps services that
	// are called rarely; the fleet's extra load grows by it times the nodes.
	MinRate float64
	// Burst caps the budget, in attempts. Default 10. Higher lets more retries
	// follow at once after a quiet time.
	Burst float64
	// RefusedShare is the share of attempts refused for load, 0 to 1, above
	// which the service counts as overloaded as a whole. Default 0.5. Lower
	// stops retries earlier.
	RefusedShare float64
	// Window is the time constant over which RefusedShare is measured.
	// Default 1s. Longer is steadier but resumes retries later.
	Window time.Duration
	// MinSample is the number of attempts in the window below which
	// RefusedShare isn't judged. Default 5.
	MinSample float64
	// Backoff is the mean wait before the second attempt of a call that ran or
	// may have run; it doubles with each further one and is spread between half
	// and one and a half. A refused call goes elsewhere at once. Default 5ms.
	Backoff time.Duration
	// RepeatWindow is how long a node remembers a request that ran on its target,
	// by the name that its caller gave it, since it was last seen: at least this,
	// at most twice as long. Default 30s. Longer bounds callers that send again
	// more slowly.
	RepeatWindow time.Duration
	// MaxRepeats bounds the requests remembered in one window. Default 4096, about
	// 0.4 MB. Past it the oldest half is forgotten early.
	MaxRepeats int
	// CostWeight is the weight of a new observation in the mean number of calls
	// below an attempt, 0 to 1. Default 0.1. Higher follows changes faster.
	CostWeight float64
}

// Free reports whether an attempt that ended so costs nothing.
func (c *Config) Free(o request.Outcome, code status.Code) bool {
	return c.RefusedFree && o == request.Refused && code != status.CodeTargetShed
}

// DefaultConfig returns the settings that need no tuning for the deployments
// the project is made for.
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
