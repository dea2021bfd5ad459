package sharedrows

import (
	"time"

	"peardrift/internal/core/claim/batch"
)

// Config bounds a node's use of shared rows.
type Config struct {
	Batch batch.Config
	// MaxOps is the maximum number of ops waiting in the node's Batcher. Default
	// 4096, about 2 MB. Raising it costs memory; lowering it sends callers to
	// other nodes sooner.
	MaxOps int
	// MaxRows is the maximum number of rows in the Batcher's memory, of at most
	// batch.Config.MaxRow each. Default 128. Raising it costs memory; lowering it
	// sends callers to other nodes sooner.
	MaxRows int
	// MaxWait bounds how long a caller waits for an op in the Batcher. Default
	// 1 s. It must exceed batch.Config.DeferDelay.
	MaxWait time.Duration
	// TableTimeout bounds one operation at the platform's table. Default 100 ms.
	// Raising it tolerates slower writes, which delay the row's other ops;
	// lowering it makes more writes ambiguous, which costs a read each.
	TableTimeout time.Duration
	// FallbackTimeout is the part of an op's timeout reserved for the row's next node
	// if the first one does not answer. Default 60 ms. Raising it leaves less for
	// the first node; it must exceed a write at the platform plus the latency
	// between nodes.
	FallbackTimeout time.Duration
	// RoundTripBudget is the part of an op's timeout reserved for the round trip to the
	// row's node. Default 10 ms. Raising it leaves less for that node's write;
	// lowering it treats slow answers as lost.
	RoundTripBudget time.Duration
	// AvoidDuration is how long a failed node is skipped. Default 2 s. Raising it
	// retries such a node less often; lowering it lets the node batch again
	// sooner.
	AvoidDuration time.Duration
	// RefreshInterval is the age at which the layouts are reread. Default 10 min. It must
	// stay below batch.AnnounceLead - batch.ClockMargin - claim.Config.MaxKeyAhead;
	// lowering it costs the platform more reads from every node.
	RefreshInterval time.Duration
}

// DefaultConfig returns the defaults documented at each field.
func DefaultConfig() Config {
	return Config{
		Batch:  batch.DefaultConfig(),
		MaxOps: 4096, MaxRows: 128, MaxWait: time.Second,
		TableTimeout: 100 * time.Millisecond, FallbackTimeout: 60 * time.Millisecond,
		RoundTripBudget: 10 * time.Millisecond,
		AvoidDuration:   2 * time.Second, RefreshInterval: 10 * time.Minute,
	}
}
