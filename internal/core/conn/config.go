package conn

import "time"

// Config holds the settings of the package.
type Config struct {
	// MaxConns bounds the connections to the peer, dialed ones included.
	// Default 256. Lower spares the peer's connections and refuses calls sooner.
	MaxConns int
	// MaxIdle bounds those that are kept for the next call. Default 64. Higher
	// saves dials, about 1 ms each, after a burst.
	MaxIdle int
	// IdleTimeout closes connections that carried nothing for so long.
	// Default 20s; must be below the peer's own and below what devices on the
	// way remember. Lower loses fewer calls on forgotten connections.
	IdleTimeout time.Duration
	// SilentMin and SilentMax bound the silence after which the peer is asked;
	// between them it follows the usual time to the first byte. Defaults 250ms
	// and 1s. Lower finds dead connections sooner and asks oftener.
	SilentMin time.Duration
	SilentMax time.Duration
	// ProbeTimeout is how long the answer to a probe is waited for. Default 500ms.
	ProbeTimeout time.Duration
	// Grace is how long a call that the peer doesn't have is waited for: its
	// answer may be on the way. Default 100ms; above a round trip.
	Grace time.Duration
	// Recheck bounds the time after which the peer is asked again for a call
	// that it works on; it begins at the silence asked after and doubles.
	// Default 2s.
	Recheck time.Duration
	// GiveUp is the silence after which a call is failed if nobody can say
	// whether the peer has it. Default 5s.
	GiveUp time.Duration
	// ProbeGap is the least time between two probes of a peer. Default 50ms.
	ProbeGap time.Duration
	// MaxAsked bounds the calls that one probe asks for. Default 256.
	MaxAsked int
}

// DefaultConfig returns the settings that need no tuning for the deployments
// the project is made for.
func DefaultConfig() Config {
	return Config{
		MaxConns:     256,
		MaxIdle:      64,
		IdleTimeout:  20 * time.Second,
		SilentMin:    250 * time.Millisecond,
		SilentMax:    time.Second,
		ProbeTimeout: 500 * time.Millisecond,
		Grace:        100 * time.Millisecond,
		Recheck:      2 * time.Second,
		GiveUp:       5 * time.Second,
		ProbeGap:     50 * time.Millisecond,
		MaxAsked:     256,
	}
}
