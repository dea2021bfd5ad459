package conn

import "time"

// Config holds the settings of the package.
type Config struct {
	// MaxConns is the maximum number of connections to the peer, including those
	// being dialed. Default 256. Lower values use fewer of the peer's connections
	// and refuse calls sooner.
	MaxConns int
	// MaxIdle is the maximum number of idle connections. Default 64. Higher values
	// save dials, about 1 ms each, after a burst.
	MaxIdle int
	// IdleTimeout is how long an unused connection stays open. Default 20s; must be
	// below the peer's own idle timeout and that of devices on the path. Lower
	// values lose fewer calls on connections that such a device has dropped.
	IdleTimeout time.Duration
	// SilentMin and SilentMax bound the silence after which the peer is probed;
	// between them it follows the measured time to the first byte. Defaults 250ms
	// and 1s. Lower values detect dead connections sooner and probe more often.
	SilentMin time.Duration
	SilentMax time.Duration
	// ProbeTimeout is the timeout of a probe. Default 500ms.
	ProbeTimeout time.Duration
	// Grace is how long a call that the peer isn't executing may still wait: its
	// response may be in transit. Default 100ms; must exceed a round trip.
	Grace time.Duration
	// MaxRecheckInterval is the maximum interval between probes for a call that the peer is
	// executing; the interval starts at the silence that triggered the probe and
	// doubles. Default 2s.
	MaxRecheckInterval time.Duration
	// GiveUp is the silence after which a call is failed if nobody can tell whether
	// the peer is executing it. Default 5s.
	GiveUp time.Duration
	// MinProbeInterval is the minimum interval between two probes of a peer. Default 50ms.
	MinProbeInterval time.Duration
	// MaxProbeCalls is the maximum number of calls per probe. Default 256.
	MaxProbeCalls int
}

// DefaultConfig returns the defaults documented on the fields, which need no tuning
// for the deployments that the project targets.
func DefaultConfig() Config {
	return Config{
		MaxConns:           256,
		MaxIdle:            64,
		IdleTimeout:        20 * time.Second,
		SilentMin:          250 * time.Millisecond,
		SilentMax:          time.Second,
		ProbeTimeout:       500 * time.Millisecond,
		Grace:              100 * time.Millisecond,
		MaxRecheckInterval: 2 * time.Second,
		GiveUp:             5 * time.Second,
		MinProbeInterval:   50 * time.Millisecond,
		MaxProbeCalls:      256,
	}
}
