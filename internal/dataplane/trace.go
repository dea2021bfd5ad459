package dataplane

import (
	"context"
	"encoding/hex"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/core/request"
	"peardrift/internal/wire"
)

// traceContext is the content of a traceparent header.
type traceContext struct {
	id      request.ID
	span    SpanID
	sampled bool
}

// carrier adapts request headers to the propagator, which reads one of them.
type carrier struct{ h *protocol.RequestHeader }

func (c carrier) Get(key string) string { return string(c.h.Peek(key)) }
func (c carrier) Set(key, value string) { c.h.Set(key, value) }
func (c carrier) Keys() []string        { return []string{wire.HeaderTraceparent} }

// traceOf reads traceparent; ok is false if it is missing or malformed.
func traceOf(h *protocol.RequestHeader) (traceContext, bool) {
	if tc, ok := parseOwnTrace(h.Peek(wire.HeaderTraceparent)); ok {
		return tc, true
	}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier{h})
	sc := trace.SpanContextFromContext(ctx)
	tc := traceContext{
		id:      request.ID(sc.TraceID()),
		span:    SpanID(sc.SpanID()),
		sampled: sc.IsSampled(),
	}
	return tc, sc.IsValid()
}

// parseOwnTrace reads a traceparent in the form that set writes, which all calls
// between nodes have; ok is false for other forms, which may still be valid.
func parseOwnTrace(v []byte) (tc traceContext, ok bool) {
	if len(v) != parentLen || string(v[:idAt]) != "00-" || v[spanAt-1] != '-' || string(v[flagsAt-1:flagsAt+1]) != "-0" {
		return tc, false
	}
	for _, c := range v[idAt:] {
		if c >= 'A' && c <= 'Z' {
			return tc, false
		}
	}
	_, errID := hex.Decode(tc.id[:], v[idAt:idAt+idHex])
	_, errSpan := hex.Decode(tc.span[:], v[spanAt:spanAt+spanHex])
	tc.sampled = v[parentLen-1] == '1'
	ok = errID == nil && errSpan == nil && !tc.id.IsZero() && tc.span != SpanID{} && (tc.sampled || v[parentLen-1] == '0')
	return tc, ok
}

// Offsets and lengths of the parts of a version 00 traceparent, which dashes separate.
const (
	idAt      = len("00-")
	spanAt    = idAt + idHex + 1
	flagsAt   = spanAt + spanHex + 1
	parentLen = flagsAt + len("00")

	idHex   = 2 * len(request.ID{})
	spanHex = 2 * len(SpanID{})
)

// set writes the context as a version 00 traceparent.
func (t traceContext) set(h *protocol.RequestHeader) {
	var b [parentLen]byte
	copy(b[:], "00-")
	hex.Encode(b[idAt:], t.id[:])
	b[spanAt-1] = '-'
	hex.Encode(b[spanAt:], t.span[:])
	copy(b[flagsAt-1:], "-00")
	if t.sampled {
		b[parentLen-1] = '1'
	}
	h.SetArgBytes(traceparent, b[:], protocol.ArgsHasValue)
}

var traceparent = []byte(wire.HeaderTraceparent)

// spanIn returns the span, in the form of SpanID.String, from a traceparent that set
// has written; empty for others.
func spanIn(h *protocol.RequestHeader) string {
	v := h.Peek(wire.HeaderTraceparent)
	if len(v) != parentLen {
		return ""
	}
	return string(v[spanAt : spanAt+spanHex])
}
