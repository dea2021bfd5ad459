package dataplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"peardrift/internal/core/earlyrefusal"
	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// SpanID is a trace span id; a target sees it as the parent of its calls.
type SpanID [8]byte

// runningRequest is a request that runs on the own target. Its allowance pays for the
// target's outgoing calls.
type runningRequest struct {
	id        request.ID
	name      string // the target's name for it; may be empty
	sampled   bool
	class     request.Class // of the own service; meta has the root request's
	span      SpanID
	meta      wire.Meta
	priority  request.Priority
	deadline  time.Duration
	startedAt time.Duration   // when the root request started, on this node's clock
	ctx       context.Context // ends with the request; the target's calls end with it

	mu           sync.Mutex
	allowance    retry.RequestAllowance
	openAttempts int             // downstream attempts in flight
	hasUnknown   bool            // a downstream call may have run without a known result
	hasFailed    bool            // the target has answered that it failed
	called       []calledService // services called so far
	lastFailure  status.Code     // of the last downstream call that failed; empty if none
	blockedSince time.Duration   // when the first of the attempts in flight began
	blocked      time.Duration   // total time in which the target could only wait for others

	next *runningRequest // earlier run with the same identity; guarded by registry.mu
}

// calledService is a service and class that a running request has called.
type calledService struct {
	key       earlyrefusal.Key
	completed bool // a call has completed
}

func (x *runningRequest) start(c *retry.Call, below int) (retry.Grant, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.allowance.Start(c, below)
}

func (x *runningRequest) settle(c *retry.Call, g *retry.Grant, a retry.Answer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.allowance.Settle(c, g, a)
}

func (x *runningRequest) remaining() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.allowance.Left()
}

// callBegins records a call with the key. first reports whether it is the request's first
// one, inProgress whether the request has been served by the service and class before, or by
// all services of its chain.
func (x *runningRequest) callBegins(k earlyrefusal.Key) (first, inProgress bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(k)
	if s == nil {
		x.called = append(x.called, calledService{key: k})
		return true, x.meta.InProgress
	}
	return false, x.meta.InProgress || s.completed
}

// find returns what is known of a called service, nil if it was not called. Called with mu
// held.
func (x *runningRequest) find(k earlyrefusal.Key) *calledService {
	i := slices.IndexFunc(x.called, func(s calledService) bool { return s.key == k })
	if i < 0 {
		return nil
	}
	return &x.called[i]
}

// beginAttempt records the start of a downstream attempt; it returns false if the
// request has ended and the attempt must not start.
func (x *runningRequest) beginAttempt(now time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.hasFailed {
		return false
	}
	if x.openAttempts == 0 {
		x.blockedSince = now
	}
	x.openAttempts++
	return true
}

// endAttempt records the end of a downstream attempt.
func (x *runningRequest) endAttempt(now time.Duration, r *result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.openAttempts--
	if x.openAttempts == 0 {
		x.blocked += now - x.blockedSince
	}
	x.hasUnknown = x.hasUnknown || r.outcome == request.Unknown
}

// callEnded records the result of a downstream call after all its attempts.
func (x *runningRequest) callEnded(k earlyrefusal.Key, r *result) {
	if r.code == status.CodeCanceled {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.outcome == request.Completed {
		if s := x.find(k); s != nil {
			s.completed = true
		}
		return
	}
	x.lastFailure = r.cause()
	if x.lastFailure == "" {
		x.lastFailure = status.CodeTargetFailed
	}
}

// downstreamFailure returns the code of the last failed downstream call; empty if
// none.
func (x *runningRequest) downstreamFailure() status.Code {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.lastFailure
}

// addBlocked adds time that the request spent neither in the target nor in calls.
func (x *runningRequest) addBlocked(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.blocked += d
}

// blockedTime returns how long the target could only wait for others.
func (x *runningRequest) blockedTime() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.blocked
}

// close ends the request on this node and returns the allowance figures for its
// answer.
func (x *runningRequest) close() (unspent, made int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	made = x.allowance.AttemptsMade()
	return x.allowance.Close(), made
}

// markFailed records that the target has answered with a failure. It reports whether a
// downstream call may have run without a known result or is still in flight: a target
// may give up a call and answer before its node has noticed. No downstream attempt
// starts afterwards, since it would run for a request that was reported as failed.
func (x *runningRequest) markFailed() (unknown bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hasFailed = true
	return x.hasUnknown || x.openAttempts > 0
}

// registry holds the requests that run on the own target, by identity. Safe for
// concurrent use.
type registry struct {
	mu   sync.Mutex
	byID map[request.ID]*runningRequest // the latest run; next links the earlier ones

	byName map[string]*runningRequest

	lastFailed [maxFailed]failedRequest // ring buffer
	nextFailed int
}

// failedRequest names a request that the target has answered with a failure.
type failedRequest struct {
	id   request.ID
	name string
}

// maxFailed is the number of failed requests to remember. A call that its target has
// given up is read within milliseconds of the failure, if at all.
const maxFailed = 256

func newRegistry() *registry {
	return &registry{byID: make(map[request.ID]*runningRequest), byName: make(map[string]*runningRequest)}
}

// recordFailure remembers that a request has failed, to refuse its late calls.
func (r *registry) recordFailure(x *runningRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFailed[r.nextFailed] = failedRequest{x.id, x.name}
	r.nextFailed = (r.nextFailed + 1) % maxFailed
}

// hasFailed reports whether one of the remembered failures has the identity or the
// name; the caller may leave either empty.
func (r *registry) hasFailed(id request.ID, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.lastFailed {
		f := &r.lastFailed[i]
		if f.id == (request.ID{}) {
			continue
		}
		if f.id == id || name != "" && f.name == name {
			return true
		}
	}
	return false
}

func (r *registry) add(x *runningRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.next = r.byID[x.id]
	r.byID[x.id] = x
	if x.name != "" {
		r.byName[x.name] = x
	}
}

func (r *registry) remove(x *runningRequest) {
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

// parent finds the request that an outgoing call belongs to: by span if the target
// passes traceparent on unchanged, otherwise by trace id alone. If a target creates
// its own spans and the same request runs on it twice, the two are indistinguishable
// and the latest is returned. Both have the same class and deadline; only their
// allowances differ, and the sum of those is still the request's.
func (r *registry) parent(id request.ID, span SpanID) *runningRequest {
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

// named returns the request that runs on the target with a name; nil if none.
func (r *registry) named(name string) *runningRequest {
	if name == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byName[name]
}
