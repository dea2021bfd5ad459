package claims

import (
	"time"

	"peardrift/internal/core/claim"
)

// Config bounds the claims of a node.
type Config struct {
	Claim   claim.Config
	Breaker claim.BreakerConfig
	// MaxClaims is the maximum number of calls in the claim phase. Default 64.
	// Raising it lets a slow platform hold more admission slots; lowering it
	// refuses bursts of at-most-once calls.
	MaxClaims int
	// MaxPending is the number of pending follow-ups from which new claims are
	// refused. Default 1024. Raising it costs memory (one outcome each); lowering
	// it refuses sooner in an outage.
	MaxPending int
	// RecordTimeout is how long an answer waits for its outcome to be recorded, or
	// a refusal for its claim to be released. Default 100 ms. Raising it lets
	// more repeats find the outcome; lowering it answers sooner.
	RecordTimeout time.Duration
	// ExplainTimeout bounds how long a refusal waits for the read of earlier calls
	// under its key. Default 100 ms. Raising it gives more callers a definite
	// answer while the platform is slow; lowering it answers sooner.
	ExplainTimeout time.Duration
	// RetryMin and RetryMax bound the backoff between tries of a follow-up, which
	// grows by half with each try and has a jitter of plus or minus half. Default
	// 500 ms and 30 s. Raising them reduces load on a recovering platform;
	// lowering them resolves keys sooner.
	RetryMin, RetryMax time.Duration
}

// DefaultConfig returns the defaults documented at each field.
func DefaultConfig() Config {
	return Config{
		Claim:          claim.DefaultConfig(),
		Breaker:        claim.DefaultBreakerConfig(),
		MaxClaims:      64,
		MaxPending:     1024,
		RecordTimeout:  100 * time.Millisecond,
		ExplainTimeout: 100 * time.Millisecond,
		RetryMin:       500 * time.Millisecond,
		RetryMax:       30 * time.Second,
	}
}
