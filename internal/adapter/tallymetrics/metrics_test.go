package tallymetrics

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
	"peardrift/internal/core/waiting"
	"peardrift/internal/dataplane"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

const interval = time.Second

var (
	services = []request.Service{"feed.khaosan", "archive.khaosan"}
	classes  = []request.Class{"read", "publish"}
	start    = time.Unix(1, 0)
)

func newHop(kind dataplane.HopKind, s request.Service, c request.Class, took time.Duration) *dataplane.Hop {
	return &dataplane.Hop{Kind: kind, Service: s, Class: c, Start: start, End: start.Add(took), Outcome: request.Completed}
}

// runMetrics runs f on metrics in virtual time; scrape waits one interval and
// returns the text output.
func runMetrics(t *testing.T, max int, f func(is *is.I, m *Metrics, scrape func() string)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := New(settings.Metrics{Interval: interval, MaxClasses: max}, func(err error) { t.Error(err) })
		defer m.Close()
		m.Configure(services, classes)
		f(is, m, func() string {
			time.Sleep(interval)
			synctest.Wait()
			var b strings.Builder
			is.NoErr(m.WriteText(&b))
			return b.String()
		})
	})
}

func TestScrape(t *testing.T) {
	runMetrics(t, 10, func(is *is.I, m *Metrics, scrape func() string) {
		for range 3 {
			m.Hop(newHop(dataplane.HopEntry, "feed.khaosan", "read", 2*time.Millisecond))
		}
		h := newHop(dataplane.HopServe, "feed.khaosan", "read", 24*time.Hour)
		h.Outcome, h.Code, h.Queued = request.Refused, status.CodeOverloaded, 7*time.Millisecond
		m.Hop(h)
		for range 2 {
			h = newHop(dataplane.HopEntry, "archive.khaosan", "read", time.Second)
			h.Waited, h.WaitResult = 150*time.Millisecond, waiting.Start
			m.Hop(h)
		}
		h = newHop(dataplane.HopEgress, "archive.khaosan", "read", time.Second)
		h.Truncated = dataplane.TruncatedByNode
		m.Hop(h)
		m.Gauges.Limit.Update(25)
		m.Counters.ControlBytes.Inc(100)
		m.Scope().SubScope("claims").Counter("calls").Inc(2)
		text := scrape()
		for _, want := range []string{
			`peardrift_calls_total{class="read",code="none",hop="entry",outcome="completed",service="feed.khaosan"} 3`,
			`peardrift_calls_total{class="read",code="overloaded",hop="serve",outcome="refused",service="feed.khaosan"} 1`,
			`peardrift_call_seconds_bucket{class="read",hop="entry",service="feed.khaosan",le="0.0016"} 0`,
			`peardrift_call_seconds_bucket{class="read",hop="entry",service="feed.khaosan",le="0.0025"} 3`,
			`peardrift_call_seconds_sum{class="read",hop="serve",service="feed.khaosan"} 60`,
			`peardrift_queue_seconds_bucket{class="read",hop="serve",service="feed.khaosan",le="0.01"} 1`,
			`peardrift_entry_waits_total{class="read",hop="entry",result="started",service="archive.khaosan"} 2`,
			`peardrift_entry_wait_seconds_bucket{class="read",hop="entry",service="archive.khaosan",le="0.2"} 2`,
			`peardrift_truncated_answers_total{class="read",hop="egress",reason="node",service="archive.khaosan"} 1`,
			`peardrift_truncated_answers_total{class="read",hop="egress",reason="callee",service="archive.khaosan"} 0`,
			`peardrift_target_limit 25`,
			`peardrift_control_bytes_total 100`,
			`peardrift_claims_calls 2`,
			`# HELP peardrift_calls_total Hops that ended, by outcome and code.`,
			`go_goroutines `,
		} {
			if !strings.Contains(text, want) {
				t.Errorf("lacks %s", want)
			}
		}
		is.True(!strings.Contains(text, `hop="entry",service="feed.khaosan"} 7`))
	})
}

