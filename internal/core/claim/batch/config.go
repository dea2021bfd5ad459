package batch

import "time"

// Config sizes the rows and paces their writes. Slot and Shards apply to newly
// announced layouts only; a node places keys by the layouts that it read.
type Config struct {
	// Slot is the span of key times that share a row. Default 64 ms. Raising
	// it means fewer and larger rows; lowering it means more writes.
	Slot time.Duration
	// Shards is the number of rows per slot. Default 2. Raising it allows more
	// claims per second at the cost of more writes per second; lowering it does
	// the reverse.
	Shards int
	// MinWriteInterval is the minimum interval between two writes of a row. Default 50 ms.
	// Raising it batches more ops per write; lowering it answers claims sooner.
	MinWriteInterval time.Duration
	// MaxWriteInterval bounds the interval between two writes of a row while the platform
	// does not answer; the interval doubles from MinWriteInterval with each failure.
	// Default 1 s. Raising it reduces load on a recovering platform; lowering it answers
	// sooner after recovery.
	MaxWriteInterval time.Duration
	// DeferDelay bounds the delay of an op without a waiting caller. Default
	// 250 ms. Raising it saves writes; lowering it makes outcomes visible to
	// repeats sooner, and leaves fewer keys "unknown" when a node dies.
	DeferDelay time.Duration
	// MaxRow bounds a row's value in bytes; a full row refuses new entries.
	// Default 60 KiB. It must stay below port.MaxValue.
	MaxRow int
	// ReservedValueSize is the minimum space in bytes reserved for each claim's value, so
	// that its outcome fits later. Default 192. Raising it means fewer claims per
	// row; it must stay above the size of an outcome without a body.
	ReservedValueSize int
	// MaxAttempts bounds the writes of a batch whose condition failed or whose answer
	// was lost. Default 4. Raising it tolerates more conflicts; lowering it
	// replies sooner.
	MaxAttempts int
	// AssumeAbsentAge is the age up to which a row that is not in memory is assumed absent
	// without a read. Default 1 s. Raising it costs failed writes; lowering it
	// costs reads.
	AssumeAbsentAge time.Duration
	// IdleTimeout is how long a row is cached after its last op. Default 5 s.
	// Raising it costs memory; lowering it costs reads.
	IdleTimeout time.Duration
}

// DefaultConfig returns the defaults documented at each field.
func DefaultConfig() Config {
	return Config{
		Slot: 64 * time.Millisecond, Shards: 2,
		MinWriteInterval: 50 * time.Millisecond, MaxWriteInterval: time.Second, DeferDelay: 250 * time.Millisecond,
		MaxRow: 60 << 10, ReservedValueSize: 192, MaxAttempts: 4,
		AssumeAbsentAge: time.Second, IdleTimeout: 5 * time.Second,
	}
}
