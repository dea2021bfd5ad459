package member

import "time"

// Config holds the parameters of a State. All members should run with the same.
type Config struct {
	// Rings is the number of rings, so of subjects and of observers of each
	// member. Default 4. Raising it makes detection and spreading sturdier and
	// costs bytes in proportion; below 3 one loss can leave a member unwatched.
	Rings int
	// Period is the time between two exchanges with a subject. Default 2 s.
	// Raising it saves bytes and slows detection and spreading.
	Period time.Duration
	// RemotePeriod is the same for members of other regions. Default 4 s.
	RemotePeriod time.Duration
	// EagerGap is the least time between two exchanges on one link when an
	// urgent change (a drain, a fact) waits. Default 400 ms. Lowering it
	// spreads urgent changes faster and costs bytes in busy minutes.
	EagerGap time.Duration
	// TickEvery is how often the caller means to call Tick. Default 200 ms. A
	// gap of more than PauseAfter between two ticks counts as a pause of this
	// very process.
	TickEvery time.Duration
	// PauseAfter is the gap between ticks from which on the node distrusts its
	// own observations. Default 1 s. Lowering it delays detection on nodes
	// with little processor time.
	PauseAfter time.Duration
	// CallTimeout bounds one exchange. Default 1.5 s. Raising it slows the
	// detection of silent connections.
	CallTimeout time.Duration
	// RetryAfter is the time between attempts while a subject doesn't answer.
	// Default 1 s.
	RetryAfter time.Duration
	// SuspectAfter is how long a subject may be silent before its observer
	// suspects it and asks the other observers. Default 6 s.
	SuspectAfter time.Duration
	// DeadAfter is how long a subject must have been silent to all of its
	// observers that answer. Default 12 s. Lowering it finds deaths sooner; it
	// must stay well above the freezes that members are meant to survive.
	DeadAfter time.Duration
	// Votes is the number of observers that must agree on a death. Default 2.
	// With 1, a single overloaded node can condemn healthy ones.
	Votes int
	// CutOffFactor multiplies DeadAfter while more than half of a node's
	// subjects are silent, since then it is likelier cut off itself. Default 5.
	CutOffFactor int
	// Fanout is the number of links on which a node that is short of budget
	// tells deaths and joins, the one that it heard them on included. Default
	// 6. Raising it leaves less to the comparison of digests, and costs bytes
	// when a zone is lost.
	Fanout int
	// SmallRegion is the number of members below which a region isn't watched
	// by itself; the members of all such regions form one group. Default 8.
	SmallRegion int
	// MaxRemoteIn bounds the links that a node accepts from other regions.
	// Default 4.
	MaxRemoteIn int
	// RegionTries is the number of different members of a region that must fail
	// to answer in a row before the region counts as unreachable. Default 3.
	RegionTries int
	// ReprobeEvery is the time between probes of unreachable members. Default
	// 30 s. Raising it saves bytes and delays the return of members.
	ReprobeEvery time.Duration
	// KeepUnreachable is how long an unreachable member is kept and probed.
	// Default 6 h. It must exceed the cuts that the fleet is meant to survive.
	KeepUnreachable time.Duration
	// KeepDead is how long the tombstone of a departed member is kept. Default
	// 12 h; it must exceed KeepUnreachable.
	KeepDead time.Duration
	// MaxDead bounds the number of tombstones. Default 8192.
	MaxDead int
	// MaxMembers bounds the number of members of all states. Default 40000.
	MaxMembers int
	// MaxFacts bounds the facts of each kind; those with the lowest versions
	// go first. Default 1024.
	MaxFacts int
	// Budget is the bytes per second, sent plus received, that the node aims to
	// spend. Default 2600. Raising it speeds up storms of changes; the limit of
	// the fleet is 3072.
	Budget int
	// Burst is the unspent budget that may be saved up, in time. Default 2 s.
	// Raising it lets more through at once, and exceeds the budget for longer.
	Burst time.Duration
	// StartBudget is what a new process may spend at once, in bytes. Default
	// 40000, a quarter of a minute's budget. It lets a small fleet that starts at
	// once get to know itself in seconds. Raising it makes a zone that returns
	// cost the others more.
	StartBudget int
	// ExchangeCost is what an empty exchange costs on the wire in bytes, headers
	// included; it sizes messages before Spend reports the true cost. Default
	// 300.
	ExchangeCost int
	// MaxItems bounds the bytes of changes, facts and records in one message.
	// Default 1100, so that a message fits one packet.
	MaxItems int
	// JoinRate is the bytes per second at which a new member fetches the whole
	// state, beyond its Budget. Default 24000. Raising it makes a member complete
	// sooner; those that it fetches from keep to their own budgets.
	JoinRate int
	// CatchUp is how long after its start a member fetches the whole state again
	// while it differs from its neighbours, and gives it to others beyond its
	// Budget. Default 15 s. Raising it costs bytes when many members start.
	CatchUp time.Duration
	// AloneAfter is how long a member with seeds waits for the first answer of
	// any before it takes itself for the first one. Default 20 s. Without it a
	// fleet whose seeds are all gone would never start; lowering it lets members
	// start apart that only reach each other late.
	AloneAfter time.Duration
	// JoinRetry is the time between attempts to join. Default 1 s.
	JoinRetry time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Rings:           4,
		Period:          2 * time.Second,
		RemotePeriod:    4 * time.Second,
		EagerGap:        400 * time.Millisecond,
		TickEvery:       200 * time.Millisecond,
		PauseAfter:      time.Second,
		CallTimeout:     1500 * time.Millisecond,
		RetryAfter:      time.Second,
		SuspectAfter:    6 * time.Second,
		DeadAfter:       12 * time.Second,
		Votes:           2,
		CutOffFactor:    5,
		Fanout:          6,
		SmallRegion:     8,
		MaxRemoteIn:     4,
		RegionTries:     3,
		ReprobeEvery:    30 * time.Second,
		KeepUnreachable: 6 * time.Hour,
		KeepDead:        12 * time.Hour,
		MaxDead:         8192,
		MaxMembers:      40000,
		MaxFacts:        1024,
		Budget:          2600,
		Burst:           2 * time.Second,
		StartBudget:     40000,
		ExchangeCost:    300,
		MaxItems:        1100,
		JoinRate:        24000,
		CatchUp:         15 * time.Second,
		AloneAfter:      20 * time.Second,
		JoinRetry:       time.Second,
	}
}
