package batch

import "time"

// Config sizes the rows and paces their writes. Slot and Shards are what a newly
// announced Layout has; a node goes by the layouts that it read.
type Config struct {
	// Slot is the span of key times that share a row. Default 64 ms. Raising
	// it means fewer and larger rows; lowering it means more writes.
	Slot time.Duration
	// Shards is how many rows a slot has. Default 2. Raising it makes room for
	// more claims a second, at more writes a second; lowering it the reverse.
	Shards int
	// Pace is the least time between two writes of a row. Default 50 ms. Raising
	// it puts more ops into a write; lowering it answers claims sooner.
	Pace time.Duration
	// MaxPace bounds the time between two writes of a row while the platform does
	// not answer, which doubles from Pace with each. Default 1 s. Raising it
	// spares a platform that comes back; lowering it answers sooner then.
	MaxPace time.Duration
	// LazyWait is how long an op that nobody waits for may be held back.
	// Default 250 ms. Raising it saves writes; lowering it shows outcomes to
	// repeats sooner, and leaves fewer keys of nodes that die "unknown".
	LazyWait time.Duration
	// MaxRow bounds a row's value in bytes; further new entries are refused.
	// Default 60 KiB, under port.MaxValue. Raising it must stay under that.
	MaxRow int
	// Reserve is the room in bytes that each claim's value has at least, so that
	// its outcome fits in later. Default 192. Raising it means fewer claims in a
	// row; it must stay above the size of an outcome without a body.
	Reserve int
	// Tries is how often a batch is written again after its condition failed or
	// its answer was lost. Default 4. Raising it rides out more collisions;
	// lowering it replies sooner.
	Tries int
	// Fresh is the age up to which a row that isn't in memory is taken to be
	// absent, without reading it. Default 1 s. Raising it costs failed writes;
	// lowering it costs reads.
	Fresh time.Duration
	// Idle is how long a row stays in memory after its last op. Default 5 s.
	// Raising it costs memory; lowering it costs reads.
	Idle time.Duration
}

// DefaultConfig returns the defaults named at each field.
func DefaultConfig() Config {
	return Config{
		Slot: 64 * time.Millisecond, Shards: 2,
		Pace: 50 * time.Millisecond, MaxPace: time.Second, LazyWait: 250 * time.Millisecond,
		MaxRow: 60 << 10, Reserve: 192, Tries: 4,
		Fresh: time.Second, Idle: 5 * time.Second,
	}
}
