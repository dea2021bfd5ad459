// Package wire encodes the call metadata that nodes exchange as HTTP headers, and
// keeps external input from setting them.
//
// Between nodes a call carries, in addition to the caller's own headers, its trace
// (traceparent) and the headers defined here, all of them packed (Packer). Headers
// with Prefix are never copied from a caller or a target into a call, nor on to a
// target, except those that the Dialect names.
//
// The functions work on messages that the calling goroutine owns; the package keeps no
// state.
package wire

import (
	"bytes"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Prefix is the name prefix of internal headers.
const Prefix = "Peardrift-"

// Headers between nodes. Those of answers also reach the caller where the operators'
// documentation says so.
const (
	// HeaderCall carries Meta as a list of fields in fixed order. One header of some
	// 60 bytes replaces twelve of 300 in all: between availability zones each byte
	// costs money, and each header costs processor time.
	HeaderCall = Prefix + "Call"
	// HeaderRootKey carries the idempotency key of the whole request.
	HeaderRootKey = Prefix + "Root-Key"
	// HeaderReply carries Answer in the same format.
	HeaderReply = Prefix + "Reply"

	// HeaderOutcome carries the typed outcome of an answer to a caller.
	HeaderOutcome = Prefix + "Outcome"
	// HeaderCode carries the code of a failure, in addition to its problem document.
	HeaderCode = Prefix + "Code"
	// HeaderAttempt echoes the span of the attempt that is answered.
	HeaderAttempt = Prefix + "Attempt"
	// HeaderRequest carries the request's identity to the caller, for support
	// requests.
	HeaderRequest = Prefix + "Request"
	// HeaderProbe asks a node which of these attempts, given by span, it is still
	// processing; HeaderProbeReply lists those in the answer.
	HeaderProbe      = Prefix + "Probe"
	HeaderProbeReply = Prefix + "In-Hand"
)

// Headers not defined by the project that nodes use.
const (
	HeaderTraceparent    = "Traceparent"
	HeaderTracestate     = "Tracestate"
	HeaderBaggage        = "Baggage"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
	// HeaderRequestID carries the caller's own name for a request.
	HeaderRequestID = "X-Request-Id"
	// HeaderTargetDeadline tells a target how much longer the caller waits.
	HeaderTargetDeadline = "X-Request-Deadline-Ms"
	// HeaderAuthorization carries a caller's API key after the scheme.
	HeaderAuthorization = "Authorization"
	// HeaderAuthenticate names the scheme in an answer that asks for a key.
	HeaderAuthenticate = "Www-Authenticate"
	// HeaderOrganisation tells a target which organisation calls.
	HeaderOrganisation = Prefix + "Organisation"
)

// DefaultScheme precedes an API key in HeaderAuthorization.
const DefaultScheme = "Bearer"

// Meta is what the calling node tells the callee's node about a call. The request's
// identity is in traceparent.
type Meta struct {
	Tenant     request.Tenant // of the root request, not of the called service
	Class      request.Class  // of the root request, at its entry
	Importance request.Importance
	Remaining  time.Duration // until the request's deadline; relative because clocks differ
	Allowance  int           // extra attempts that the callee may spend on downstream calls
	Repeat     bool          // an earlier attempt of the same call may have run
	Depth      int           // 0 for the entry's call
	Age        time.Duration // since the request started at its entry; 0 from nodes of earlier versions
	InProgress bool          // an earlier call of the request like this one, or like one above it, has completed
	RootKey    string        // idempotency key of the root request; may be empty
	Origin     request.Service
	Service    request.Service // called service; empty if Host names it
	Route      request.Class   // that selected Service; empty if Service is

	Organisation request.Organisation // of the root request; empty if unknown
}

// MaxDepth limits a call chain; a deeper one is a loop of services that call each
// other.
const MaxDepth = 32

// Positions of the fields of HeaderCall.
const (
	callTenant = iota
	callClass
	callImportance
	callRemaining
	callAllowance
	callRepeat
	callDepth
	callOrigin
	callService
	callRoute
	callOrganisation
	callAge
	callInProgress
	callFields
	// callRequired is the number of fields that nodes of every version send.
	callRequired = callOrganisation
)

// SetMeta writes m to a request between nodes.
func SetMeta(h *protocol.RequestHeader, m *Meta) {
	var buf [160]byte
	b := appendEscaped(buf[:0], string(m.Tenant))
	b = appendEscaped(append(b, separator), string(m.Class))
	b = strconv.AppendInt(append(b, separator), int64(m.Importance), 10)
	b = strconv.AppendInt(append(b, separator), m.Remaining.Milliseconds(), 10)
	b = strconv.AppendInt(append(b, separator), int64(m.Allowance), 10)
	b = append(b, separator)
	if m.Repeat {
		b = append(b, '1')
	}
	b = strconv.AppendInt(append(b, separator), int64(m.Depth), 10)
	b = appendEscaped(append(b, separator), string(m.Origin))
	b = appendEscaped(append(b, separator), string(m.Service))
	b = appendEscaped(append(b, separator), string(m.Route))
	b = appendEscaped(append(b, separator), string(m.Organisation))
	b = strconv.AppendInt(append(b, separator), max(m.Age, 0).Milliseconds(), 10)
	if m.InProgress {
		b = append(b, separator, '1')
	}
	h.SetArgBytes([]byte(HeaderCall), b, protocol.ArgsHasValue)
	if m.RootKey != "" {
		h.Set(HeaderRootKey, m.RootKey)
	}
}

// separator separates the fields of a header; escape and two hexadecimal digits
// replace either of them inside a field.
const (
	separator = ';'
	escape    = '%'
)

func appendEscaped(b []byte, v string) []byte {
	for i := range len(v) {
		c := v[i]
		if c == separator || c == escape || c <= ' ' || c >= 0x7f {
			b = append(b, escape)
			b = hex.AppendEncode(b, []byte{c})
			continue
		}
		b = append(b, c)
	}
	return b
}

// unescape is the inverse of appendEscaped.
func unescape(b []byte) string {
	if bytes.IndexByte(b, escape) < 0 {
		return string(b)
	}
	var out []byte
	for i := 0; i < len(b); i++ {
		if c, err := strconv.ParseUint(string(b[min(i+1, len(b)):min(i+3, len(b))]), 16, 8); b[i] == escape && err == nil {
			out = append(out, byte(c))
			i += 2
			continue
		}
		out = append(out, b[i])
	}
	return string(out)
}

// SetInt writes a number to a request.
func SetInt(h *protocol.RequestHeader, name string, v int64) {
	var b [20]byte // enough for any int64
	h.SetArgBytes([]byte(name), strconv.AppendInt(b[:0], v, 10), protocol.ArgsHasValue)
}

// GetMeta reads what SetMeta wrote. A value out of range is a typed protocol failure:
// it comes from a node of another version or from a peer that is no node.
func GetMeta(h *protocol.RequestHeader) (Meta, error) {
	var r metaReader
	if !r.split(h.Peek(HeaderCall)) {
		return Meta{}, status.New(status.CodeProtocol, "header %s is %q; want at least %d fields", HeaderCall, h.Peek(HeaderCall), callRequired)
	}
	m := Meta{
		Tenant:     request.Tenant(unescape(r.fields[callTenant])),
		Class:      request.Class(unescape(r.fields[callClass])),
		Importance: request.Importance(r.int(callImportance, 0, int64(request.MaxImportance))),
		Remaining:  time.Duration(r.int(callRemaining, 0, maxMillis)) * time.Millisecond,
		Allowance:  int(r.int(callAllowance, 0, 1<<10)),
		Repeat:     len(r.fields[callRepeat]) > 0,
		Depth:      int(r.int(callDepth, 0, MaxDepth)),
		RootKey:    string(h.Peek(HeaderRootKey)),
		Origin:     request.Service(unescape(r.fields[callOrigin])),
		Service:    request.Service(unescape(r.fields[callService])),
		Route:      request.Class(unescape(r.fields[callRoute])),

		Organisation: request.Organisation(unescape(r.fields[callOrganisation])),
		InProgress:   len(r.fields[callInProgress]) > 0,
	}
	if len(r.fields[callAge]) > 0 {
		m.Age = time.Duration(r.int(callAge, 0, maxMillis)) * time.Millisecond
	}
	return m, r.err
}

// maxMillis bounds the times of a call, in milliseconds.
const maxMillis = int64(time.Hour / time.Millisecond)

type metaReader struct {
	fields [callFields][]byte
	err    error
}

// split cuts a header into its fields; it returns false if required ones are missing.
// It ignores additional fields of a newer version.
func (r *metaReader) split(b []byte) bool {
	for i := range r.fields {
		field, rest, more := bytes.Cut(b, []byte{separator})
		if !more && i < callRequired-1 {
			return false
		}
		r.fields[i], b = field, rest
	}
	return true
}

func (r *metaReader) int(field int, lo, hi int64) int64 {
	v, err := strconv.ParseInt(string(r.fields[field]), 10, 64)
	if err != nil || v < lo || v > hi {
		r.err = status.New(status.CodeProtocol, "field %d of %s is %q; want a number from %d to %d", field, HeaderCall, r.fields[field], lo, hi)
		return lo
	}
	return v
}

// Answer is what the callee's node tells the calling node with an answer.
type Answer struct {
	Outcome        request.Outcome
	Code           status.Code
	DownstreamCode status.Code     // why a downstream call failed, if the target itself answered with a failure
	Level          request.Level   // 0: all calls are admitted
	ChainLevel     request.Level   // of the downstream services, for the call's class
	Exempt         []request.Level // priorities from which calls are admitted below Level, one for each importance
	Unspent        int
	AttemptsMade   int
	InFlight       int           // calls running on the target or queued for it
	Limit          int           // calls that may run on the target
	Pushback       time.Duration // 0: none
	ClassTime      time.Duration // how long a call of the class takes in the target now; 0: unknown
}

// Positions of the fields of HeaderReply.
const (
	replyOutcome = iota
	replyCode
	replyBelow
	replyLevel
	replyChain
	replyUnspent
	replyMade
	replyInFlight
	replyLimit
	replyPushback
	replyExempt
	replyClassTime
	replyFields
)

// classTimeUnit is the unit of the field replyClassTime.
const classTimeUnit = 100 * time.Microsecond

// Exemptions are a list within their field.
const (
	exemptSeparator = ','
	maxExempt       = 8 // read from an answer
)

// SetAnswer writes a to an answer between nodes.
func SetAnswer(h *protocol.ResponseHeader, a *Answer) {
	var buf [128]byte
	b := append(buf[:0], a.Outcome.String()...)
	b = appendEscaped(append(b, separator), string(a.Code))
	b = appendEscaped(append(b, separator), string(a.DownstreamCode))
	for _, n := range [...]int64{
		int64(a.Level), int64(a.ChainLevel), int64(a.Unspent), int64(a.AttemptsMade),
		int64(a.InFlight), int64(a.Limit), a.Pushback.Milliseconds(),
	} {
		b = append(b, separator)
		if n > 0 {
			b = strconv.AppendInt(b, n, 10)
		}
	}
	for i, from := range a.Exempt {
		sep := byte(exemptSeparator)
		if i == 0 {
			sep = separator
		}
		b = strconv.AppendInt(append(b, sep), int64(from), 10)
	}
	if t := int64(a.ClassTime.Round(classTimeUnit) / classTimeUnit); t > 0 {
		if len(a.Exempt) == 0 {
			b = append(b, separator)
		}
		b = strconv.AppendInt(append(b, separator), t, 10)
	}
	h.SetBytesV(HeaderReply, b)
}

// GetAnswer reads what SetAnswer wrote. A missing or malformed value is read as the
// one that claims least: outcome unknown, no unspent allowance, no level.
func GetAnswer(h *protocol.ResponseHeader) Answer {
	var f [replyFields][]byte
	b := h.Peek(HeaderReply)
	for i := range f {
		f[i], b, _ = bytes.Cut(b, []byte{separator})
	}
	return Answer{
		Outcome:        request.ParseOutcome(string(f[replyOutcome])),
		Code:           status.Code(unescape(f[replyCode])),
		DownstreamCode: status.Code(unescape(f[replyBelow])),
		Level:          request.Level(parseNumber(f[replyLevel], uint64(request.MaxPriority))),
		ChainLevel:     request.Level(parseNumber(f[replyChain], uint64(request.MaxPriority))),
		Exempt:         parseExempt(f[replyExempt]),
		Unspent:        int(parseNumber(f[replyUnspent], 1<<10)),
		AttemptsMade:   int(parseNumber(f[replyMade], 1<<16)),
		InFlight:       int(parseNumber(f[replyInFlight], 1<<20)),
		Limit:          int(parseNumber(f[replyLimit], 1<<20)),
		Pushback:       time.Duration(parseNumber(f[replyPushback], uint64(time.Hour/time.Millisecond))) * time.Millisecond,
		ClassTime:      time.Duration(parseNumber(f[replyClassTime], uint64(time.Hour/classTimeUnit))) * classTimeUnit,
	}
}

// parseExempt parses a list of priorities; it returns nil if any is malformed.
func parseExempt(b []byte) (list []request.Level) {
	for len(b) > 0 && len(list) < maxExempt {
		var one []byte
		one, b, _ = bytes.Cut(b, []byte{exemptSeparator})
		from, err := strconv.ParseUint(string(one), 10, 32)
		if err != nil || from > uint64(request.MaxPriority) {
			return nil
		}
		list = append(list, request.Level(from))
	}
	return list
}

// parseNumber parses a value of at most limit; it returns 0 for anything else.
func parseNumber(b []byte, limit uint64) uint64 {
	if len(b) == 0 {
		return 0 // most answers lack most fields; skip the cost of a parse error
	}
	v, err := strconv.ParseUint(string(b), 10, 64)
	if err != nil || v > limit {
		return 0
	}
	return v
}
