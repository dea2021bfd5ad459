package dataplane

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/core/waiting"
	"peardrift/internal/status"
)

// HopKind is the side of a call that a Hop describes.
type HopKind uint8

// One call from a caller has an entry hop, and for each attempt an attempt hop at the
// calling node and a serve hop at the callee's node. Each call that a target makes has
// an egress hop in place of the entry hop.
const (
	HopEntry HopKind = iota
	HopEgress
	HopAttempt
	HopServe
)

// String returns the kind as written in spans and metrics.
func (k HopKind) String() string {
	return [...]string{"entry", "egress", "attempt", "serve"}[k]
}

// Hop describes what was decided about a call at one node, for metrics, logs and
// traces.
type Hop struct {
	Kind       HopKind
	ID         request.ID
	Name       string // the caller's name for the request; may be empty
	Span       SpanID
	Parent     SpanID
	Start, End time.Time

	Service request.Service
	Class   request.Class
	Tenant  request.Tenant

	Organisation request.Organisation // of the caller; empty if unknown
	Importance   request.Importance   // that the request was judged with

	Target     request.TargetID
	Zone       string
	LeftZone   bool // the call was sent to Zone because the own zone is short of capacity
	Attempt    int
	Outcome    request.Outcome
	Code       status.Code // reason, if the node itself answered
	Detail     string      // of some refusals: what decided it
	Retry      string      // why there was no further attempt
	Level      request.Level
	KnownLevel request.Level // of the callee and its downstream services, as checked at the entry
	Allowance  int
	Queued     time.Duration
	Sends      int             // of a serve hop: how often the call was sent to the target
	Resend     string          // why a call that the target rejected was not sent again; empty if none was
	Waited     time.Duration   // for its start; 0 if the request did not wait
	WaitResult waiting.Verdict // if Waited
	Truncated  Truncation      // why the answer was passed on only in part
	Version    int64           // of the configuration set in force
}

// recordWait records how long a root request waited for its start. A request that is
// decided at once has not waited.
func (h *Hop) recordWait(d waiting.Decision, waited time.Duration) {
	if waited > 0 {
		h.Waited, h.WaitResult = waited, d.Verdict
	}
}

func (e *Engine) observe(h *Hop) {
	if e.obs != nil {
		e.obs.Hop(h)
	}
}

// String returns the span as in traceparent.
func (s SpanID) String() string { return hex.EncodeToString(s[:]) }

// matches reports whether tag is the span in String's form.
func (s SpanID) matches(tag []byte) bool {
	var own [spanHex]byte
	hex.Encode(own[:], s[:])
	return string(own[:]) == string(tag)
}

// parseSpan is the inverse of String.
func parseSpan(v string) (s SpanID, ok bool) {
	b, err := hex.DecodeString(v)
	return s, err == nil && copy(s[:], b) == len(s) && len(b) == len(s)
}

func newSpan() SpanID {
	var s SpanID
	binary.BigEndian.PutUint64(s[:], rand.Uint64()|1) // all zero is invalid
	return s
}

func newID() request.ID {
	var id request.ID
	binary.BigEndian.PutUint64(id[:], rand.Uint64()|1)
	binary.BigEndian.PutUint64(id[8:], rand.Uint64())
	return id
}