// Guards against a call that leaves its zone and is counted at both of its hops, or at none.
func TestCallsToOtherZoneAreCountedOnce(t *testing.T) {
	runMetrics(t, 10, func(is *is.I, m *Metrics, scrape func() string) {
		for _, kind := range []dataplane.HopKind{dataplane.HopAttempt, dataplane.HopEntry} {
			h := newHop(kind, "feed.khaosan", "read", time.Millisecond)
			h.LeftZone = true
			m.Hop(h)
			m.Hop(newHop(kind, "feed.khaosan", "read", time.Millisecond))
		}
		is.True(strings.Contains(scrape(), "peardrift_calls_to_other_zone_total 1\n"))
	})
}

// Guards against unbounded cardinality: a caller keeps sending new host names, or a
// node new codes, and a series per external value grows memory and scrapes.
func TestSeriesAreBounded(t *testing.T) {
	runMetrics(t, 3, func(is *is.I, m *Metrics, scrape func() string) {
		for i := range 1000 {
			name := fmt.Sprint("x", i)
			m.Hop(newHop(dataplane.HopEntry, request.Service(name), "read", 0))
			m.Hop(newHop(dataplane.HopEntry, "feed.khaosan", request.Class(name), 0))
			h := newHop(dataplane.HopAttempt, "feed.khaosan", "read", 0)
			h.Outcome, h.Code = request.Unknown, status.Code(name+"\xff")
			m.Hop(h)
		}
		for _, s := range services {
			for _, c := range classes {
				m.Hop(newHop(dataplane.HopEntry, s, c, 0))
			}
		}
		text := scrape()
		pairs := map[string]bool{}
		for _, l := range regexp.MustCompile(`class="[^"]*",hop="[^"]*",service="[^"]*"`).FindAllString(text, -1) {
			pairs[l] = true
		}
		is.Equal(len(pairs), 4) // two pairs and otherPair at entry hops, one pair at attempt hops
		is.Equal(strings.Count(text, `hop="attempt",outcome="unknown"`), maxResults+1)
		is.True(strings.Contains(text, `{class="other",code="none",hop="entry",outcome="completed",service="other"} 2002`))
		is.True(strings.Contains(text, fmt.Sprintf(`{class="read",code="other",hop="attempt",outcome="unknown",service="feed.khaosan"} %d`, 1000-maxResults)))
	})
}

// Guards against series of removed classes that fill up the limit: after days of
// configuration changes, all new classes are counted as "other".
func TestSeriesAreRemovedWithClass(t *testing.T) {
	runMetrics(t, 3, func(is *is.I, m *Metrics, scrape func() string) {
		for i := range 20 {
			c := request.Class(fmt.Sprint("c", i))
			m.Configure(services, []request.Class{c})
			m.Hop(newHop(dataplane.HopServe, "feed.khaosan", c, 0))
			m.Hop(newHop(dataplane.HopEntry, "archive.khaosan", c, 0))
		}
		text := scrape()
		is.True(!strings.Contains(text, `class="c18"`) && !strings.Contains(text, `class="other"`))
		is.True(strings.Contains(text, `class="c19",code="none",hop="serve",outcome="completed",service="feed.khaosan"} 1`))
		m.Configure(nil, nil)
		m.Configure(services, []request.Class{"c19"})
		m.Hop(newHop(dataplane.HopServe, "feed.khaosan", "c19", 0))
		is.True(strings.Contains(scrape(), `class="c19",code="none",hop="serve",outcome="completed",service="feed.khaosan"} 1`))
		is.True(strings.Contains(scrape(), `class="c19",code="none",hop="serve",outcome="completed",service="feed.khaosan"} 1`))
	})
}

func TestConfigureDuringTraffic(t *testing.T) {
	m := New(settings.Metrics{Interval: time.Millisecond, MaxClasses: 3}, func(err error) { t.Error(err) })
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 300 {
				h := newHop(dataplane.HopKind(n%hopKinds), services[n%2], classes[i%2], 0)
				h.Code = status.Code(fmt.Sprint(n % 5))
				m.Hop(h)
			}
		})
	}
	for n := range 100 {
		m.Configure(services[n%2:], classes)
		if n%10 == 0 {
			_ = m.WriteText(io.Discard)
		}
	}
	wg.Wait()
	is.New(t).NoErr(m.Close())
}

