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

func serveHop(tenant request.Tenant, took time.Duration) *dataplane.Hop {
	h := hop(dataplane.HopServe, "feed.khaosan", "read", took)
	h.Tenant = tenant
	return h
}

// Symptom: in an overload an operator can't tell which tenant takes the slots.
// Events: one tenant asks for far more than the others. Cause: calls were counted
// by service and class only, and those are the callee's.
func TestGreedyTenantShows(t *testing.T) {
	run(t, 10, func(is *is.I, m *Metrics, scrape func() string) {
		m.Configure([]request.Service{"feed.khaosan", "claimtrack.kalahari"}, classes)
		for range 50 {
			m.Hop(serveHop("khaosan", 30*time.Millisecond))
			refused := serveHop("khaosan", time.Millisecond)
			refused.Outcome, refused.Code = request.Refused, status.CodeOverShare
			m.Hop(refused)
		}
		waited := serveHop("kalahari", 30*time.Millisecond)
		waited.Queued = 10 * time.Millisecond
		m.Hop(waited)
		attempt := hop(dataplane.HopAttempt, "feed.khaosan", "read", time.Second)
		attempt.Tenant = "kalahari"
		m.Hop(attempt) // counted where it is served
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

// Symptom, events and cause as of TestSeriesAreBounded, for tenants.
func TestSeriesOfTenantsAreBoundedAndLeave(t *testing.T) {
	run(t, 10, func(is *is.I, m *Metrics, scrape func() string) {
		var many []request.Service
		for i := range 2 * maxTenants {
			many = append(many, request.Service(fmt.Sprint("feed.t", i)))
		}
		m.Configure(many, classes)
		for i := range 2 * maxTenants {
			m.Hop(serveHop(request.Tenant(fmt.Sprint("t", i)), 0))
			m.Hop(serveHop(request.Tenant(fmt.Sprint("unknown", i)), 0))
		}
		is.Equal(strings.Count(scrape(), "peardrift_tenant_runs_total{"), maxTenants)
		is.True(!strings.Contains(scrape(), "unknown"))
		m.Configure([]request.Service{"feed.late"}, classes)
		m.Hop(serveHop("late", 0))
		text := scrape()
		is.True(strings.Contains(text, `peardrift_tenant_runs_total{tenant="late"} 1`))
		is.True(!strings.Contains(text, `{tenant="t0"}`))
	})
}
