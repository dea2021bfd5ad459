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

// maxResults bounds the pairs of outcome and code of one series group. Codes
// come in other nodes' answers too, so their number isn't in this node's hands.
const maxResults = 64

// result is how a hop ended.
type result struct {
	outcome request.Outcome
	code    status.Code
}

// answered is the result of nearly all hops.
var answered = result{outcome: request.Completed}

// calls holds the series of one kind of hop, service and class.
type calls struct {
	scope       tally.Scope
	answered    counter
	time, queue tally.Histogram // queue is nil but for serve hops

	// results is replaced, never changed, under Metrics.mu.
	results atomic.Pointer[map[result]counter]
}

// counter is a counter with the scope that it alone stands in.
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
	c.time.RecordDuration(min(h.End.Sub(h.Start), longest))
	if h.Kind == dataplane.HopServe {
		c.queue.RecordDuration(min(h.Queued, longest))
		m.tenant(h.Tenant).take(h)
	}
}

func (m *Metrics) count(c *calls, r result) {
	if r == answered {
		c.answered.Inc(1)
		return
	}
	n, ok := (*c.results.Load())[r]
	if !ok {
		n = m.addResult(c, r)
	}
	n.Inc(1)
}

// addResult creates the counter of a result that is seen for the first time.
func (m *Metrics) addResult(c *calls, r result) counter {
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

func newCalls(root tally.Scope, kind dataplane.HopKind, p pair) *calls {
	scope := root.Tagged(map[string]string{
		labelHop:     kind.String(),
		labelService: p.service,
		labelClass:   p.class,
	})
	c := &calls{
		scope:    scope,
		answered: newCounter(scope, answered),
		time:     scope.Histogram(nameTime, buckets),
	}
	if kind == dataplane.HopServe {
		c.queue = scope.Histogram(nameQueue, buckets)
	}
	c.results.Store(&map[result]counter{})
	return c
}

// close lets tally drop the series at its next collection. Traffic that still
// has the handle goes on counting into nothing.
func (c *calls) close() {
	scopes := []tally.Scope{c.scope, c.answered.scope}
	for _, n := range *c.results.Load() {
		scopes = append(scopes, n.scope)
	}
	for _, s := range scopes {
		if s, ok := s.(io.Closer); ok {
			_ = s.Close() // only the root's can fail
		}
	}
}