// TestMetricsMatchDocs checks that docs/operators/metrics.md lists exactly the
// metrics of the code, except those that other packages keep under Scope.
func TestMetricsMatchDocs(t *testing.T) {
	runMetrics(t, 3, func(is *is.I, m *Metrics, scrape func() string) {
		page, err := os.ReadFile("../../../docs/operators/metrics.md")
		is.NoErr(err)
		m.Hop(newHop(dataplane.HopServe, "feed.khaosan", "read", 0))
		waited := newHop(dataplane.HopEntry, "feed.khaosan", "read", time.Second)
		waited.Waited, waited.WaitResult = time.Second, waiting.Start
		m.Hop(waited)
		truncated := newHop(dataplane.HopEntry, "feed.khaosan", "read", 0)
		truncated.Truncated = dataplane.TruncatedByCallee
		m.Hop(truncated)
		var names, documented []string
		for _, f := range regexp.MustCompile(`(?m)^# TYPE (peardrift_\w+) (\w+)$`).FindAllStringSubmatch(scrape(), -1) {
			names = append(names, f[1]+" "+f[2])
		}
		for _, f := range regexp.MustCompile("(?m)^\\| `(peardrift_\\w+)` \\| (\\w+) \\|").FindAllStringSubmatch(string(page), -1) {
			if !strings.HasPrefix(f[1], "peardrift_claims_") {
				documented = append(documented, f[1]+" "+f[2])
			}
		}
		slices.Sort(documented)
		slices.Sort(names)
		is.Equal(documented, names)
	})
}

func TestNilMetrics(t *testing.T) {
	is := is.New(t)
	var m *Metrics
	m.Configure(services, classes)
	m.Hop(newHop(dataplane.HopEntry, "a", "b", 0))
	m.Scope().Counter("x").Inc(1)
	is.NoErr(m.WriteText(io.Discard))
	is.NoErr(m.Close())
}

// newFullMetrics returns metrics with the maximum number of series under the
// default settings.
func newFullMetrics(b *testing.B) *Metrics {
	s := settings.Default().Metrics
	s.Interval = time.Hour
	m := New(s, func(err error) { b.Error(err) })
	var cs []request.Class
	for i := range s.MaxClasses {
		cs = append(cs, request.Class(fmt.Sprint("class-", i)))
	}
	m.Configure(services, cs)
	for _, c := range cs {
		for k := range hopKinds {
			m.Hop(newHop(dataplane.HopKind(k), "feed.khaosan", c, 3*time.Millisecond))
		}
	}
	return m
}

func BenchmarkHop(b *testing.B) {
	m := newFullMetrics(b)
	defer m.Close()
	refused := newHop(dataplane.HopServe, "feed.khaosan", "class-7", time.Millisecond)
	refused.Outcome, refused.Code = request.Refused, status.CodeOverloaded
	for _, bb := range []struct {
		name string
		hop  *dataplane.Hop
	}{
		{"completed", newHop(dataplane.HopServe, "feed.khaosan", "class-7", time.Millisecond)},
		{"refused", refused},
		{"other", newHop(dataplane.HopEntry, "x", "y", time.Millisecond)},
	} {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m.Hop(bb.hop)
			}
		})
	}
	b.Run("parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				m.Hop(refused)
			}
		})
	})
}

// BenchmarkMaxSeries measures creating, collecting and scraping the maximum number
// of series.
func BenchmarkMaxSeries(b *testing.B) {
	b.Run("create", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			m := newFullMetrics(b)
			b.StopTimer()
			_ = m.Close()
			b.StartTimer()
		}
	})
	b.Run("collect", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			m := newFullMetrics(b)
			b.StartTimer()
			_ = m.Close()
		}
	})
	b.Run("scrape", func(b *testing.B) {
		m := newFullMetrics(b)
		defer m.Close()
		b.ReportAllocs()
		for b.Loop() {
			_ = m.WriteText(io.Discard)
		}
	})
}
