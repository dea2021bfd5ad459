package shared

import (
	"time"

	"peardrift/internal/core/claim/batch"
)

// Config bounds a node's part in shared rows.
type Config struct {
	Batch batch.Config
	// MaxOps is how many ops may wait in the node's Batcher. Default 4096, some
	// 2 MB. Raising it costs memory; lowering it sends callers to other nodes
	// sooner.
	MaxOps int
	// MaxRows is how many rows the Batcher has in memory, of at most
	// batch.Config.MaxRow each. Default 128. Raising it costs memory; lowering
	// it the same as for MaxOps.
	MaxRows int
	// MaxWait bounds how long a caller may leave an op with the Batcher. Default
	// 1 s. It must exceed batch.Config.LazyWait.
	MaxWait time.Duration
	// TableWait bounds one operation at the platform's table. Default 100 ms.
	// Raising it rides out slower writes, behind which a row's other ops wait;
	// lowering it makes more of them doubtful, which costs a read each.
	TableWait time.Duration
	// SecondWait is what is left of an op's time for the row's next node when
	// the first has not answered. Default 60 ms. Raising it leaves less for the
	// first; it must exceed a write of the platform and the way there.
	SecondWait time.Duration
	// AnswerWait is what the way to the row's node and back may take. Default
	// 10 ms. Raising it leaves less for that node's write; lowering it takes
	// slow answers for lost ones.
	AnswerWait time.Duration
	// AvoidFor is how long a node is passed over that did not do its part.
	// Default 2 s. Raising it asks such a node less often; lowering it lets it
	// batch again sooner.
	AvoidFor time.Duration
	// RefreshEvery is the age at which the layouts are read again. Default
	// 10 min. It must stay below batch.Lead - batch.Margin - claim.Config.Ahead;
	// lowering it costs the platform reads of every node.
	RefreshEvery time.Duration
}

// DefaultConfig returns the defaults named at each field.
func DefaultConfig() Config {
	return Config{
		Batch:  batch.DefaultConfig(),
		MaxOps: 4096, MaxRows: 128, MaxWait: time.Second,
		TableWait: 100 * time.Millisecond, SecondWait: 60 * time.Millisecond,
		AnswerWait: 10 * time.Millisecond,
		AvoidFor:   2 * time.Second, RefreshEvery: 10 * time.Minute,
	}
}
