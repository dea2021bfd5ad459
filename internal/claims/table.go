package claims

import (
	"context"
	"time"

	"peardrift/internal/core/claim"
)

// wallNow returns the wall clock time, to which times in rows and deadlines are
// compared. The monotonic clock stops while a machine is suspended: a holder would
// not notice that it was paused past its caller's deadline.
func wallNow() time.Duration { return time.Duration(time.Now().UnixNano()) }

// execute carries out a Write or Read and returns its event. The operation is not
// cancelled with the caller, because an interrupted write would be ambiguous.
func (r *Runner) execute(ctx context.Context, ref Ref, act claim.Action, timeout time.Duration) claim.Event {
	ctx = context.WithoutCancel(ctx)
	switch act := act.(type) {
	case claim.Write:
		return r.report("put", r.rows.Put(ctx, ref, act.Row, min(act.Wait, timeout)))
	case claim.Read:
		return r.report("get", r.rows.Get(ctx, ref, min(act.Wait, timeout)))
	default:
		return nil
	}
}

// report records the result of an operation in the breaker and the metrics.
func (r *Runner) report(op string, ev claim.Event) claim.Event {
	result, ok := resultLabel(ev)
	r.mu.Lock()
	r.breaker.Report(wallNow(), ok)
	open := r.breaker.Open()
	r.mu.Unlock()
	r.stats.op(op, result, open)
	return ev
}

// resultLabel returns the metric label of an event and whether the platform
// answered.
func resultLabel(ev claim.Event) (result string, ok bool) {
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
	case claim.NotWritten, claim.ReadFailed:
		return "unavailable", false
	default:
		return "ambiguous", false
	}
}
