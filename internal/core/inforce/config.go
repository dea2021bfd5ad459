package inforce

import "time"

// Config holds the parameters of a State. All nodes should run with the same.
type Config struct {
	// Fanout is how many children a node of the tree has in the mean. Default 3.
	// Higher makes the tree flatter, so changes arrive sooner, and loads the
	// inner nodes of one change more; the mean load stays one send a change.
	Fanout int

	// Roots is how many nodes of a region read a new version from the object
	// store. Default 2. Higher survives more dead roots at once and costs as
	// many reads for each change.
	Roots int

	// Pollers is how many nodes read each head row. Default 2. Higher survives
	// more dead pollers at once and costs as many reads.
	Pollers int

	// PollEvery is how often a poller reads a head row. Default 2 s. Lower
	// notices changes sooner that no operator's tool announced, and costs reads.
	PollEvery time.Duration

	// PollReads bounds the reads a second of all pollers together: with many
	// tenants each row is read less often. Default 100.
	PollReads int

	// Spacing is the least time between two fetches of a tenant's set. Default
	// 500 ms. Higher takes several changes at once in a busy minute, so costs
	// fewer messages and installs; each level of the tree may wait for it.
	Spacing time.Duration

	// AskTimeout is how long a node waits for a peer's answer. Default 1.5 s. It
	// must exceed ServeWait by the time for a message there and back. Lower
	// turns sooner from a peer that is dead, higher waits for a slow one.
	AskTimeout time.Duration

	// LoadTimeout is how long a node waits for the platform. Default 5 s.
	LoadTimeout time.Duration

	// ServeWait is how long a node keeps a peer waiting for a version that it
	// does not hold yet. Default 1 s. Lower sends peers to other sources sooner.
	ServeWait time.Duration

	// MaxWaiters bounds the peers waiting for one tenant's set. Default 64.
	MaxWaiters int

	// RetryMin and RetryMax bound the wait after all sources failed in turn; it
	// doubles and is drawn between half and the whole. Defaults 500 ms and 30 s.
	// Lower recovers sooner, higher spares a platform in trouble.
	RetryMin, RetryMax time.Duration

	// ServeRate and ServeBurst bound the bytes of whole sets that a node sends
	// peers, a second and at once. Defaults 1 KB/s and 256 KB. Lower keeps the
	// control traffic of a node down when many start beside it, and sends some
	// of those to the object store. Deltas are not bounded by it.
	ServeRate, ServeBurst int

	// StartPeers is how many informed peers tell a starting node the newest
	// versions. Default 5. Higher makes it less likely that all of them are
	// behind.
	StartPeers int

	// StartWait is how long a starting node waits for the answers of all the
	// peers that it asked. Default 2 s.
	StartWait time.Duration

	// ColdReads bounds how many starting nodes a second go to the platform
	// because no peer could tell them. Default 50. Lower spares the platform
	// when the whole fleet starts at once, and lets the first wait longer.
	ColdReads int

	// RideFor is how long a node that is behind asks along with heartbeats only,
	// while the budget is short, before it asks over a connection of its own all
	// the same. Default 5 s. Lower is surer to be in time and costs bytes when
	// they are short.
	RideFor time.Duration

	// HintFor is how long a hint is followed up while the platform can't confirm
	// it. Default 1 m.
	HintFor time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Fanout: 3, Roots: 2,
		Pollers: 2, PollEvery: 2 * time.Second, PollReads: 100,
		Spacing:    500 * time.Millisecond,
		AskTimeout: 1500 * time.Millisecond, LoadTimeout: 5 * time.Second,
		ServeWait: time.Second, MaxWaiters: 64,
		RetryMin: 500 * time.Millisecond, RetryMax: 30 * time.Second,
		ServeRate: 1 << 10, ServeBurst: 256 << 10,
		StartPeers: 5, StartWait: 2 * time.Second, ColdReads: 50,
		HintFor: time.Minute,
		RideFor: 5 * time.Second,
	}
}
