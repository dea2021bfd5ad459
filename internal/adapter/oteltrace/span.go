package oteltrace

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
)

// Attributes of a span; docs/operators/traces.md says what each tells.
const (
	attrHop       = attribute.Key("peardrift.hop")
	attrDecision  = attribute.Key("peardrift.decision")
	attrReason    = attribute.Key("peardrift.reason")
	attrRetry     = attribute.Key("peardrift.retry")
	attrService   = attribute.Key("peardrift.service")
	attrClass     = attribute.Key("peardrift.class")
	attrTenant    = attribute.Key("peardrift.tenant")
	attrTarget    = attribute.Key("peardrift.target")
	attrZone      = attribute.Key("peardrift.zone")
	attrAttempt   = attribute.Key("peardrift.attempt")
	attrOutcome   = attribute.Key("peardrift.outcome")
	attrLevel     = attribute.Key("peardrift.level")
	attrAllowance = attribute.Key("peardrift.allowance")
	attrQueued    = attribute.Key("peardrift.queued_ms")
)

// Decisions, the values of attrDecision.
const (
	decisionAdmitted = "admitted" // the target ran the call
	decisionCalled   = "called"   // at least one attempt was made
	decisionSent     = "sent"     // this attempt was made
	decisionRefused  = "refused"  // nothing was run or sent from here
)

// decision says what the node did with the call at this hop.
func decision(h *dataplane.Hop) string {
	switch h.Kind {
	case dataplane.HopServe:
		if h.Outcome == request.Refused {
			return decisionRefused
		}
		return decisionAdmitted
	case dataplane.HopAttempt:
		return decisionSent
	default:
		if h.Attempt == 0 {
			return decisionRefused
		}
		return decisionCalled
	}
}

// kind says on which side of a call the hop is.
func kind(k dataplane.HopKind) trace.SpanKind {
	if k == dataplane.HopAttempt {
		return trace.SpanKindClient
	}
	return trace.SpanKindServer
}

// spanKey is the context key of the identity that a span is to have.
type spanKey struct{}

// given gives spans the identities that the data plane has drawn.
type given struct{}

// NewIDs implements sdk.IDGenerator; never called, as each hop has a trace.
func (given) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	return trace.TraceID{}, given{}.NewSpanID(ctx, trace.TraceID{})
}

// NewSpanID implements sdk.IDGenerator.
func (given) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	id, _ := ctx.Value(spanKey{}).(trace.SpanID)
	return id
}

// record makes a span of a hop.
func (t *Tracer) record(h *dataplane.Hop) {
	ctx := context.WithValue(context.Background(), spanKey{}, trace.SpanID(h.Span))
	ctx = trace.ContextWithSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID(h.ID),
		SpanID:  trace.SpanID(h.Parent), // zero at the root
		Remote:  true,
	}))
	_, span := t.tracer.Start(ctx, h.Kind.String()+" "+string(h.Service),
		trace.WithSpanKind(kind(h.Kind)),
		trace.WithTimestamp(h.Start),
		trace.WithAttributes(attributes(h)...),
	)
	if h.Outcome != request.Completed {
		span.SetStatus(codes.Error, string(h.Code))
	}
	span.End(trace.WithTimestamp(h.End))
}

// attributes leaves out what the hop doesn't know.
func attributes(h *dataplane.Hop) []attribute.KeyValue {
	as := []attribute.KeyValue{
		attrHop.String(h.Kind.String()),
		attrDecision.String(decision(h)),
		attrOutcome.String(h.Outcome.String()),
		attrService.String(string(h.Service)),
		attrClass.String(string(h.Class)),
		attrTenant.String(string(h.Tenant)),
		attrAttempt.Int(h.Attempt),
		attrLevel.Int64(int64(h.Level)),
		attrAllowance.Int(h.Allowance),
	}
	if h.Target != 0 {
		as = append(as, attrTarget.String(h.Target.String()))
	}
	if h.Zone != "" {
		as = append(as, attrZone.String(h.Zone))
	}
	if h.Code != "" {
		as = append(as, attrReason.String(string(h.Code)))
	}
	if h.Retry != "" {
		as = append(as, attrRetry.String(h.Retry))
	}
	if h.Queued > 0 {
		as = append(as, attrQueued.Float64(h.Queued.Seconds()*1000))
	}
	return as
}
