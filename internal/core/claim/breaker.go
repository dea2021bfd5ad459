package claim

import "time"

// BreakerConfig sets when a node stops waiting for a platform that is down.
type BreakerConfig struct {
	// Failures in a row that open the breaker. Default 3. Raising it lets more
	// calls wait in vain; lowering it opens on chance losses.
	Failures int
	// ProbeEvery is the pause before the first probe. Default 500 ms. Raising
	// it notices recovery later; lowering it sends more probes.
	ProbeEvery time.Duration
	// ProbeMax bounds the pause, which doubles with each failed probe. Default
	// 8 s. Raising it spares a platform that comes back; lowering it notices
	// recovery sooner.
	ProbeMax time.Duration
}

// DefaultBreakerConfig returns the defaults named at each field.
func DefaultBreakerConfig() BreakerConfig {
	return BreakerConfig{Failures: 3, ProbeEvery: 500 * time.Millisecond, ProbeMax: 8 * time.Second}
}

// Breaker decides whether to ask the platform at all. When it is down, every
// claim would hold its admission slot for the whole of ClaimWait and so crowd
// out requests that need no claim; with the breaker open they are refused at
// once, and one call in a while goes through as the probe.
type Breaker struct {
	cfg      BreakerConfig
	failures int
	pause    time.Duration // 0: closed
	probe    time.Duration // when the next probe may go
	probing  bool          // a probe was let through and has not reported
}

// NewBreaker returns a closed breaker.
func NewBreaker(cfg BreakerConfig) Breaker { return Breaker{cfg: cfg} }

// Open reports whether the platform is taken to be down.
func (b *Breaker) Open() bool { return b.pause > 0 }

// Allow reports whether an operation may be tried. While open it is true once
// per pause; a probe that never reports back is followed by another.
func (b *Breaker) Allow(now time.Duration) bool {
	if !b.Open() {
		return true
	}
	if now < b.probe {
		return false
	}
	b.probe, b.probing = now+b.pause, true
	return true
}

// Wait returns how long until Allow can be true.
func (b *Breaker) Wait(now time.Duration) time.Duration {
	if !b.Open() {
		return 0
	}
	return max(0, b.probe-now)
}

// Report takes how an operation ended; ok means that the platform answered,
// also with a failed condition.
func (b *Breaker) Report(now time.Duration, ok bool) {
	if ok {
		b.failures, b.pause = 0, 0
		return
	}
	b.failures++
	switch {
	case b.Open() && b.probing:
		b.pause = min(2*b.pause, b.cfg.ProbeMax)
	case !b.Open() && b.failures >= b.cfg.Failures:
		b.pause = b.cfg.ProbeEvery
	default:
		// Open, and no probe: one of the operations under way when it opened.
		// If each of them doubled the pause, a short fault under load would
		// close the node to at-most-once calls for the longest pause.
		return
	}
	b.probe, b.probing = now+b.pause, false
}
