package claim

import "time"

// Config bounds one attempt. The zero value is not usable; start from
// DefaultConfig.
type Config struct {
	// ClaimTimeout bounds the claim phase of a call: from Begin to Run or Answer.
	// Default 300 ms. Raising it tolerates slower writes, and holds an
	// admission slot longer when the platform is slow; lowering it refuses
	// sooner.
	ClaimTimeout time.Duration
	// OpTimeout bounds one read or write within the claim phase. Default 100 ms.
	// Raising it leaves less time to resolve a lost answer; lowering it makes
	// slow writes ambiguous, which costs a read each.
	OpTimeout time.Duration
	// MaxWrites is the maximum number of claim writes of one attempt; it may read
	// twice as often. Default 4. Raising it helps keys that are released and
	// claimed concurrently; lowering it saves writes.
	MaxWrites int
	// RunGrace is how long a run may continue past the caller's deadline, so that
	// its outcome can be recorded. Default 10 s. Raising it keeps slots busy with
	// late work; lowering it makes more outcomes permanently unknown.
	RunGrace time.Duration
	// Retention is the default retention of an outcome, from the later of the
	// run's end and the key's own time; a Request may override it. Default 24 h.
	// Raising it costs rows; lowering it shortens the time in which a repeat is
	// recognised.
	Retention time.Duration
	// FreeRetention is the retention of a released row, which fails writes that arrive
	// late. Default 1 hour. Raising it costs rows; it must stay far above the
	// time that a write can be in flight.
	FreeRetention time.Duration
	// MaxClockSkew is the maximum difference between the wall clocks of two nodes.
	// Default 1 min. Raising it refuses dated keys slightly earlier.
	MaxClockSkew time.Duration
	// MaxKeyAhead is how far a dated key may be ahead of the node's clock at most.
	// Default 30 min. Raising it accepts keys of callers with larger clock
	// errors; it must stay below batch.AnnounceLead - batch.ClockMargin by at least the
	// interval at which nodes reread the layouts.
	MaxKeyAhead time.Duration
	// MaxStoredBody is the largest answer body stored in a row, in bytes. Default
	// 16 KiB. Raising it answers more repeats in full, up to the row's limit;
	// lowering it stores fewer bytes at the platform.
	MaxStoredBody int
	// RetryAfter is the retry delay advised to callers, before jitter. Default
	// 1 s. Raising it reduces load on the platform; lowering it shortens the
	// caller's wait for an outcome.
	RetryAfter time.Duration
}

// DefaultConfig returns the defaults documented at each field.
func DefaultConfig() Config {
	return Config{
		ClaimTimeout:  300 * time.Millisecond,
		OpTimeout:     100 * time.Millisecond,
		MaxWrites:     4,
		RunGrace:      10 * time.Second,
		Retention:     24 * time.Hour,
		FreeRetention: time.Hour,
		MaxClockSkew:  time.Minute,
		MaxKeyAhead:   30 * time.Minute,
		MaxStoredBody: 16 << 10,
		RetryAfter:    time.Second,
	}
}
