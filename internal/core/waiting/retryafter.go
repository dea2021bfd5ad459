package waiting

import (
	"time"

	"peardrift/internal/status"
)

// refusal returns the refusal of a request of the group for lack of capacity.
func (q *Queue) refusal(now time.Duration, g *group) Decision {
	return Decision{Reason: status.CodeOverloaded, RetryAfter: q.retryAfter(now, g)}
}

// retryAfter returns when there will be capacity for a request of the group: when the
// backlog ahead of it is worked off at the measured rate. Requests of the key with at
// least its importance are ahead.
func (q *Queue) retryAfter(now time.Duration, g *group) time.Duration {
	ahead, rate := 0, 0.0
	for _, o := range g.state.groups {
		if o.importance < g.importance {
			break
		}
		ahead += o.best.len()
		rate += o.rate.perSecond(now, q.cfg.RateWindow)
	}
	wait := min(q.pacer.Next(now, g.state.key, g.importance)-now, q.cfg.IdleRetryAfter)
	if ahead > 0 {
		wait = q.cfg.IdleRetryAfter
		if rate > 0 {
			wait = time.Duration(min(float64(ahead)/rate, q.cfg.MaxRetryAfter.Seconds()) * float64(time.Second))
		}
	}
	return q.spread(min(max(wait, q.cfg.MinRetryAfter), q.cfg.MaxRetryAfter))
}

// spread adds a random time of up to as much again.
func (q *Queue) spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + time.Duration(q.rng.Int64N(int64(d)))
}
