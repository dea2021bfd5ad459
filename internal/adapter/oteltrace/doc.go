// Package oteltrace records spans with OpenTelemetry: one per hop of a call, with
// the decision made there and its reason, exported over OTLP/HTTP or to a file of
// JSON lines.
//
// Tracer implements dataplane.Observer. The data plane generates trace and span
// IDs itself, since they correlate calls whether traced or not, and reports a hop
// when it ends; the tracer then decides whether to record it. Sampling is by
// trace ID, so that all nodes with the same ratio record the same requests
// completely. Hops of unsampled requests that were refused, failed or have an
// unknown outcome are recorded at a limited rate.
//
// Spans wait for export in a bounded queue; when it is full, new spans are dropped
// and traffic never blocks. A hop that isn't recorded allocates nothing. A nil
// Tracer, which New returns if the settings name no destination, records nothing.
package oteltrace
