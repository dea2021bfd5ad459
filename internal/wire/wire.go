// Package wire maps what nodes tell each other about a call to HTTP headers,
// and keeps what comes from outside away from them.
//
// Between nodes a call carries, besides the caller's own headers, its trace
// (traceparent) and the headers named here. Headers with Prefix never pass a
// caller face or a target face inwards, nor reach a target.
//
// Traffic goroutines call it for the messages that they own; it keeps nothing.
package wire

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Prefix marks the internal headers.
const Prefix = "Peardrift-"

// Headers between nodes; those of answers also reach the caller where the
// operators' pages say so.
const (
	HeaderTenant     = Prefix + "Tenant"
	HeaderClass      = Prefix + "Class"
	HeaderImportance = Prefix + "Importance"
	HeaderDeadline   = Prefix + "Deadline-Ms"
	HeaderAllowance  = Prefix + "Allowance"
	HeaderRepeat     = Prefix + "Repeat"
	HeaderDepth      = Prefix + "Depth"
	HeaderRootKey    = Prefix + "Root-Key"
	HeaderOrigin     = Prefix + "Origin"
	// HeaderService and HeaderRoute name the service that a route has chosen and
	// the route, where Host is not the service's name.
	HeaderService = Prefix + "Service"
	HeaderRoute   = Prefix + "Route"

	// HeaderOutcome carries the typed outcome of an answer.
	HeaderOutcome = Prefix + "Outcome"
	// HeaderCode carries the code of a failure beside its problem document.
	HeaderCode = Prefix + "Code"
	// HeaderBelow carries the code of a call below that ended badly, beside a
	// failure that the target itself answered.
	HeaderBelow = Prefix + "Below"
	// HeaderLevel carries the answering node's admission level.
	HeaderLevel = Prefix + "Level"
	// HeaderChain carries the level of the services below the answering target
	// for the call's class.
	HeaderChain = Prefix + "Chain-Level"
	// HeaderAttempt echoes the span of the attempt that the answer belongs to.
	HeaderAttempt = Prefix + "Attempt"
	// HeaderUnspent carries the part of the allowance that was not spent.
	HeaderUnspent = Prefix + "Unspent"
	// HeaderMade carries the attempts made below the answering node.
	HeaderMade = Prefix + "Made"
	// HeaderLoad carries the answering target's calls in flight and its limit.
	HeaderLoad = Prefix + "Load"
	// HeaderRequest carries the request's identity to the caller, for support.
	HeaderRequest = Prefix + "Request"
	// HeaderPushback tells the caller's node to wait before retrying, in
	// milliseconds; Retry-After has whole seconds only.
	HeaderPushback = Prefix + "Pushback-Ms"
	// HeaderProbe asks a node which of these attempts, by their spans, it has in
	// hand; HeaderInHand names them in the answer.
	HeaderProbe  = Prefix + "Probe"
	HeaderInHand = Prefix + "In-Hand"
)

// Headers of others' making that nodes use.
const (
	HeaderTraceparent    = "Traceparent"
	HeaderTracestate     = "Tracestate"
	HeaderBaggage        = "Baggage"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
	// HeaderRequestID names a request in the caller's own terms.
	HeaderRequestID = "X-Request-Id"
	// HeaderTargetDeadline tells a target how long the caller still waits.
	HeaderTargetDeadline = "X-Request-Deadline-Ms"
)

// Meta is what a node tells the callee's node about a call. Identity travels in
// traceparent.
type Meta struct {
	Tenant     request.Tenant // of the whole request, not of the service called
	Class      request.Class  // of the whole request, at its entry
	Importance request.Importance
	Remaining  time.Duration // until the request's deadline; relative, as clocks differ
	Allowance  int           // extra attempts that the callee may spend below itself
	Repeat     bool          // an earlier attempt of the same call may have run
	Depth      int           // 0 at the entry's own call
	RootKey    string        // idempotency key of the whole request, may be empty
	Origin     request.Service
	Service    request.Service // called; empty where Host names it
	Route      request.Class   // by which it is called; empty likewise
}

// MaxDepth bounds a chain; a deeper one is a loop of services calling each other.
const MaxDepth = 32

// SetMeta writes m to a request between nodes.
func SetMeta(h *protocol.RequestHeader, m *Meta) {
	h.Set(HeaderTenant, string(m.Tenant))
	h.Set(HeaderClass, string(m.Class))
	h.Set(HeaderImportance, strconv.Itoa(int(m.Importance)))
	SetInt(h, HeaderDeadline, m.Remaining.Milliseconds())
	h.Set(HeaderAllowance, strconv.Itoa(m.Allowance))
	h.Set(HeaderDepth, strconv.Itoa(m.Depth))
	if m.Repeat {
		h.Set(HeaderRepeat, "1")
	}
	if m.RootKey != "" {
		h.Set(HeaderRootKey, m.RootKey)
	}
	if m.Origin != "" {
		h.Set(HeaderOrigin, string(m.Origin))
	}
	if m.Service != "" {
		h.Set(HeaderService, string(m.Service))
		h.Set(HeaderRoute, string(m.Route))
	}
}

