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

// ContentType is the media type of what WriteText writes.
var ContentType = string(textFormat)

// Metrics is the node's metrics. Its methods are safe for concurrent use, and
// on a nil Metrics they drop what they are told.
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

// New starts collecting. Failures to register a metric, which are mistakes in
// the code, go to onError; the metric is then missing and nothing else.
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
	m.state.Store(&state{max: s.MaxClasses, pairs: map[pair]*group{}, tenants: map[string]*tenant{}})
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	) // can't fail: the registry is new
	m.vecs.register(reporter)
	m.Gauges = newGauges(scope)
	m.Counters = newCounters(scope)
	return m
}

// Scope is where other packages keep metrics of their own, under the node's
// prefix. Their names must not repeat one with other labels.
func (m *Metrics) Scope() tally.Scope {
	if m == nil {
		return tally.NoopScope
	}
	return m.scope
}

// WriteText writes all metrics in the text format, ContentType.
func (m *Metrics) WriteText(w io.Writer) error {
	if m == nil {
		return nil
	}
	families, gathered := m.registry.Gather()
	enc := expfmt.NewEncoder(w, textFormat)
	for _, f := range families {
		if err := enc.Encode(f); err != nil {
			return status.Wrap(status.CodeConnectionLost, err, "cannot write the metrics")
		}
	}
	if gathered != nil {
		return status.Wrap(status.CodeInternal, gathered, "some metrics are missing")
	}
	return nil
}

// Close collects once more and stops.
func (m *Metrics) Close() error {
	if m == nil {
		return nil
	}
	return m.closer.Close()
}
