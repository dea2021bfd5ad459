package claim

import "time"

// Config bounds one attempt. The zero value is not usable; start from
// DefaultConfig.
type Config struct {
	// ClaimWait bounds the claim phase of a call: from Begin to Run or Answer.
	// Default 300 ms. Raising it rides out slower writes, and holds an
	// admission slot longer when the platform is slow; lowering it refuses
	// sooner.
	ClaimWait time.Duration
	// OpWait bounds one read or write within the claim phase. Default 100 ms.
	// Raising it leaves less time to settle a lost answer; lowering it turns
	// slow writes into doubtful ones, which cost a read each.
	OpWait time.Duration
	// Rounds is the most claim writes of one attempt, and half of its most
	// reads. Default 4. Raising it helps keys that are released and claimed at
	// the same time; lowering it saves writes.
	Rounds int
	// RunGrace is how long a run may go on past the caller's deadline, so that
	// its outcome can be recorded. Default 10 s. Raising it keeps slots busy
	// with late work; lowering it makes more outcomes unknown for good.
	RunGrace time.Duration
	// Remember is how long an outcome is kept, from the later of the run's end
	// and the key's own time, where the Request doesn't say. Default 24 h.
	// Raising it costs rows; lowering it shortens the time in which a repeat is
	// recognised.
	Remember time.Duration
	// FreeFor is how long a released row is kept, to fail writes that arrive
	// late. Default 1 hour. Raising it costs rows; it must stay far above the
	// time that a write can be under way.
	FreeFor time.Duration
	// Skew is the most by which the wall clocks of two nodes differ. Default
	// 1 min. Raising it refuses dated keys a little earlier.
	Skew time.Duration
	// Ahead is the most by which a dated key may be ahead of the node's clock.
	// Default 30 min. Raising it takes keys of callers whose clocks are further
	// off; it must stay below batch.Lead - batch.Margin by as much as nodes take
	// to read the layouts again.
	Ahead time.Duration
	// MaxKept is the largest answer body kept in a row, in bytes. Default
	// 16 KiB. Raising it serves more repeats in full, up to the row's limit;
	// lowering it saves bytes at the platform.
	MaxKept int
	// RetryAfter is the advice to a caller that may come back, before spread.
	// Default 1 s. Raising it spares the platform; lowering it shortens the
	// caller's wait for an outcome.
	RetryAfter time.Duration
}

// DefaultConfig returns the defaults named at each field.
func DefaultConfig() Config {
	return Config{
		ClaimWait:  300 * time.Millisecond,
		OpWait:     100 * time.Millisecond,
		Rounds:     4,
		RunGrace:   10 * time.Second,
		Remember:   24 * time.Hour,
		FreeFor:    time.Hour,
		Skew:       time.Minute,
		Ahead:      30 * time.Minute,
		MaxKept:    16 << 10,
		RetryAfter: time.Second,
	}
}
