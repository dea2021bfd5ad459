package claims

import (
	"context"
	"errors"
	"time"

	"peardrift/internal/core/claim"
	"peardrift/internal/port"
)

// wall returns the time that rows and deadlines are compared by. It is the wall
// clock, because the monotonic one stands still while a machine is suspended:
// a holder would not notice that it was paused past its caller's deadline.
func wall() time.Duration { return time.Duration(time.Now().UnixNano()) }

// do carries out a Write or Read and returns its event. The operation does not
// end with the caller: a write that is cut short is only in doubt.
func (r *Runner) do(ctx context.Context, key string, act claim.Action, most time.Duration) claim.Event {
	ctx = context.WithoutCancel(ctx)
	switch act := act.(type) {
	case claim.Write:
		ctx, cancel := context.WithTimeout(ctx, min(act.Wait, most))
		defer cancel()
		return r.write(ctx, key, act.Row)
	case claim.Read:
		ctx, cancel := context.WithTimeout(ctx, min(act.Wait, most))
		defer cancel()
		return r.read(ctx, key)
	default:
		return nil
	}
}

func (r *Runner) write(ctx context.Context, key string, row claim.Row) claim.Event {
	value, err := row.Encode()
	if err != nil {
		return claim.NothingWritten{}
	}
	item := port.Item{Key: key, Version: row.Version, Value: value, Token: row.Token}
	if row.Expires > 0 {
		item.Expires = time.Unix(0, int64(row.Expires))
	}
	err = r.table.Put(ctx, port.Put{Item: item, IfVersion: row.Version - 1})
	switch {
	case err == nil:
		r.report("put", "ok", true)
		return claim.Written{}
	case errors.Is(err, port.ErrConditionFailed):
		r.report("put", "condition_failed", true)
		return claim.ConditionFailed{}
	case errors.Is(err, port.ErrUnavailable):
		r.report("put", "unavailable", false)
		return claim.NothingWritten{}
	default:
		// Also what the port's contract does not know: it may have been written.
		r.report("put", "ambiguous", false)
		return claim.InDoubt{}
	}
}

func (r *Runner) read(ctx context.Context, key string) claim.Event {
	item, err := r.table.Get(ctx, key)
	switch {
	case errors.Is(err, port.ErrNotFound):
		r.report("get", "absent", true)
		return claim.RowRead{}
	case err != nil:
		r.report("get", "unavailable", false)
		return claim.ReadFailed{}
	}
	r.report("get", "ok", true)
	row, err := claim.Decode(item.Version, item.Token, item.Value)
	if err != nil {
		return claim.RowUnreadable{}
	}
	return claim.RowRead{Row: row}
}

// report tells the breaker and the metrics how an operation ended.
func (r *Runner) report(op, result string, ok bool) {
	r.mu.Lock()
	r.breaker.Report(wall(), ok)
	open := r.breaker.Open()
	r.mu.Unlock()
	r.stats.op(op, result, open)
}
