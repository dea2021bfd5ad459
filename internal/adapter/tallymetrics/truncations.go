package tallymetrics

import (
	"github.com/uber-go/tally/v4"

	"peardrift/internal/dataplane"
)

// truncations is the number of reasons why an answer may be passed on only in part,
// NotTruncated included.
const truncations = int(dataplane.TruncatedByNode) + 1

// truncationSeries counts the truncated answers of one hop kind, service and class, by
// reason. NotTruncated has no counter.
type truncationSeries struct {
	counts [truncations]tally.Counter
	scopes [truncations]tally.Scope
}

func newTruncationSeries(scope tally.Scope) *truncationSeries {
	s := new(truncationSeries)
	for i := 1; i < truncations; i++ {
		s.scopes[i] = scope.Tagged(map[string]string{labelReason: dataplane.Truncation(i).String()})
		s.counts[i] = s.scopes[i].Counter(nameTruncated)
	}
	return s
}

// truncations returns the truncation series of a hop and creates them at first use.
func (m *Metrics) truncations(c *callSeries) *truncationSeries {
	if s := c.truncations.Load(); s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.truncations.Load() == nil {
		c.truncations.Store(newTruncationSeries(c.scope))
	}
	return c.truncations.Load()
}
