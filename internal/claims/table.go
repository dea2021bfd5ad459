package claims

import (
	"context"
	"time"

	"peardrift/internal/core/claim"
)

// wall returns the time that rows and deadlines are compared by. It is the wall
// clock, because the monotonic one stands still while a machine is suspended:
// a holder would not notice that it was paused past its caller's deadline.
func wall() time.Duration { return time.Duration(time.Now().UnixNano()) }

// do carries out a Write or Read and returns its event. The operation does not
// end with the caller: a write that is cut short is only in doubt.
func (r *Runner) do(ctx context.Context, p Place, act claim.Action, most time.Duration) claim.Event {
	ctx = context.WithoutCancel(ctx)
	switch act := act.(type) {
	case claim.Write:
		return r.report("put", r.rows.Put(ctx, p, act.Row, min(act.Wait, most)))
	case claim.Read:
		return r.report("get", r.rows.Get(ctx, p, min(act.Wait, most)))
	default:
		return nil
	}
}

// report tells the breaker and the metrics how an operation ended.
func (r *Runner) report(op string, ev claim.Event) claim.Event {
	result, ok := named(ev)
	r.mu.Lock()
	r.breaker.Report(wall(), ok)
	open := r.breaker.Open()
	r.mu.Unlock()
	r.stats.op(op, result, open)
	return ev
}

// named returns an event's name in the metrics, and whether the platform
// answered.
func named(ev claim.Event) (result string, ok bool) {
	switch ev := ev.(type) {
	case claim.Written, claim.RowUnreadable:
		return "ok", true
	case claim.RowRead:
		if ev.Row.State == claim.Absent {
			return "absent", true
		}
		return "ok", true
	case claim.ConditionFailed:
		return "condition_failed", true
	case claim.NoRoom:
		return "no_room", true
	case claim.NothingWritten, claim.ReadFailed:
		return "unavailable", false
	default:
		return "ambiguous", false
	}
}
