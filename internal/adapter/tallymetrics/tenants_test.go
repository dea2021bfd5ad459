package tallymetrics

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
	"peardrift/internal/status"
)

func newServeHop(tenant request.Tenant, took time.Duration) *dataplane.Hop {
	h := newHop(dataplane.HopServe, "feed.khaosan", "read", took)
	h.Tenant = tenant
	return h
}

// Guards against an overload in which the tenant that takes the slots can't be
// identified: service and class labels are those of the callee, not the caller.
func TestTenantMetricsIdentifyHeavyTenant(t *testing.T) {
	runMetrics(t, 10, func(is *is.I, m *Metrics, scrape func() string) {
		m.Configure([]request.Service{"feed.khaosan", "claimtrack.kalahari"}, classes)
		for range 50 {
			m.Hop(newServeHop("khaosan", 30*time.Millisecond))
			refused := newServeHop("khaosan", time.Millisecond)
			refused.Outcome, refused.Code = request.Refused, status.CodeOverShare
			m.Hop(refused)
		}
		waited := newServeHop("kalahari", 30*time.Millisecond)
		waited.Queued = 10 * time.Millisecond
		m.Hop(waited)
		attempt := newHop(dataplane.HopAttempt, "feed.khaosan", "read", time.Second)
		attempt.Tenant = "kalahari"
		m.Hop(attempt) // attempts are counted at the serving node
		text := scrape()
		for _, want := range []string{
			`peardrift_tenant_runs_total{tenant="khaosan"} 50`,
			`peardrift_tenant_refusals_total{tenant="khaosan"} 50`,
			`peardrift_tenant_busy_milliseconds_total{tenant="khaosan"} 1500`,
			`peardrift_tenant_runs_total{tenant="kalahari"} 1`,
			`peardrift_tenant_busy_milliseconds_total{tenant="kalahari"} 20`,
		} {
			if !strings.Contains(text, want) {
				t.Errorf("lacks %s", want)
			}
		}
	})
}

// Guards tenant labels as TestSeriesAreBounded and TestSeriesAreRemovedWithClass
// guard services and classes.
func TestTenantSeriesAreBoundedAndRemoved(t *testing.T) {
	runMetrics(t, 10, func(is *is.I, m *Metrics, scrape func() string) {
		var many []request.Service
		for i := range 2 * maxTenants {
			many = append(many, request.Service(fmt.Sprint("feed.t", i)))
		}
		m.Configure(many, classes)
		for i := range 2 * maxTenants {
			m.Hop(newServeHop(request.Tenant(fmt.Sprint("t", i)), 0))
			m.Hop(newServeHop(request.Tenant(fmt.Sprint("unknown", i)), 0))
		}
		is.Equal(strings.Count(scrape(), "peardrift_tenant_runs_total{"), maxTenants)
		is.True(!strings.Contains(scrape(), "unknown"))
		m.Configure([]request.Service{"feed.late"}, classes)
		m.Hop(newServeHop("late", 0))
		text := scrape()
		is.True(strings.Contains(text, `peardrift_tenant_runs_total{tenant="late"} 1`))
		is.True(!strings.Contains(text, `{tenant="t0"}`))
	})
}
