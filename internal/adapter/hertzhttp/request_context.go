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
	err       error         // reason for the end; nil while active
	done      chan struct{} // created on first use
	deadline  time.Time     // zero if there is none
	timer     *time.Timer   // nil while the watcher enforces the deadline
	unwatched bool          // the watcher no longer checks the request
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
func (s *requestContext) Deadline() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deadline, !s.deadline.IsZero()
}

// Done implements context.Context.
func (s *requestContext) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.done != nil:
	case s.err != nil:
		s.done = closedChan
	default:
		s.done = make(chan struct{})
	}
	return s.done
}

// Err implements context.Context.
func (s *requestContext) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// AfterFunc is like context.AfterFunc. Standard library contexts derived from a
// requestContext use it to learn of its end.
func (s *requestContext) AfterFunc(f func()) (stop func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		go f()
		return func() bool { return false }
	}
	if s.callbacks == nil {
		s.callbacks = s.inline[:0]
	}
	s.lastID++
	id := s.lastID
	s.callbacks = append(s.callbacks, callback{id, f})
	return func() bool { return s.removeCallback(id) }
}

func (s *requestContext) removeCallback(id int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.callbacks, func(h callback) bool { return h.id == id })
	if i < 0 {
		return false
	}
	s.callbacks = slices.Delete(s.callbacks, i, i+1)
	return true
}

// cancel ends the context if it is still active.
func (s *requestContext) cancel() { s.end(context.Canceled) }

func (s *requestContext) expire() { s.end(context.DeadlineExceeded) }

func (s *requestContext) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.err = err
	if s.done != nil {
		close(s.done)
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	for _, h := range s.callbacks {
		go h.f()
	}
	s.callbacks = nil
	s.inline = [2]callback{}
}

// setDeadline sets the deadline unless an earlier one is set.
func (s *requestContext) setDeadline(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || !s.deadline.IsZero() && !t.Before(s.deadline) {
		return
	}
	s.deadline = t
	if s.unwatched || time.Until(t) < watchDelay+minWatchInterval {
		s.armTimer()
	}
}

// stopWatching records that the watcher will not check the request again.
func (s *requestContext) stopWatching() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unwatched = true
	if s.err == nil && !s.deadline.IsZero() {
		s.armTimer()
	}
}

// armTimer starts the deadline timer. Called with mu held.
func (s *requestContext) armTimer() {
	remaining := max(time.Until(s.deadline), 0)
	if s.timer != nil {
		s.timer.Reset(remaining)
		return
	}
	s.timer = time.AfterFunc(remaining, s.expire)
}

// WithDeadline is like context.WithDeadline. For the context of a request served
// by a Server it returns the same context: the deadline and cancel apply to the
// whole request. Call it at most once per request.
func WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	s, ok := ctx.(*requestContext)
	if !ok {
		return context.WithDeadline(ctx, t)
	}
	s.setDeadline(t)
	return s, s.cancel
}

// AfterFunc is like context.AfterFunc, and cheaper for the context of a request
// served by a Server.
func AfterFunc(ctx context.Context, f func()) (stop func() bool) {
	if s, ok := ctx.(*requestContext); ok {
		return s.AfterFunc(f)
	}
	return context.AfterFunc(ctx, f)
}
