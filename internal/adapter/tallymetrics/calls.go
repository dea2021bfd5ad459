package tallymetrics

import (
	"io"
	"maps"
	"strings"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"peardrift/internal/core/request"
	"peardrift/internal/dataplane"
	"peardrift/internal/status"
)

// maxResults limits the pairs of outcome and code per hop kind, service and class.
// Codes also come from other nodes' answers, so this node can't limit their number.
const maxResults = 64

// result is how a hop ended.
type result struct {
	outcome request.Outcome
	code    status.Code
}

// completedResult is the most frequent result; it has a dedicated counter.
var completedResult = result{outcome: request.Completed}

// callSeries holds the series of one hop kind, service and class.
type callSeries struct {
	scope       tally.Scope
	completed   counter
	time, queue tally.Histogram // queue is nil except for serve hops

	resends, resendsRefused tally.Counter // nil except for serve hops

	// results is copied on write, under Metrics.mu.
	results atomic.Pointer[map[result]counter]
	waits   atomic.Pointer[waitSeries] // nil until a request has waited; set under Metrics.mu

	truncations atomic.Pointer[truncationSeries] // nil until an answer was truncated; set under Metrics.mu
}

// counter is a counter with the scope that contains only this counter.
type counter struct {
	tally.Counter
	scope tally.Scope
}

// Hop implements dataplane.Observer.
func (m *Metrics) Hop(h *dataplane.Hop) {
	if m == nil {
		return
	}
	c := m.calls(h.Kind, pair{string(h.Service), string(h.Class)})
	m.count(c, result{h.Outcome, h.Code})
	c.time.RecordDuration(min(h.End.Sub(h.Start), maxDuration))
	if h.Waited > 0 {
		m.waits(c).observe(h)
	}
	if h.Truncated != dataplane.NotTruncated {
		m.truncations(c).counts[h.Truncated].Inc(1)
	}
	if h.Kind == dataplane.HopAttempt && h.LeftZone {
		m.Counters.CallsToOtherZone.Inc(1)
	}
	if h.Kind == dataplane.HopServe {
		c.queue.RecordDuration(min(h.Queued, maxDuration))
		c.resends.Inc(int64(max(h.Sends-1, 0)))
		if h.Resend == dataplane.ResendBudget {
			c.resendsRefused.Inc(1)
		}
		m.tenant(h.Tenant).observe(h)
	}
}

func (m *Metrics) count(c *callSeries, r result) {
	if r == completedResult {
		c.completed.Inc(1)
		return
	}
	n, ok := (*c.results.Load())[r]
	if !ok {
		n = m.addResult(c, r)
	}
	n.Inc(1)
}

// addResult creates the counter of a new result. Beyond maxResults, results share
// one counter per outcome.
func (m *Metrics) addResult(c *callSeries, r result) counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *c.results.Load()
	if _, ok := old[r]; !ok && len(old) >= maxResults {
		r = result{outcome: r.outcome, code: other}
	}
	if n, ok := old[r]; ok {
		return n
	}
	results := maps.Clone(old)
	results[r] = newCounter(c.scope, r)
	c.results.Store(&results)
	return results[r]
}

func newCounter(scope tally.Scope, r result) counter {
	code := strings.ToValidUTF8(string(r.code), "?")
	if code == "" {
		code = codeNone
	}
	scope = scope.Tagged(map[string]string{labelOutcome: r.outcome.String(), labelCode: code})
	return counter{scope.Counter(nameCalls), scope}
}

func newCallSeries(root tally.Scope, kind dataplane.HopKind, p pair) *callSeries {
	scope := root.Tagged(map[string]string{
		labelHop:     kind.String(),
		labelService: p.service,
		labelClass:   p.class,
	})
	c := &callSeries{
		scope:     scope,
		completed: newCounter(scope, completedResult),
		time:      scope.Histogram(nameTime, durationBuckets),
	}
	if kind == dataplane.HopServe {
		c.queue = scope.Histogram(nameQueue, durationBuckets)
		c.resends, c.resendsRefused = scope.Counter(nameResends), scope.Counter(nameResendsRefused)
	}
	c.results.Store(&map[result]counter{})
	return c
}

// close closes the scopes, so that tally drops the series at its next collection.
// Counts from traffic that still holds the handle are lost.
func (c *callSeries) close() {
	scopes := []tally.Scope{c.scope, c.completed.scope}
	for _, n := range *c.results.Load() {
		scopes = append(scopes, n.scope)
	}
	if w := c.waits.Load(); w != nil {
		scopes = append(scopes, w.scopes[:]...)
	}
	if t := c.truncations.Load(); t != nil {
		scopes = append(scopes, t.scopes[1:]...)
	}
	for _, s := range scopes {
		if s, ok := s.(io.Closer); ok {
			_ = s.Close() // only the root scope's Close can fail
		}
	}
}
