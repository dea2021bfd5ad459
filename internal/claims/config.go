package claims

import (
	"time"

	"peardrift/internal/core/claim"
)

// Config bounds a node's claims.
type Config struct {
	Claim   claim.Config
	Breaker claim.BreakerConfig
	// MaxClaims is how many calls may be in the claim phase at a time. Default
	// 64. Raising it lets a slow platform hold more admission slots; lowering
	// it refuses bursts of at-most-once calls.
	MaxClaims int
	// MaxPending is how many duties may wait for the platform before new claims
	// are refused. Default 1024. Raising it costs memory (an outcome each);
	// lowering it refuses sooner in an outage.
	MaxPending int
	// RecordWait is how long an answer waits for its outcome to be recorded, or
	// a refusal for its claim to be released. Default 100 ms. Raising it lets
	// more repeats find the outcome; lowering it answers sooner.
	RecordWait time.Duration
	// ExplainWait bounds how long a refusal waits for a look at earlier calls
	// under its key. Default 100 ms. Raising it tells more callers for certain
	// while the platform is slow; lowering it answers sooner.
	ExplainWait time.Duration
	// RetryMin and RetryMax bound the pause between tries of a duty, which
	// grows by half each time and is spread by half either way. Default 500 ms
	// and 30 s. Raising them spares a platform that comes back; lowering them
	// settles keys sooner.
	RetryMin, RetryMax time.Duration
}

// DefaultConfig returns the defaults named at each field.
func DefaultConfig() Config {
	return Config{
		Claim:       claim.DefaultConfig(),
		Breaker:     claim.DefaultBreakerConfig(),
		MaxClaims:   64,
		MaxPending:  1024,
		RecordWait:  100 * time.Millisecond,
		ExplainWait: 100 * time.Millisecond,
		RetryMin:    500 * time.Millisecond,
		RetryMax:    30 * time.Second,
	}
}
