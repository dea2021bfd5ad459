package waiting

import "time"

// Config holds the settings of the package.
type Config struct {
	// MaxWaiting is the maximum number of waiting requests. Default 0: no request waits;
	// one that may not start is refused. A higher value serves more requests after a
	// peak and takes more memory and calls in flight.
	MaxWaiting int
	// MaxBytes is the maximum of the sum of Request.Bytes of waiting requests. Default 0:
	// no bound besides MaxWaiting.
	MaxBytes int64
	// Quantile of the chain times of completed requests that counts as the time that a
	// chain needs, 0 to 1. Default 0.95. A higher value refuses sooner and lets fewer
	// started requests miss their objective.
	Quantile float64
	// MinSamples is the number of completed requests from which on the chain time counts
	// as known. Default 8. Below it, half of the time until the objective is assumed.
	MinSamples int
	// SampleWindow is the length of the window of chain times and of the times that callers
	// state; the current and the previous window count. Default 10s. A lower value follows changes sooner and is
	// less certain at low request rates.
	SampleWindow time.Duration
	// MaxKeys is the maximum number of keys with a queue of their own. Default 1024.
	// Requests of further keys don't wait.
	MaxKeys int
	// PollInterval is the maximum time between two questions to the Pacer while requests
	// wait. Default 20ms. A lower value starts requests sooner after capacity returns
	// and takes more processor time.
	PollInterval time.Duration
	// RateWindow is the time constant of the measured rate of starts. Default 2s. A
	// lower value follows changes sooner; retry delays vary more.
	RateWindow time.Duration
	// MinRetryAfter is the lowest retry delay before jitter. Default 100ms.
	MinRetryAfter time.Duration
	// IdleRetryAfter is the retry delay before jitter while no request starts. Default
	// 1s. A higher value reduces the load of returning callers and delays them.
	IdleRetryAfter time.Duration
	// MaxRetryAfter is the highest retry delay before jitter. Default 5s: callers don't
	// return after a longer one.
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the defaults, with which nothing waits.
func DefaultConfig() Config {
	return Config{
		Quantile:       0.95,
		MinSamples:     8,
		SampleWindow:   10 * time.Second,
		MaxKeys:        1024,
		PollInterval:   20 * time.Millisecond,
		RateWindow:     2 * time.Second,
		MinRetryAfter:  100 * time.Millisecond,
		IdleRetryAfter: time.Second,
		MaxRetryAfter:  5 * time.Second,
	}
}

const (
	// RequestBytes bounds the memory that waiting adds to a request, besides what the
	// request itself holds.
	RequestBytes = 2 << 10
	// memoryParts: waiting requests may take one part in this many of the memory.
	memoryParts = 8
	// callParts: waiting requests may take one part in this many of the calls in flight,
	// so that the others still pass.
	callParts = 2
)

// SetBounds derives MaxWaiting and MaxBytes from the memory limit of the process in bytes
// and the limit of calls in flight. Without a memory limit nothing waits.
func (c *Config) SetBounds(memory int64, calls int) {
	c.MaxBytes = memory / memoryParts
	c.MaxWaiting = int(min(c.MaxBytes/RequestBytes, int64(calls/callParts)))
}
