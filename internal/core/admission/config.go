package admission

import (
	"time"

	"peardrift/internal/core/limit"
)

// Config configures a Gate. The defaults need no tuning for targets with 25 to 300
// slots and service times from a millisecond to a few seconds.
type Config struct {
	// Slots is the number of requests that the target declares it can run
	// concurrently. Default 64. It is the upper bound of the limit; if it is set too
	// high, the limit has to be found by measurement.
	Slots int
	// QueueLimit is the maximum number of queued requests; 0 means QueuePerSlot
	// times Slots, but at least 64. Higher values absorb longer bursts and evict
	// later.
	QueueLimit int
	// QueuePerSlot applies when QueueLimit is 0. Default 4.
	QueuePerSlot int
	// MaxWait is the maximum time a request may stay queued. Default 1 s. Higher
	// values bridge longer pauses of the target, but serve older requests
	// afterwards.
	MaxWait time.Duration
	// TargetDelay is the acceptable queue delay. Default 5 ms. Higher values react
	// later and allow a longer queue in overload; with lower values bursts count as
	// overload.
	TargetDelay time.Duration
	// TargetDelayFraction raises TargetDelay for slow requests, as a fraction of the mean
	// service time. Default 0.5. Higher and lower values act as for TargetDelay.
	TargetDelayFraction float64
	// StandingDelay is how long the queue delay must stay above its target before the
	// level rises. Default 100 ms. Higher values react later; with lower values
	// bursts count as overload.
	StandingDelay time.Duration
	// MinWindow and MaxWindow bound the windows over which demand is measured and
	// the level set. Defaults 50 ms and 250 ms. Higher values give steadier levels
	// and react later.
	MinWindow, MaxWindow time.Duration
	// WindowArrivals is the number of arrivals that close a window once MinWindow
	// has passed. Default 32. Higher values give steadier levels for targets with
	// little traffic.
	WindowArrivals int
	// IdleUtilization is the utilization of the limit below which a level above 0 is
	// considered to refuse too much. Default 0.85. Higher values recover faster but
	// oscillate more; lower values do the opposite.
	IdleUtilization float64
	// SpareUtilization is the utilization of the limit, from 0 to below 1, up to which no
	// request is refused because of its expected service time. Default 0.5. Above
	// it, the fraction of that time that must remain until the deadline rises
	// linearly to 1. Higher values admit more requests that may miss their deadline;
	// lower values refuse requests while slots are free.
	SpareUtilization float64
	// ReservedShare is the share of the capacity, from 0 to below 1, that importances
	// below the admission level may use, the highest first. An importance whose whole
	// demand fits is not refused for its rank; one whose demand is greater gets the less,
	// the more it exceeds it. Default 0: importances are refused strictly in order. Higher
	// values serve more classes of little demand and take that capacity from the highest
	// importances.
	ReservedShare float64
	// Paced is set where the entry nodes pace the start of requests by the level. Default
	// false. Once true, nested calls are admitted as under any level and exemption of the
	// last 30 windows instead of the last 6, so that a request that has started is
	// finished, and the level rises more slowly while a queue persists, since its effect
	// shows only when the requests that have started end.
	Paced bool
	// RetryAfter is the minimum retry delay sent with a refusal. Default 1 s. It
	// grows with the ratio of demand to capacity and gets up to 100% jitter. With
	// higher values refused callers come back later, even after the overload has
	// ended.
	RetryAfter time.Duration
	// MaxRetryAfter is the maximum retry delay. Default 30 s.
	MaxRetryAfter time.Duration
	// Limit configures the concurrency limit.
	Limit limit.Config
}

// minQueue is the minimum queue bound when it is derived from the slots.
const minQueue = 64

// DefaultConfig returns the defaults documented on the fields.
func DefaultConfig() Config {
	return Config{
		Slots:               64,
		QueuePerSlot:        4,
		MaxWait:             time.Second,
		TargetDelay:         5 * time.Millisecond,
		TargetDelayFraction: 0.5,
		StandingDelay:       100 * time.Millisecond,
		MinWindow:           50 * time.Millisecond,
		MaxWindow:           250 * time.Millisecond,
		WindowArrivals:      32,
		IdleUtilization:     0.85,
		SpareUtilization:    0.5,
		RetryAfter:          time.Second,
		MaxRetryAfter:       30 * time.Second,
		Limit:               limit.DefaultConfig(),
	}
}

// pacedDelayFraction is TargetDelayFraction where requests are paced. A queue says that the
// entries start too much; the later it counts, the further they exceed the capacity.
const pacedDelayFraction = 0.1

// WithPacing returns the configuration for callers that pace the start of requests.
func (c Config) WithPacing() Config {
	c.Paced, c.TargetDelayFraction = true, pacedDelayFraction
	return c
}

// queueLimit returns the queue bound for the declared slots.
func (c *Config) queueLimit(slots int) int {
	if c.QueueLimit > 0 {
		return c.QueueLimit
	}
	return max(minQueue, c.QueuePerSlot*slots)
}
