package oteltrace

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
	"peardrift/internal/settings"
	"peardrift/internal/status"
)

var (
	node  = settings.Node{Name: "feed-1", Region: "bangkok", Zone: "bangkok-a", Instance: "i-1"}
	start = time.Unix(1_000_000, 0)
)

// spanLine is a span as written to the file.
type spanLine struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
	Status struct{ Code, Description string }
}

func (l spanLine) attr(key string) any {
	for _, a := range l.Attributes {
		if a.Key == key {
			return a.Value.Value
		}
	}
	return nil
}

// recordHops records hops with the given settings and returns the file's lines.
func recordHops(t *testing.T, s settings.Traces, hops ...*dataplane.Hop) []spanLine {
	t.Helper()
	is := is.New(t)
	s.File = filepath.Join(t.TempDir(), "spans")
	s.QueueSpans = 4096
	tr, err := New(s, node, tally.NoopScope, func(err error) { t.Error(err) })
	is.NoErr(err)
	for _, h := range hops {
		tr.Hop(h)
	}
	is.NoErr(tr.Close(t.Context()))
	b, err := os.ReadFile(s.File)
	is.NoErr(err)
	var lines []spanLine
	for sc := bufio.NewScanner(bytes.NewReader(b)); sc.Scan(); {
		var l spanLine
		is.NoErr(json.Unmarshal(sc.Bytes(), &l))
		lines = append(lines, l)
	}
	return lines
}

func newHop(kind dataplane.HopKind, id byte, o request.Outcome) *dataplane.Hop {
	return &dataplane.Hop{
		Kind: kind, ID: request.ID{8: id}, Span: dataplane.SpanID{7: 1}, Start: start, End: start.Add(time.Millisecond),
		Service: "feed.khaosan", Class: "read", Tenant: "khaosan", Outcome: o,
	}
}

func TestSpanDescribesHop(t *testing.T) {
	is := is.New(t)
	serve := newHop(dataplane.HopServe, 1, request.Refused)
	serve.Span, serve.Parent = dataplane.SpanID{7: 2}, dataplane.SpanID{7: 1}
	serve.Code, serve.Target, serve.Zone = status.CodeOverloaded, 9, "bangkok-b"
	serve.Attempt, serve.Level, serve.Allowance, serve.Queued = 2, 77, 3, 2500*time.Microsecond
	lines := recordHops(t, settings.Traces{SampleRatio: 1}, newHop(dataplane.HopEntry, 1, request.Completed), serve)
	is.Equal(len(lines), 2)
	root, l := lines[0], lines[1]
	is.Equal(root.Name, "entry feed.khaosan")
	is.Equal(root.SpanContext.TraceID, request.ID{8: 1}.String())
	is.Equal(root.Parent.SpanID, "0000000000000000")
	is.Equal(root.Status.Code, "Unset")
	is.Equal(l.SpanContext.TraceID, root.SpanContext.TraceID)
	is.Equal(l.SpanContext.SpanID, "0000000000000002")
	is.Equal(l.Parent.SpanID, root.SpanContext.SpanID)
	is.Equal(l.EndTime.Sub(l.StartTime), time.Millisecond)
	is.Equal(l.Status.Code, "Error")
	for key, want := range map[string]any{
		"peardrift.hop": "serve", "peardrift.decision": "refused", "peardrift.reason": "overloaded",
		"peardrift.outcome": "refused", "peardrift.service": "feed.khaosan", "peardrift.class": "read",
		"peardrift.tenant": "khaosan", "peardrift.target": "0000000000000009", "peardrift.zone": "bangkok-b",
		"peardrift.attempt": 2.0, "peardrift.level": 77.0, "peardrift.allowance": 3.0, "peardrift.queued_ms": 2.5,
	} {
		is.Equal(l.attr(key), want) // attribute of a span
	}
}

// TestAttributesMatchDocs checks that docs/operators/traces.md lists exactly the
// attributes of the code.
func TestAttributesMatchDocs(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/operators/traces.md")
	is.NoErr(err)
	h := newHop(dataplane.HopServe, 1, request.Refused)
	h.Code, h.Retry, h.Target, h.Zone, h.Queued, h.Waited = status.CodeOverloaded, "final", 1, "bangkok-a", 1, 1
	h.Sends, h.Resend, h.Truncated = 2, dataplane.ResendBudget, dataplane.TruncatedByNode
	var keys, documented []string
	for _, a := range attributes(h) {
		keys = append(keys, string(a.Key))
	}
	for _, m := range regexp.MustCompile("(?m)^\\| `(peardrift\\.\\w+)` \\|").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, m[1])
	}
	slices.Sort(keys)
	slices.Sort(documented)
	is.Equal(documented, keys)
}

func TestDecision(t *testing.T) {
	called := newHop(dataplane.HopEntry, 1, request.Completed)
	called.Attempt = 1
	for _, tt := range []struct {
		hop  *dataplane.Hop
		want string
	}{
		{newHop(dataplane.HopServe, 1, request.Completed), "admitted"},
		{newHop(dataplane.HopServe, 1, request.Unknown), "admitted"},
		{newHop(dataplane.HopServe, 1, request.Refused), "refused"},
		{newHop(dataplane.HopAttempt, 1, request.Refused), "sent"},
		{newHop(dataplane.HopEgress, 1, request.Refused), "refused"},
		{called, "called"},
	} {
		is.New(t).Equal(decision(tt.hop), tt.want)
	}
}

