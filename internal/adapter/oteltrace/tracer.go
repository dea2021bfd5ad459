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

// instrumentation names this package as the origin of the spans.
const instrumentation = "peardrift/internal/adapter/oteltrace"

const (
	// exportEvery is the time after which a batch that isn't full is exported.
	exportEvery = time.Second
	// maxBatch bounds the spans of one export.
	maxBatch = 512
)

// Tracer records hops as spans. It is safe for concurrent use.
type Tracer struct {
	provider *sdk.TracerProvider
	tracer   trace.Tracer
	sampler  sdk.Sampler
	keep     *rate.Limiter
	recorded tally.Counter
	close    []func() error // of destinations, after the provider's end
}

// New returns a tracer as the settings say, nil if they name no destination.
// Failed exports go to onError, on a goroutine that isn't traffic's; scope gets
// counters of spans recorded, exported and failed, the rest of the recorded
// were dropped.
func New(s settings.Traces, node settings.Node, scope tally.Scope, onError func(error)) (*Tracer, error) {
	dests, err := destinations(s)
	if err != nil || len(dests) == 0 {
		return nil, err
	}
	scope = scope.SubScope("traces")
	opts := []sdk.TracerProviderOption{
		sdk.WithSampler(sdk.AlwaysSample()), // Hop has decided
		sdk.WithIDGenerator(given{}),
		sdk.WithResource(resourceOf(node)),
	}
	t := &Tracer{
		sampler:  sdk.TraceIDRatioBased(s.SampleRatio),
		keep:     rate.NewLimiter(rate.Limit(s.KeepPerSecond), s.KeepPerSecond),
		recorded: scope.Counter("spans_recorded_total"),
	}
	for _, d := range dests {
		opts = append(opts, sdk.WithBatcher(newCounted(d.exporter, scope, onError),
			sdk.WithMaxQueueSize(s.QueueSpans),
			sdk.WithMaxExportBatchSize(min(maxBatch, s.QueueSpans)),
			sdk.WithBatchTimeout(exportEvery),
			sdk.WithExportTimeout(uploadTimeout),
		))
		if d.close != nil {
			t.close = append(t.close, d.close)
		}
	}
	t.provider = sdk.NewTracerProvider(opts...)
	t.tracer = t.provider.Tracer(instrumentation)
	return t, nil
}

// Sampled reports whether the request's hops are recorded, for the flag that
// traceparent passes on.
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
	if t == nil || !t.wants(h) {
		return
	}
	t.recorded.Inc(1)
	t.record(h)
}

func (t *Tracer) wants(h *dataplane.Hop) bool {
	if t.Sampled(h.ID) {
		return true
	}
	return h.Outcome != request.Completed && t.keep.AllowN(h.End, 1)
}

// Close exports what waits, until ctx ends, and releases the destinations.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	for _, c := range t.close {
		if e := c(); err == nil {
			err = e
		}
	}
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "cannot export the last spans")
	}
	return nil
}