// SetInt writes a number to a request.
func SetInt(h *protocol.RequestHeader, name string, v int64) {
	var b [20]byte // the longest has so many
	h.SetArgBytes([]byte(name), strconv.AppendInt(b[:0], v, 10), protocol.ArgsHasValue)
}

// GetMeta reads what SetMeta wrote. A value out of its range is a typed
// protocol failure: it comes from a node of another version or from no node.
func GetMeta(h *protocol.RequestHeader) (Meta, error) {
	r := reader{h: h}
	m := Meta{
		Tenant:     request.Tenant(h.Peek(HeaderTenant)),
		Class:      request.Class(h.Peek(HeaderClass)),
		Importance: request.Importance(r.int(HeaderImportance, 0, int64(request.MaxImportance))),
		Remaining:  time.Duration(r.int(HeaderDeadline, 0, int64(time.Hour/time.Millisecond))) * time.Millisecond,
		Allowance:  int(r.int(HeaderAllowance, 0, 1<<10)),
		Repeat:     len(h.Peek(HeaderRepeat)) > 0,
		Depth:      int(r.int(HeaderDepth, 0, MaxDepth)),
		RootKey:    string(h.Peek(HeaderRootKey)),
		Origin:     request.Service(h.Peek(HeaderOrigin)),
		Service:    request.Service(h.Peek(HeaderService)),
		Route:      request.Class(h.Peek(HeaderRoute)),
	}
	return m, r.err
}

type reader struct {
	h   *protocol.RequestHeader
	err error
}

func (r *reader) int(name string, lo, hi int64) int64 {
	v, err := strconv.ParseInt(string(r.h.Peek(name)), 10, 64)
	if err != nil || v < lo || v > hi {
		r.err = status.New(status.CodeProtocol, "header %s is %q, not a number from %d to %d", name, r.h.Peek(name), lo, hi)
		return lo
	}
	return v
}

// Answer is what the callee's node tells beside an answer.
type Answer struct {
	Outcome  request.Outcome
	Code     status.Code
	Below    status.Code   // why a call below ended badly, beside a failure of the target's own
	Level    request.Level // 0: admits all
	Chain    request.Level // of the services below, for the call's class
	Unspent  int
	Made     int
	InFlight int           // calls running on the target
	Limit    int           // calls that may run on it
	Pushback time.Duration // 0: none
}

// SetAnswer writes a to an answer between nodes.
func SetAnswer(h *protocol.ResponseHeader, a *Answer) {
	h.Set(HeaderOutcome, a.Outcome.String())
	if a.Code != "" {
		h.Set(HeaderCode, string(a.Code))
	}
	if a.Below != "" {
		h.Set(HeaderBelow, string(a.Below))
	}
	if a.Level > 0 {
		h.Set(HeaderLevel, strconv.FormatUint(uint64(a.Level), 10))
	}
	if a.Chain > 0 {
		h.Set(HeaderChain, strconv.FormatUint(uint64(a.Chain), 10))
	}
	if a.Unspent > 0 {
		h.Set(HeaderUnspent, strconv.Itoa(a.Unspent))
	}
	if a.Made > 0 {
		h.Set(HeaderMade, strconv.Itoa(a.Made))
	}
	if a.Limit > 0 {
		h.Set(HeaderLoad, strconv.Itoa(a.InFlight)+"/"+strconv.Itoa(a.Limit))
	}
	if a.Pushback > 0 {
		h.Set(HeaderPushback, strconv.FormatInt(a.Pushback.Milliseconds(), 10))
	}
}

// GetAnswer reads what SetAnswer wrote. What is missing or malformed reads as
// the value that claims least: outcome unknown, nothing unspent, no level.
func GetAnswer(h *protocol.ResponseHeader) Answer {
	a := Answer{
		Outcome:  request.ParseOutcome(string(h.Peek(HeaderOutcome))),
		Code:     status.Code(h.Peek(HeaderCode)),
		Below:    status.Code(h.Peek(HeaderBelow)),
		Level:    request.Level(number(h.Peek(HeaderLevel), uint64(request.MaxPriority))),
		Chain:    request.Level(number(h.Peek(HeaderChain), uint64(request.MaxPriority))),
		Unspent:  int(number(h.Peek(HeaderUnspent), 1<<10)),
		Made:     int(number(h.Peek(HeaderMade), 1<<16)),
		Pushback: time.Duration(number(h.Peek(HeaderPushback), uint64(time.Hour/time.Millisecond))) * time.Millisecond,
	}
	if inFlight, limit, ok := bytes.Cut(h.Peek(HeaderLoad), []byte{'/'}); ok {
		a.InFlight = int(number(inFlight, 1<<20))
		a.Limit = int(number(limit, 1<<20))
	}
	return a
}

// number reads a value up to most; 0 for anything else.
func number(b []byte, most uint64) uint64 {
	if len(b) == 0 {
		return 0 // most answers lack most headers, and a failure to parse costs
	}
	v, err := strconv.ParseUint(string(b), 10, 64)
	if err != nil || v > most {
		return 0
	}
	return v
}
