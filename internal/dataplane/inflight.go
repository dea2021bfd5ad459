package dataplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"peardrift/internal/core/early"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// SpanID is the span that a target sees as its parent.
type SpanID [8]byte

// running is a request that runs on the own target. Its allowance pays for the
// target's outgoing calls.
type running struct {
	id       request.ID
	name     string // by which the target knows it; may be empty
	sampled  bool
	class    request.Class // of the own service, while meta's is the whole request's
	span     SpanID
	meta     wire.Meta
	priority request.Priority
	deadline time.Duration
	ctx      context.Context // ends with the request, and with it the target's calls

	mu        sync.Mutex
	allowance retry.RequestAllowance
	open      int           // attempts below that have not ended
	unknown   bool          // some call below may have run with no known result
	over      bool          // the target has answered that it failed
	used      []early.Key   // services called so far
	below     status.Code   // of the call below that ended badly last; empty: none did
	since     time.Duration // when open was last 0
	idle      time.Duration // for how long the target could only wait for others

	next *running // begun before it, of the same identity; guarded by registry.mu
}

func (x *running) start(c *retry.Call, below int) (retry.Grant, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.allowance.Start(c, below)
}

func (x *running) settle(c *retry.Call, g *retry.Grant, a retry.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.allowance.Settle(c, g, a)
}

func (x *running) left() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.allowance.Left()
}

// firstUse reports whether no call to the key was made before.
func (x *running) firstUse(k early.Key) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if slices.Contains(x.used, k) {
		return false
	}
	x.used = append(x.used, k)
	return true
}

// begins takes in that an attempt below begins; false if it must not, since the
// request is over.
func (x *running) begins(now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		return false
	}
	if x.open == 0 {
		x.since = now
	}
	x.open++
	return true
}

// note takes in how an attempt below ended.
func (x *running) note(now time.Duration, r *result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open--
	if x.open == 0 {
		x.idle += now - x.since
	}
	x.unknown = x.unknown || r.outcome == request.Unknown
}

// ended takes in how a call below ended, after all its attempts.
func (x *running) ended(r *result) {
	if r.outcome == request.Completed || r.code == status.CodeCanceled {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.below = r.cause()
	if x.below == "" {
		x.below = status.CodeTargetFailed
	}
}

// cause returns why a call below ended badly; empty if none did.
func (x *running) cause() status.Code {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.below
}

// waits adds time that the request spent neither in the target nor in calls.
func (x *running) waits(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.idle += d
}

// idled returns for how long the target could only wait for others.
func (x *running) idled() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.idle
}

// close ends the request here and returns what its answer reports.
func (x *running) close() (unspent, made int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	made = x.allowance.Made()
	return x.allowance.Close(), made
}

// fails takes in that the target has answered that it failed, and reports whether a
// call below may have run with no known result, or is still under way: a target may
// give up a call and answer before its node has noticed that. No attempt below begins
// from now on, or it would run for a request that is said to have failed.
func (x *running) fails() (doubtful bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.over = true
	return x.unknown || x.open > 0
}

// registry holds the requests that run on the own target, by identity. Safe
// for concurrent use.
type registry struct {
	mu   sync.Mutex
	byID map[request.ID]*running // the one begun last; the others follow by next

	byName map[string]*running

	failed [maxFailed]failure // a ring
	last   int
}

// failure names a request whose target has answered that it failed.
type failure struct {
	id   request.ID
	name string
}

// maxFailed is how many failures are remembered. A call that its target has given up
// is read milliseconds after the failure, if at all.
const maxFailed = 256

func newRegistry() *registry {
	return &registry{byID: make(map[request.ID]*running), byName: make(map[string]*running)}
}

// fail remembers that a request has failed, for calls of it that come late.
func (r *registry) fail(x *running) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed[r.last] = failure{x.id, x.name}
	r.last = (r.last + 1) % maxFailed
}

// hasFailed reports whether one of the last failures has an identity or a name; either
// may be unknown to the caller.
func (r *registry) hasFailed(id request.ID, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.failed {
		f := &r.failed[i]
		if f.id == (request.ID{}) {
			continue
		}
		if f.id == id || name != "" && f.name == name {
			return true
		}
	}
	return false
}

func (r *registry) add(x *running) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.next = r.byID[x.id]
	r.byID[x.id] = x
	if x.name != "" {
		r.byName[x.name] = x
	}
}

func (r *registry) remove(x *running) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.name != "" && r.byName[x.name] == x {
		delete(r.byName, x.name)
	}
	at := r.byID[x.id]
	switch {
	case at == x && x.next == nil:
		delete(r.byID, x.id)
	case at == x:
		r.byID[x.id] = x.next
	default:
		for at != nil && at.next != x {
			at = at.next
		}
		if at != nil {
			at.next = x.next
		}
	}
}

// parent finds the request that an outgoing call belongs to: by the span where
// the target passes traceparent on unchanged, else by the trace alone. A target
// that draws spans of its own while the same request runs on it twice leaves
// open which of the two it is; the one begun last is taken. Both carry the same
// class and deadline, only their allowances differ, and those sum up to the
// request's all the same.
func (r *registry) parent(id request.ID, span SpanID) *running {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.byID[id]
	for x := last; x != nil; x = x.next {
		if x.span == span {
			return x
		}
	}
	return last
}

// named returns the request that runs on the target under a name; nil if none.
func (r *registry) named(name string) *running {
	if name == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byName[name]
}