func TestSamplingIsPerRequest(t *testing.T) {
	is := is.New(t)
	var hops []*dataplane.Hop
	for i := range 250 {
		id := byte(i)
		hops = append(hops, newHop(dataplane.HopEntry, id, request.Completed), newHop(dataplane.HopServe, id, request.Completed))
	}
	lines := recordHops(t, settings.Traces{SampleRatio: 0.2, KeepPerSecond: 100}, hops...)
	byTrace := map[string]int{}
	for _, l := range lines {
		byTrace[l.SpanContext.TraceID]++
	}
	is.True(len(byTrace) > 0 && len(byTrace) < 250)
	for _, n := range byTrace {
		is.Equal(n, 2) // all hops of a request are recorded or none
	}
	is.Equal(len(recordHops(t, settings.Traces{KeepPerSecond: 100}, hops...)), 0)
}

// Guards against tracing taking the CPU time of calls in an overload, when nearly
// all requests are refused and every refusal is recorded.
func TestUnsampledRefusalsAreRateLimited(t *testing.T) {
	is := is.New(t)
	var hops []*dataplane.Hop
	for i := range 1000 {
		h := newHop(dataplane.HopServe, byte(i), request.Refused)
		h.End = start.Add(time.Duration(i) * 2 * time.Millisecond) // two seconds in all
		hops = append(hops, h)
	}
	n := len(recordHops(t, settings.Traces{KeepPerSecond: 10}, hops...))
	is.True(n >= 20 && n <= 31) // the rate over two seconds and one burst
}

func TestExportByOTLP(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var got []*collector.ExportTraceServiceRequest
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		req := &collector.ExportTraceServiceRequest{}
		if err := proto.Unmarshal(b, req); err != nil {
			t.Error(err)
		}
		mu.Lock()
		defer mu.Unlock()
		got = append(got, req)
	}))
	defer srv.Close()
	scope := tally.NewTestScope("", nil)
	tr, err := New(settings.Traces{Endpoint: srv.URL + "/v1/traces", SampleRatio: 1, QueueSpans: 16}, node, scope, func(err error) { t.Error(err) })
	is.NoErr(err)
	tr.Hop(newHop(dataplane.HopEntry, 1, request.Completed))
	is.NoErr(tr.Close(t.Context()))
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(got), 1)
	span := got[0].ResourceSpans[0].ScopeSpans[0].Spans[0]
	is.Equal(span.Name, "entry feed.khaosan")
	is.Equal(len(span.ParentSpanId), 0)
	counters := scope.Snapshot().Counters()
	is.Equal(counters["traces.spans_recorded_total+"].Value(), int64(1))
	is.Equal(counters["traces.spans_exported_total+"].Value(), int64(1))
}

// Guards against hanging calls or shutdown when the collector accepts connections
// but never answers: spans must not be exported on the calls' goroutines, and the
// last export must have a time limit.
func TestUnresponsiveCollectorDoesNotBlock(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer srv.Close()
	defer close(release)
	tr, err := New(settings.Traces{Endpoint: srv.URL, SampleRatio: 1, QueueSpans: 16}, node, tally.NoopScope, func(error) {})
	is.NoErr(err)
	for range 1000 { // far more than the queue holds
		tr.Hop(newHop(dataplane.HopEntry, 1, request.Completed))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(tr.Close(ctx) != nil) // reports lost spans
}

func TestFailedExportIsCountedAndReported(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	scope := tally.NewTestScope("", nil)
	var exportErrs []error
	tr, err := New(settings.Traces{Endpoint: srv.URL, SampleRatio: 1, QueueSpans: 16}, node, scope, func(err error) { exportErrs = append(exportErrs, err) })
	is.NoErr(err)
	tr.Hop(newHop(dataplane.HopEntry, 1, request.Completed))
	is.NoErr(tr.Close(t.Context()))
	is.Equal(len(exportErrs), 1)
	is.Equal(status.CodeOf(exportErrs[0]), status.CodeConnectionLost)
	is.Equal(scope.Snapshot().Counters()["traces.spans_failed_total+"].Value(), int64(1))
}

func TestDisabledAndInvalidSettings(t *testing.T) {
	is := is.New(t)
	off, err := New(settings.Default().Traces, node, tally.NoopScope, nil)
	is.NoErr(err)
	is.True(off == nil)
	off.Hop(newHop(dataplane.HopEntry, 1, request.Failed))
	is.True(!off.Sampled(request.ID{1}))
	is.NoErr(off.Close(t.Context()))
	_, err = New(settings.Traces{File: t.TempDir()}, node, tally.NoopScope, nil)
	is.Equal(status.CodeOf(err), status.CodeInvalidSettings)
}

func BenchmarkHop(b *testing.B) {
	for _, bb := range []struct {
		name     string
		settings settings.Traces
		outcome  request.Outcome
	}{
		{"off", settings.Traces{}, request.Completed},
		{"unsampled", settings.Traces{File: os.DevNull, SampleRatio: 0}, request.Completed},
		{"refused-over-rate", settings.Traces{File: os.DevNull, KeepPerSecond: 1}, request.Refused},
		{"sampled", settings.Traces{File: os.DevNull, SampleRatio: 1}, request.Completed},
		{"ratio-1-in-100", settings.Traces{File: os.DevNull, SampleRatio: 0.01}, request.Completed},
	} {
		b.Run(bb.name, func(b *testing.B) {
			bb.settings.QueueSpans = 2048
			tr, err := New(bb.settings, node, tally.NoopScope, func(error) {})
			if err != nil {
				b.Fatal(err)
			}
			h := newHop(dataplane.HopServe, 0, bb.outcome)
			var n byte
			b.ReportAllocs()
			for b.Loop() {
				n++
				h.ID[8], h.ID[9] = n, n*31
				tr.Hop(h)
			}
			b.StopTimer()
			_ = tr.Close(b.Context())
		})
	}
}
