package hertzhttp

import (
	"context"
	"slices"
	"sync"
	"time"
)

// scope is the context of one request at a server. It does what a chain of the
// standard library's contexts would, one to cancel, one with the deadline and
// one for each AfterFunc, as one object: those took a third of the allocations
// of a call. Its deadline takes a timer of its own only in a request that runs
// for long. Safe for concurrent use.
type scope struct {
	context.Context // what it was made from; only its values are used

	mu       sync.Mutex
	err      error         // why it ended; nil until then
	done     chan struct{} // made when it is first asked for
	deadline time.Time     // zero: none
	timer    *time.Timer   // nil while the watcher looks after the deadline
	late     bool          // the watcher has passed the request, and won't again
	hooks    []hook
	inline   [2]hook // the first of hooks; most calls have no more
	last     int     // identity of the newest hook
}

// hook is called when the scope ends.
type hook struct {
	id int
	f  func()
}

// closed is the channel of scopes that ended before they were asked for one.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Deadline implements context.Context.
func (s *scope) Deadline() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deadline, !s.deadline.IsZero()
}

// Done implements context.Context.
func (s *scope) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.done != nil:
	case s.err != nil:
		s.done = closed
	default:
		s.done = make(chan struct{})
	}
	return s.done
}

// Err implements context.Context.
func (s *scope) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// AfterFunc is as context.AfterFunc. The standard library's contexts that are
// made from a scope end through it, too.
func (s *scope) AfterFunc(f func()) (stop func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		go f()
		return func() bool { return false }
	}
	if s.hooks == nil {
		s.hooks = s.inline[:0]
	}
	s.last++
	id := s.last
	s.hooks = append(s.hooks, hook{id, f})
	return func() bool { return s.unhook(id) }
}

func (s *scope) unhook(id int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.hooks, func(h hook) bool { return h.id == id })
	if i < 0 {
		return false
	}
	s.hooks = slices.Delete(s.hooks, i, i+1)
	return true
}

// cancel ends the scope, unless it has ended.
func (s *scope) cancel() { s.end(context.Canceled) }

func (s *scope) expire() { s.end(context.DeadlineExceeded) }

func (s *scope) end(err error) {
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
	for _, h := range s.hooks {
		go h.f()
	}
	s.hooks = nil
	s.inline = [2]hook{}
}

// bound sets the deadline, unless there is an earlier one.
func (s *scope) bound(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || !s.deadline.IsZero() && !t.Before(s.deadline) {
		return
	}
	s.deadline = t
	if s.late || time.Until(t) < watchAfter+watchEvery {
		s.arm()
	}
}

// pass takes in that the watcher won't look at the request again.
func (s *scope) pass() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = true
	if s.err == nil && !s.deadline.IsZero() {
		s.arm()
	}
}

// arm starts the deadline's timer. Called with mu held.
func (s *scope) arm() {
	left := max(time.Until(s.deadline), 0)
	if s.timer != nil {
		s.timer.Reset(left)
		return
	}
	s.timer = time.AfterFunc(left, s.expire)
}

// WithDeadline is as context.WithDeadline. On the context of a request that a
// Server serves it returns that very context: the deadline holds, and cancel
// ends, the request as a whole. At most once for each request.
func WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	s, ok := ctx.(*scope)
	if !ok {
		return context.WithDeadline(ctx, t)
	}
	s.bound(t)
	return s, s.cancel
}

// AfterFunc is context.AfterFunc, at less cost where ctx is of a request that a
// Server serves.
func AfterFunc(ctx context.Context, f func()) (stop func() bool) {
	if s, ok := ctx.(*scope); ok {
		return s.AfterFunc(f)
	}
	return context.AfterFunc(ctx, f)
}
