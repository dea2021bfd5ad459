package oteltrace

import (
	"context"
	"os"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.43.0"

	"peardrift/internal/settings"
	"peardrift/internal/status"
)

const (
	fileMode = 0o640
	// uploadTimeout limits one upload to a collector, retries included.
	uploadTimeout = 10 * time.Second
	retryInterval = 500 * time.Millisecond
)

// destination is an exporter and the output that it writes to.
type destination struct {
	exporter sdk.SpanExporter
	close    func() error // may be nil
}

func destinations(s settings.Traces) ([]destination, error) {
	var ds []destination
	if s.Endpoint != "" {
		e, err := otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpointURL(s.Endpoint),
			otlptracehttp.WithTimeout(uploadTimeout),
			otlptracehttp.WithRetry(otlptracehttp.RetryConfig{
				Enabled:         true,
				InitialInterval: retryInterval,
				MaxInterval:     uploadTimeout,
				MaxElapsedTime:  uploadTimeout,
			}),
		)
		if err != nil {
			return nil, status.Wrap(status.CodeInvalidSettings, err, "traces.endpoint")
		}
		ds = append(ds, destination{exporter: e})
	}
	if s.File != "" {
		f, err := os.OpenFile(s.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
		if err != nil {
			return nil, status.Wrap(status.CodeInvalidSettings, err, "traces.file")
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			_ = f.Close()
			return nil, status.Wrap(status.CodeInternal, err, "traces.file")
		}
		ds = append(ds, destination{exporter: e, close: f.Close})
	}
	return ds, nil
}

// newResource returns the resource attributes that identify the node in its spans.
func newResource(n settings.Node) *resource.Resource {
	return resource.NewSchemaless(
		semconv.ServiceName("peardriftd"),
		semconv.ServiceInstanceID(n.Name),
		semconv.HostName(n.Instance),
		semconv.CloudRegion(n.Region),
		semconv.CloudAvailabilityZone(n.Zone),
	)
}

// countingExporter counts exported and failed spans and passes errors to onError.
// It hides them from the library's global handler, which writes to standard error
// and bypasses the log's limits.
type countingExporter struct {
	sdk.SpanExporter
	exported, failed tally.Counter
	onError          func(error)
}

func newCountingExporter(e sdk.SpanExporter, scope tally.Scope, onError func(error)) sdk.SpanExporter {
	return &countingExporter{
		SpanExporter: e,
		exported:     scope.Counter("spans_exported_total"),
		failed:       scope.Counter("spans_failed_total"),
		onError:      onError,
	}
}

// ExportSpans implements sdk.SpanExporter.
func (c *countingExporter) ExportSpans(ctx context.Context, spans []sdk.ReadOnlySpan) error {
	if err := c.SpanExporter.ExportSpans(ctx, spans); err != nil {
		c.failed.Inc(int64(len(spans)))
		c.onError(status.Wrap(status.CodeConnectionLost, err, "cannot export %d spans", len(spans)))
		return nil
	}
	c.exported.Inc(int64(len(spans)))
	return nil
}
