package waiting

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// refusal returns the refusal of a request of the group for lack of capacity. latest is
// until when it could have started.
func (q *Queue) refusal(now time.Duration, g *group, latest time.Duration) Decision {
	g.state.stated.refused(now, q.cfg.SampleWindow)
	return Decision{Reason: status.CodeOverloaded, RetryAfter: q.retryAfter(now, g, latest)}
}

// retryAfter returns when there will be capacity for a request of the group as a return:
// when the backlog ahead of it is worked off at the measured rate. One that can't be back
// by latest is late then, and follows the other late ones.
func (q *Queue) retryAfter(now time.Duration, g *group, latest time.Duration) time.Duration {
	wait := q.workOff(now, g, g.late)
	if !g.late && now+wait > latest {
		wait = q.workOff(now, g, true)
	}
	return q.spread(min(max(wait, q.cfg.MinRetryAfter), q.cfg.MaxRetryAfter))
}

// workOff returns after which time the backlog ahead of an arrival has started.
func (q *Queue) workOff(now time.Duration, g *group, late bool) time.Duration {
	ahead, rate := q.backlog(now, g.state, g.importance, late)
	switch {
	case ahead == 0:
		return min(q.pacer.Next(now, g.state.key, g.importance)-now, q.cfg.IdleRetryAfter)
	case rate == 0:
		return q.cfg.IdleRetryAfter
	}
	return time.Duration(min(ahead/rate, q.cfg.MaxRetryAfter.Seconds()) * float64(time.Second))
}

// backlog returns how many requests of the key wait that start before an arrival of the
// importance, and how many requests of their groups start a second.
func (q *Queue) backlog(now time.Duration, s *keyState, imp request.Importance, late bool) (ahead, rate float64) {
	for _, o := range s.groups {
		if o.importance < imp || o.importance == imp && o.late && !late {
			break
		}
		if o.best.len() == 0 {
			continue // its starts work off nothing
		}
		ahead += float64(o.best.len())
		rate += o.rate.perSecond(now, q.cfg.RateWindow)
	}
	return ahead, rate
}

// spread adds a random time of up to as much again.
func (q *Queue) spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + time.Duration(q.rng.Int64N(int64(d)))
}
