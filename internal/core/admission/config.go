package admission

import (
	"time"

	"peardrift/internal/core/limit"
)

// Config sets a Gate up. The defaults need no tuning for targets of 25 to 300
// slots with service times from a millisecond to some seconds.
type Config struct {
	// Slots is how many requests the target declares to run at once. Default 64.
	// It bounds the limit; higher than true and the limit has to find out.
	Slots int
	// QueueLimit is the most requests that wait; 0 means QueuePerSlot times
	// Slots, at least 64. Higher: longer bursts are kept, refusals by
	// eviction come later.
	QueueLimit int
	// QueuePerSlot is used when QueueLimit is 0. Default 4.
	QueuePerSlot int
	// MaxWait is the longest time a request may wait. Default 1 s. Higher:
	// long pauses of the target are outlasted, with older work afterwards.
	MaxWait time.Duration
	// TargetDelay is the queue delay that is let stand. Default 5 ms. Higher:
	// later reaction and a longer queue in overload; lower: bursts count as
	// overload.
	TargetDelay time.Duration
	// TargetPart raises TargetDelay for slow requests, as a part of the mean
	// service time. Default 0.5. Higher and lower: as TargetDelay.
	TargetPart float64
	// StandFor is how long the delay must stand above its target before the
	// level rises. Default 100 ms. Higher: later reaction; lower: bursts count
	// as overload.
	StandFor time.Duration
	// MinWindow and MaxWindow bound the windows over which demand is measured
	// and the level set. Defaults 50 ms and 250 ms. Higher: steadier levels,
	// later reaction.
	MinWindow, MaxWindow time.Duration
	// WindowArrivals is how many arrivals make a window full after MinWindow.
	// Default 32. Higher: steadier levels on targets with little traffic.
	WindowArrivals int
	// IdleBelow is the part of the limit in use below which a level above 0 is
	// taken to refuse too much. Default 0.85. Higher: faster recovery, more
	// hunting; lower: the reverse.
	IdleBelow float64
	// SpareBelow is the part of the limit, 0 to below 1, up to whose use no request
	// is refused for the time that it is expected to take. Default 0.5. Above it
	// the part of that time which a request must have left rises to the whole.
	// Higher lets in more that may not end in time; lower refuses beside free slots.
	SpareBelow float64
	// RetryAfter is the least advice given with a refusal. Default 1 s. It
	// grows with demand over capacity and is spread by as much again. Higher:
	// refused callers come back later, also after the overload has ended.
	RetryAfter time.Duration
	// MaxRetryAfter bounds the advice. Default 30 s.
	MaxRetryAfter time.Duration
	// Limit sets up the concurrency limit.
	Limit limit.Config
}

// minQueue is the least bound of the queue when it follows from the slots.
const minQueue = 64

// DefaultConfig returns the defaults that the fields name.
func DefaultConfig() Config {
	return Config{
		Slots:          64,
		QueuePerSlot:   4,
		MaxWait:        time.Second,
		TargetDelay:    5 * time.Millisecond,
		TargetPart:     0.5,
		StandFor:       100 * time.Millisecond,
		MinWindow:      50 * time.Millisecond,
		MaxWindow:      250 * time.Millisecond,
		WindowArrivals: 32,
		IdleBelow:      0.85,
		SpareBelow:     0.5,
		RetryAfter:     time.Second,
		MaxRetryAfter:  30 * time.Second,
		Limit:          limit.DefaultConfig(),
	}
}

// queueLimit returns the bound of the queue for the declared slots.
func (c *Config) queueLimit(slots int) int {
	if c.QueueLimit > 0 {
		return c.QueueLimit
	}
	return max(minQueue, c.QueuePerSlot*slots)
}
