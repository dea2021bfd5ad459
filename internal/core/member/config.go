package member

import "time"

// Config holds the parameters of a State. All members should use the same
// values.
type Config struct {
	// Rings is the number of rings, and so the number of subjects and of
	// observers of each member. Default 4. A higher value makes failure
	// detection and gossip more robust and costs bytes in proportion; below 3,
	// a single loss can leave a member without observers.
	Rings int
	// Period is the interval between exchanges with a subject. Default 2 s. A
	// higher value saves bytes and slows detection and gossip.
	Period time.Duration
	// RemotePeriod is Period for members of other regions. Default 4 s.
	RemotePeriod time.Duration
	// UrgentInterval is the minimum interval between two exchanges on one link while
	// an urgent change (a drain, a fact) is pending. Default 400 ms. A lower
	// value spreads urgent changes faster and costs bytes while there are many.
	UrgentInterval time.Duration
	// TickInterval is the interval at which the caller intends to call Tick.
	// Default 200 ms. A gap of more than PauseThreshold between two ticks counts as
	// a pause of this process.
	TickInterval time.Duration
	// PauseThreshold is the gap between ticks above which the node distrusts its
	// own observations. Default 1 s. A lower value delays detection on nodes
	// with little CPU time.
	PauseThreshold time.Duration
	// ExchangeTimeout bounds one exchange. Default 1.5 s. A higher value slows the
	// detection of unresponsive connections.
	ExchangeTimeout time.Duration
	// RetryInterval is the interval between attempts while a subject does not
	// respond. Default 1 s.
	RetryInterval time.Duration
	// SuspectAfter is how long a subject may be silent before its observer
	// suspects it and queries the other observers. Default 6 s.
	SuspectAfter time.Duration
	// DeadAfter is how long a subject must have been silent to all of its
	// responding observers. Default 12 s. A lower value detects deaths sooner;
	// it must stay well above the freezes that members are meant to survive.
	DeadAfter time.Duration
	// DeathQuorum is the number of observers that must agree on a death. Default 2.
	// With 1, a single overloaded node can declare healthy members unreachable.
	DeathQuorum int
	// IsolationFactor multiplies DeadAfter while more than half of a node's
	// subjects are silent, because then the node itself is more likely to be
	// isolated. Default 5.
	IsolationFactor int
	// Fanout is the number of links on which a node that is short of budget
	// gossips deaths and joins, including the link it received them on. Default
	// 6. A higher value leaves less to anti-entropy, and costs bytes when a
	// zone is lost.
	Fanout int
	// MinRegionSize is the number of members below which a region does not
	// observe itself; the members of all such regions form one group. Default
	// 8.
	MinRegionSize int
	// MaxRemoteInbound bounds the links that a node accepts from other regions.
	// Default 4.
	MaxRemoteInbound int
	// RegionFailureThreshold is the number of different members of a region that must fail
	// to respond in a row before the region counts as unreachable. Default 3.
	RegionFailureThreshold int
	// ProbeInterval is the interval between probes of unreachable members.
	// Default 30 s. A higher value saves bytes and delays the recovery of
	// members.
	ProbeInterval time.Duration
	// UnreachableRetention is how long an unreachable member is kept and probed.
	// Default 6 h. It must exceed the partitions that the fleet is meant to
	// survive.
	UnreachableRetention time.Duration
	// TombstoneRetention is how long the tombstone of a dead member is kept. Default 12
	// h; it must exceed UnreachableRetention.
	TombstoneRetention time.Duration
	// MaxTombstones bounds the number of tombstones. Default 8192.
	MaxTombstones int
	// MaxMembers bounds the number of members in any status. Default 40000.
	MaxMembers int
	// MaxFacts bounds the facts of each kind; those with the lowest versions
	// are evicted first. Default 1024.
	MaxFacts int
	// Budget is the target rate, in bytes per second sent plus received.
	// Default 2600. A higher value speeds up bursts of changes; the limit of
	// the fleet is 3072.
	Budget int
	// Burst is how much unspent budget accumulates, as a duration at the rate
	// of Budget. Default 2 s. A higher value permits larger bursts, and exceeds
	// the budget for longer.
	Burst time.Duration
	// InitialBudget is what a new process may spend at once, in bytes. Default
	// 40000, a quarter of a minute's budget. It lets the members of a small
	// fleet that start together discover each other within seconds. With a
	// higher value, a returning zone costs the other members more.
	InitialBudget int
	// ExchangeCost is the cost of an empty exchange on the wire in bytes,
	// headers included; it sizes messages before Spend reports the actual cost.
	// Default 300.
	ExchangeCost int
	// MaxItemBytes bounds the bytes of changes, facts and records in one message.
	// Default 1100, so that a message fits one packet.
	MaxItemBytes int
	// JoinRate is the rate, in bytes per second, at which a new member fetches
	// the whole state, in addition to its Budget. Default 24000. A higher value
	// completes the join sooner; the members that it fetches from keep to their
	// own budgets.
	JoinRate int
	// CatchUpPeriod is how long after its start a member fetches the whole state
	// again while it differs from its neighbours, and serves it to others in
	// excess of its Budget. Default 15 s. A higher value costs bytes when many
	// members start.
	CatchUpPeriod time.Duration
	// BootstrapTimeout is how long a member with seeds waits for the first response
	// of any seed before it starts as the first member. Default 20 s. Without
	// it, a fleet whose seeds are all gone would never start; a lower value
	// lets members that only reach each other late start as separate fleets.
	BootstrapTimeout time.Duration
	// JoinRetryInterval is the interval between attempts to join. Default 1 s.
	JoinRetryInterval time.Duration
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		Rings:                  4,
		Period:                 2 * time.Second,
		RemotePeriod:           4 * time.Second,
		UrgentInterval:         400 * time.Millisecond,
		TickInterval:           200 * time.Millisecond,
		PauseThreshold:         time.Second,
		ExchangeTimeout:        1500 * time.Millisecond,
		RetryInterval:          time.Second,
		SuspectAfter:           6 * time.Second,
		DeadAfter:              12 * time.Second,
		DeathQuorum:            2,
		IsolationFactor:        5,
		Fanout:                 6,
		MinRegionSize:          8,
		MaxRemoteInbound:       4,
		RegionFailureThreshold: 3,
		ProbeInterval:          30 * time.Second,
		UnreachableRetention:   6 * time.Hour,
		TombstoneRetention:     12 * time.Hour,
		MaxTombstones:          8192,
		MaxMembers:             40000,
		MaxFacts:               1024,
		Budget:                 2600,
		Burst:                  2 * time.Second,
		InitialBudget:          40000,
		ExchangeCost:           300,
		MaxItemBytes:           1100,
		JoinRate:               24000,
		CatchUpPeriod:          15 * time.Second,
		BootstrapTimeout:       20 * time.Second,
		JoinRetryInterval:      time.Second,
	}
}
