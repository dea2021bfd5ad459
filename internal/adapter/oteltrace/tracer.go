package oteltrace

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

// instrumentationName identifies this package as the source of the spans.
const instrumentationName = "peardrift/internal/adapter/oteltrace"

const (
	// batchTimeout is the time after which an incomplete batch is exported.
	batchTimeout = time.Second
	// maxBatchSpans limits the spans of one export.
	maxBatchSpans = 512
)

// Tracer records hops as spans. It is safe for concurrent use.
type Tracer struct {
	provider     *sdk.TracerProvider
	tracer       trace.Tracer
	sampler      sdk.Sampler
	errorLimiter *rate.Limiter
	recorded     tally.Counter
	closers      []func() error // close the destinations after the provider's shutdown
}

// New returns a tracer configured by the settings, nil if they name no
// destination. Failed exports go to onError, on a goroutine that serves no
// traffic. scope gets counters of spans recorded, exported and failed; recorded
// spans that are neither exported nor failed were dropped.
func New(s settings.Traces, node settings.Node, scope tally.Scope, onError func(error)) (*Tracer, error) {
	dests, err := destinations(s)
	if err != nil || len(dests) == 0 {
		return nil, err
	}
	scope = scope.SubScope("traces")
	opts := []sdk.TracerProviderOption{
		sdk.WithSampler(sdk.AlwaysSample()), // Hop makes the sampling decision
		sdk.WithIDGenerator(fixedIDs{}),
		sdk.WithResource(newResource(node)),
	}
	t := &Tracer{
		sampler:      sdk.TraceIDRatioBased(s.SampleRatio),
		errorLimiter: rate.NewLimiter(rate.Limit(s.KeepPerSecond), s.KeepPerSecond),
		recorded:     scope.Counter("spans_recorded_total"),
	}
	for _, d := range dests {
		opts = append(opts, sdk.WithBatcher(newCountingExporter(d.exporter, scope, onError),
			sdk.WithMaxQueueSize(s.QueueSpans),
			sdk.WithMaxExportBatchSize(min(maxBatchSpans, s.QueueSpans)),
			sdk.WithBatchTimeout(batchTimeout),
			sdk.WithExportTimeout(uploadTimeout),
		))
		if d.close != nil {
			t.closers = append(t.closers, d.close)
		}
	}
	t.provider = sdk.NewTracerProvider(opts...)
	t.tracer = t.provider.Tracer(instrumentationName)
	return t, nil
}

// Sampled reports whether the request's hops are recorded. It provides the sampled
// flag of traceparent.
func (t *Tracer) Sampled(id request.ID) bool {
	if t == nil {
		return false
	}
	r := t.sampler.ShouldSample(sdk.SamplingParameters{
		ParentContext: context.Background(),
		TraceID:       trace.TraceID(id),
	})
	return r.Decision == sdk.RecordAndSample
}

// Hop implements dataplane.Observer.
func (t *Tracer) Hop(h *dataplane.Hop) {
	if t == nil || !t.shouldRecord(h) {
		return
	}
	t.recorded.Inc(1)
	t.record(h)
}

func (t *Tracer) shouldRecord(h *dataplane.Hop) bool {
	if t.Sampled(h.ID) {
		return true
	}
	return h.Outcome != request.Completed && t.errorLimiter.AllowN(h.End, 1)
}

// Close exports the queued spans until ctx ends, and closes the destinations.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	for _, c := range t.closers {
		if e := c(); err == nil {
			err = e
		}
	}
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot export the last spans")
	}
	return nil
}
