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

// repeats runs the core that bounds requests whose callers send them again, for
// traffic goroutines. Safe for concurrent use.
type repeats struct {
	now  func() time.Duration
	cfg  retry.Config
	mu   sync.Mutex
	core retry.Repeats
}

func newRepeats(cfg retry.Config, now func() time.Duration) *repeats {
	r := &repeats{now: now, cfg: cfg}
	r.core = retry.NewRepeats(&r.cfg, now())
	return r
}

// begin books a call that is about to ask the gate, or refuses it.
func (r *repeats) begin(s *serving) *status.Error {
	s.who = s.identity()
	if s.who == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.core.Begin(r.now(), s.who, s.trace.id) {
		s.who = 0
		return status.Refuse(status.CodeRetriesExhausted, later(), "the request was sent before, and too many that are sent again run already")
	}
	return nil
}

// end books how a call ended that begin let pass.
func (r *repeats) end(s *serving, o request.Outcome) {
	if !s.whole() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.who == 0 {
		r.core.Observe(r.now(), o)
		return
	}
	r.core.End(r.now(), s.who, o)
}

// whole reports whether the call is a whole request, as its caller sends it, and
// not a part of one. At-most-once requests are left out: their claims see to it
// that what is sent again doesn't run again, and gets the first one's answer.
func (s *serving) whole() bool { return s.meta.Depth == 0 && !s.class.AtMostOnce }

// identity returns what the caller names the request by, 0 if it names none. Two
// requests may look the same in all but this, as when many read the same page; so
// nothing else tells one that is sent again.
func (s *serving) identity() retry.Identity {
	if !s.whole() {
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
	return retry.Identity(max(d.Sum64(), 1))
}

// separator occurs in no header.
var separator = []byte{0}
