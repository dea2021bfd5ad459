// Package oteltrace records spans with OpenTelemetry: one for each hop of a
// call, with what was decided there and why, exported by OTLP/HTTP or to a
// file of JSON lines.
//
// Tracer implements dataplane.Observer. The data plane draws trace and span
// identities itself, since calls are tied together by them whether traced or
// not, and tells of a hop when it has ended; the tracer decides then whether to
// record it. Sampling goes by trace identity, so that all nodes with the same
// ratio record the same requests, whole. Hops of other requests that were
// refused, failed or have an unknown outcome are kept at a bounded rate.
//
// Spans wait for export in a bounded queue; what doesn't fit is dropped, and
// traffic never waits. A hop that isn't recorded costs no allocation. A nil
// Tracer, which New returns where the settings name no destination, records
// nothing.
package oteltrace
