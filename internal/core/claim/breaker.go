package claim

import "time"

// BreakerConfig configures the circuit breaker for the platform.
type BreakerConfig struct {
	// Failures is the number of consecutive failures that open the breaker.
	// Default 3. Raising it lets more calls wait for a platform that is down;
	// lowering it opens on isolated losses.
	Failures int
	// ProbeInterval is the pause before the first probe. Default 500 ms. Raising
	// it detects recovery later; lowering it sends more probes.
	ProbeInterval time.Duration
	// MaxProbeInterval bounds the pause, which doubles with each failed probe. Default
	// 8 s. Raising it reduces load on a recovering platform; lowering it detects
	// recovery sooner.
	MaxProbeInterval time.Duration
}

// DefaultBreakerConfig returns the defaults documented at each field.
func DefaultBreakerConfig() BreakerConfig {
	return BreakerConfig{Failures: 3, ProbeInterval: 500 * time.Millisecond, MaxProbeInterval: 8 * time.Second}
}

// Breaker is a circuit breaker for operations at the platform. While the
// platform is down, every claim would hold its admission slot for the whole of
// ClaimTimeout and crowd out requests that need no claim. An open breaker refuses
// claims immediately, except for one call per pause that serves as the probe.
type Breaker struct {
	cfg       BreakerConfig
	failures  int
	pause     time.Duration // between probes; 0: closed
	nextProbe time.Duration // time from which the next probe is allowed
	probing   bool          // a probe was allowed and has not reported
}

// NewBreaker returns a closed breaker.
func NewBreaker(cfg BreakerConfig) Breaker { return Breaker{cfg: cfg} }

// Open reports whether the platform is considered down.
func (b *Breaker) Open() bool { return b.pause > 0 }

// Allow reports whether an operation may be attempted. While open it returns
// true once per pause, also when the previous probe never reported.
func (b *Breaker) Allow(now time.Duration) bool {
	if !b.Open() {
		return true
	}
	if now < b.nextProbe {
		return false
	}
	b.nextProbe, b.probing = now+b.pause, true
	return true
}

// Wait returns the time until Allow can return true.
func (b *Breaker) Wait(now time.Duration) time.Duration {
	if !b.Open() {
		return 0
	}
	return max(0, b.nextProbe-now)
}

// Report records the result of an operation; ok means that the platform
// answered, even with a failed condition.
func (b *Breaker) Report(now time.Duration, ok bool) {
	if ok {
		b.failures, b.pause = 0, 0
		return
	}
	b.failures++
	switch {
	case b.Open() && b.probing:
		b.pause = min(2*b.pause, b.cfg.MaxProbeInterval)
	case !b.Open() && b.failures >= b.cfg.Failures:
		b.pause = b.cfg.ProbeInterval
	default:
		// Not a probe: the operation was in flight when the breaker opened. If
		// each of these doubled the pause, a short fault under load would refuse
		// all at-most-once calls for MaxProbeInterval.
		return
	}
	b.nextProbe, b.probing = now+b.pause, false
}
