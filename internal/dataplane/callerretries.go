package dataplane

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peardrift/internal/core/request"
	"peardrift/internal/core/retry"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// callerRetries makes the core that limits requests resent by their callers usable
// from traffic goroutines. Safe for concurrent use.
type callerRetries struct {
	now  func() time.Duration
	cfg  retry.Config
	mu   sync.Mutex
	core retry.ResubmissionLimiter
}

func newCallerRetries(cfg retry.Config, now func() time.Duration) *callerRetries {
	r := &callerRetries{now: now, cfg: cfg}
	r.core = retry.NewResubmissionLimiter(&r.cfg, now())
	return r
}

// begin records a call that is about to enter the gate, or refuses it.
func (r *callerRetries) begin(s *inboundCall) *status.Error {
	s.callerKey = s.computeCallerKey()
	if s.callerKey == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.core.Begin(r.now(), s.callerKey, s.trace.id) {
		s.callerKey = 0
		return status.Refuse(status.CodeRetriesExhausted, retryDelay(), "the request was sent before, and too many resent requests are running already")
	}
	return nil
}

// end records the outcome of a call that begin accepted.
func (r *callerRetries) end(s *inboundCall, o request.Outcome) {
	if !s.isRoot() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.callerKey == 0 {
		r.core.Observe(r.now(), o)
		return
	}
	r.core.End(r.now(), s.callerKey, o)
}

// isRoot reports whether the call is a root request, as its caller sends it, and not a
// nested call. At-most-once requests are excluded: their claims already ensure that a
// resent one doesn't run again and gets the first one's answer.
func (s *inboundCall) isRoot() bool { return s.meta.Depth == 0 && !s.class.AtMostOnce }

// computeCallerKey returns a hash of the caller's names for the request, 0 if it has none.
// Nothing else identifies a resent request: different requests may be equal in all but
// these names, as when many clients read the same page.
func (s *inboundCall) computeCallerKey() retry.CallerKey {
	if !s.isRoot() {
		return 0
	}
	h := &s.c.Request.Header
	key, id := h.Peek(wire.HeaderIdempotencyKey), h.Peek(wire.HeaderRequestID)
	if len(key) == 0 && len(id) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...][]byte{[]byte(s.meta.Tenant), h.Method(), h.RequestURI(), key, id} {
		_, _ = d.Write(part)
		_, _ = d.Write(separator)
	}
	return retry.CallerKey(max(d.Sum64(), 1))
}

// separator is a byte that no header contains.
var separator = []byte{0}
