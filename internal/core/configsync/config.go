package configsync

import "time"

// Config holds the parameters of a State. All nodes should use the same values.
type Config struct {
	// Fanout is the mean number of children of a node in the tree. Default 3. A
	// higher value makes the tree flatter, so changes arrive sooner, and
	// increases the load on the inner nodes of each change; the mean load stays
	// at one send per change.
	Fanout int

	// Roots is the number of nodes per region that read a new version from the
	// object store. Default 2. A higher value tolerates more dead roots at once
	// and costs that many reads per change.
	Roots int

	// Pollers is the number of nodes that read each head row. Default 2. A
	// higher value tolerates more dead pollers at once and costs that many
	// reads.
	Pollers int

	// PollEvery is the interval at which a poller reads a head row. Default 2
	// s. A lower value detects unannounced changes sooner and costs more reads.
	PollEvery time.Duration

	// PollReads limits the reads per second of all pollers together: with many
	// tenants each row is read less often. Default 100.
	PollReads int

	// MinFetchInterval is the minimum time between two fetches of a tenant's set.
	// Default 500 ms. A higher value batches changes in busy periods, which
	// costs fewer messages and installs; each level of the tree may add this
	// delay.
	MinFetchInterval time.Duration

	// AskTimeout is the timeout of a request to a peer. Default 1.5 s. It must
	// exceed ServeWait by at least one round trip. A lower value abandons a
	// dead peer sooner, a higher one tolerates a slow peer.
	AskTimeout time.Duration

	// LoadTimeout is the timeout of a platform call. Default 5 s.
	LoadTimeout time.Duration

	// ServeWait is how long a node holds a peer's request for a version that it
	// does not have yet. Default 1 s. A lower value sends peers to other
	// sources sooner.
	ServeWait time.Duration

	// MaxWaiters limits the peers waiting for one tenant's set. Default 64.
	MaxWaiters int

	// RetryMin and RetryMax bound the backoff after all sources failed in turn;
	// the backoff doubles each time, with jitter between half of it and all of
	// it. Defaults 500 ms and 30 s. Lower values recover sooner, higher ones
	// spare a failing platform.
	RetryMin, RetryMax time.Duration

	// WholeSetRate (bytes per second) and WholeSetBurst (bytes) limit the whole sets
	// that a node sends to peers. Defaults 1 KB/s and 256 KB. Lower values
	// limit a node's control traffic when many nodes start at once, and send
	// some of them to the object store. Deltas are not limited.
	WholeSetRate, WholeSetBurst int

	// StartPeers is the number of informed peers that report the newest
	// versions to a starting node. Default 5. A higher value makes it less
	// likely that all of them are behind.
	StartPeers int

	// StartWait is how long a starting node waits for answers from all the
	// peers that it asked. Default 2 s.
	StartWait time.Duration

	// PlatformStartRate limits how many starting nodes per second read the platform
	// because no informed peer answered. Default 50. A lower value spares the
	// platform when the whole fleet starts at once, and makes the first nodes
	// wait longer.
	PlatformStartRate int

	// PiggybackTimeout is how long a node that is behind relies on piggybacking on
	// heartbeats while its control budget is exhausted, before it opens a
	// connection anyway. Default 5 s. A lower value bounds the delay more
	// tightly and costs bytes when they are scarce.
	PiggybackTimeout time.Duration

	// HintTTL is how long a hint is retried while the platform does not confirm
	// it. Default 1 m.
	HintTTL time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Fanout: 3, Roots: 2,
		Pollers: 2, PollEvery: 2 * time.Second, PollReads: 100,
		MinFetchInterval: 500 * time.Millisecond,
		AskTimeout:       1500 * time.Millisecond, LoadTimeout: 5 * time.Second,
		ServeWait: time.Second, MaxWaiters: 64,
		RetryMin: 500 * time.Millisecond, RetryMax: 30 * time.Second,
		WholeSetRate: 1 << 10, WholeSetBurst: 256 << 10,
		StartPeers: 5, StartWait: 2 * time.Second, PlatformStartRate: 50,
		HintTTL:          time.Minute,
		PiggybackTimeout: 5 * time.Second,
	}
}
