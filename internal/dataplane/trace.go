package dataplane

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/core/request"
	"peardrift/internal/wire"
)

// traceContext is what a traceparent says.
type traceContext struct {
	id      request.ID
	span    SpanID
	sampled bool
}

// carrier lets the propagator read one header.
type carrier struct{ h *protocol.RequestHeader }

func (c carrier) Get(key string) string { return string(c.h.Peek(key)) }
func (c carrier) Set(key, value string) { c.h.Set(key, value) }
func (c carrier) Keys() []string        { return []string{wire.HeaderTraceparent} }

// traceOf reads traceparent; ok is false if there is none or a malformed one.
func traceOf(h *protocol.RequestHeader) (traceContext, bool) {
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier{h})
	sc := trace.SpanContextFromContext(ctx)
	tc := traceContext{
		id:      request.ID(sc.TraceID()),
		span:    SpanID(sc.SpanID()),
		sampled: sc.IsSampled(),
	}
	return tc, sc.IsValid()
}

// String formats the context as traceparent, version 00.
func (t traceContext) String() string {
	flags := "00"
	if t.sampled {
		flags = "01"
	}
	return "00-" + t.id.String() + "-" + t.span.String() + "-" + flags
}
