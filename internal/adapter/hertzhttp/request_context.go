package hertzhttp

import (
	"context"
	"slices"
	"sync"
	"time"
)

// requestContext is the context of one request at a server. One object replaces a
// chain of standard library contexts (cancellation, deadline and each AfterFunc),
// which took a third of the allocations of a call. Its deadline needs a timer of
// its own only if the request runs for long. It is safe for concurrent use.
type requestContext struct {
	context.Context // parent; only its values are used

	mu        sync.Mutex
	err       error // reason for the end; nil while active
	reason    EndReason
	done      chan struct{} // created on first use
	deadline  time.Time     // zero if there is none
	timer     *time.Timer   // nil until the deadline needs one
	ownTimer  bool          // the watcher has handled the request, so a deadline needs a timer
	callbacks []callback
	inline    [2]callback // initial storage of callbacks; most calls need no more
	lastID    int         // id of the newest callback
}

// callback is a function to run when the context ends.
type callback struct {
	id int
	f  func()
}

// closedChan is returned by Done if the context ended before Done was first
// called.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Deadline implements context.Context.
func (c *requestContext) Deadline() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, !c.deadline.IsZero()
}

// Done implements context.Context.
func (c *requestContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.done != nil:
	case c.err != nil:
		c.done = closedChan
	default:
		c.done = make(chan struct{})
	}
	return c.done
}

// Err implements context.Context.
func (c *requestContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// AfterFunc is like context.AfterFunc. Standard library contexts derived from a
// requestContext use it to learn of its end.
func (c *requestContext) AfterFunc(f func()) (stop func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		go f()
		return func() bool { return false }
	}
	if c.callbacks == nil {
		c.callbacks = c.inline[:0]
	}
	c.lastID++
	id := c.lastID
	c.callbacks = append(c.callbacks, callback{id, f})
	return func() bool { return c.removeCallback(id) }
}

func (c *requestContext) removeCallback(id int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.callbacks, func(cb callback) bool { return cb.id == id })
	if i < 0 {
		return false
	}
	c.callbacks = slices.Delete(c.callbacks, i, i+1)
	return true
}

// EndReason tells what ended the context of a request.
type EndReason uint8

const (
	// NotEnded: the context is active.
	NotEnded EndReason = iota
	// Canceled: the request has ended, or its handler canceled the context.
	Canceled
	// CallerLeft: the caller closed its connection.
	CallerLeft
	// DeadlinePassed: the context's deadline passed.
	DeadlinePassed
)

// EndReasonOf returns what ended ctx. It tells CallerLeft from Canceled only for the
// context of a request served by a Server.
func EndReasonOf(ctx context.Context) EndReason {
	if c, ok := ctx.(*requestContext); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.reason
	}
	switch ctx.Err() {
	case nil:
		return NotEnded
	case context.DeadlineExceeded:
		return DeadlinePassed
	default:
		return Canceled
	}
}

// cancel ends the context if it is still active.
func (c *requestContext) cancel() { c.end(context.Canceled, Canceled) }

func (c *requestContext) callerLeft() { c.end(context.Canceled, CallerLeft) }

func (c *requestContext) expire() { c.end(context.DeadlineExceeded, DeadlinePassed) }

func (c *requestContext) end(err error, reason EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err, c.reason = err, reason
	if c.done != nil {
		close(c.done)
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	for _, cb := range c.callbacks {
		go cb.f()
	}
	c.callbacks = nil
	c.inline = [2]callback{}
}

// setDeadline sets the deadline unless an earlier one is set.
func (c *requestContext) setDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || !c.deadline.IsZero() && !t.Before(c.deadline) {
		return
	}
	c.deadline = t
	if c.ownTimer || time.Until(t) < watchDelay+minWatchInterval {
		c.armTimer()
	}
}

// useOwnTimer records that the watcher has handled the request and won't look at
// it again: from now on the deadline needs a timer of its own.
func (c *requestContext) useOwnTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownTimer = true
	if c.err == nil && !c.deadline.IsZero() {
		c.armTimer()
	}
}

// armTimer starts the deadline timer. Called with mu held.
func (c *requestContext) armTimer() {
	remaining := max(time.Until(c.deadline), 0)
	if c.timer != nil {
		c.timer.Reset(remaining)
		return
	}
	c.timer = time.AfterFunc(remaining, c.expire)
}

// WithDeadline is like context.WithDeadline. For the context of a request served
// by a Server it returns the same context: the deadline and cancel apply to the
// whole request. Call it at most once per request.
func WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	rc, ok := ctx.(*requestContext)
	if !ok {
		return context.WithDeadline(ctx, t)
	}
	rc.setDeadline(t)
	return rc, rc.cancel
}

// AfterFunc is like context.AfterFunc, and cheaper for the context of a request
// served by a Server.
func AfterFunc(ctx context.Context, f func()) (stop func() bool) {
	if rc, ok := ctx.(*requestContext); ok {
		return rc.AfterFunc(f)
	}
	return context.AfterFunc(ctx, f)
}
