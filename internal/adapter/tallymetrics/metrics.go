package tallymetrics

import (
	"io"
	"sync"
	"sync/atomic"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"peardrift/internal/settings"
	"peardrift/internal/status"
)

var textFormat = expfmt.NewFormat(expfmt.TypeTextPlain)

// ContentType is the media type of the output of WriteText.
var ContentType = string(textFormat)

// Metrics holds the node's metrics. Its methods are safe for concurrent use; on a
// nil Metrics they do nothing.
type Metrics struct {
	Gauges   Gauges
	Counters Counters

	scope    tally.Scope
	closer   io.Closer
	registry *prom.Registry
	vecs     vecs

	mu    sync.Mutex // held to replace state
	state atomic.Pointer[state]
}

// New creates the metrics and starts collecting. Failures to register a metric,
// which are programming errors, go to onError; only that metric is then missing.
func New(s settings.Metrics, onError func(error)) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry,
		OnRegisterError: func(err error) {
			onError(status.Wrap(status.CodeInternal, err, "cannot register a metric"))
		},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 namePrefix,
		Separator:              prometheus.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, s.Interval)
	m := &Metrics{
		scope:    scope,
		closer:   closer,
		registry: registry,
	}
	m.state.Store(&state{maxPairs: s.MaxClasses, pairs: map[pair]*hopSeries{}, tenants: map[string]*tenantSeries{}})
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	) // can't fail: the registry is new
	m.vecs.register(reporter)
	m.Gauges = newGauges(scope)
	m.Counters = newCounters(scope)
	return m
}

// Scope returns the scope, with the node's prefix, for metrics of other packages.
// They must not reuse a metric name with different labels.
func (m *Metrics) Scope() tally.Scope {
	if m == nil {
		return tally.NoopScope
	}
	return m.scope
}

// WriteText writes all metrics in the Prometheus text format, ContentType.
func (m *Metrics) WriteText(w io.Writer) error {
	if m == nil {
		return nil
	}
	families, gatherErr := m.registry.Gather()
	enc := expfmt.NewEncoder(w, textFormat)
	for _, f := range families {
		if err := enc.Encode(f); err != nil {
			return status.Wrap(status.CodeConnectionLost, err, "cannot write the metrics")
		}
	}
	if gatherErr != nil {
		return status.Wrap(status.CodeInternal, gatherErr, "some metrics are missing")
	}
	return nil
}

// Close collects a last time and stops.
func (m *Metrics) Close() error {
	if m == nil {
		return nil
	}
	return m.closer.Close()
}
