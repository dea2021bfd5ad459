package tallymetrics

import (
	"github.com/uber-go/tally/v4"

	"peardrift/internal/core/waiting"
	"peardrift/internal/dataplane"
)

// waitResults is the number of verdicts that may end a wait.
const waitResults = int(waiting.Bypass) + 1

// waitSeries holds the series of the requests of one service and class that waited for
// their start.
type waitSeries struct {
	time   tally.Histogram
	counts [waitResults]tally.Counter // by verdict
	scopes [waitResults]tally.Scope
}

func newWaitSeries(scope tally.Scope) *waitSeries {
	w := &waitSeries{time: scope.Histogram(nameWait, durationBuckets)}
	for i := range w.counts {
		w.scopes[i] = scope.Tagged(map[string]string{labelResult: waiting.Verdict(i).String()})
		w.counts[i] = w.scopes[i].Counter(nameWaits)
	}
	return w
}

// waits returns the wait series of a hop and creates them at first use.
func (m *Metrics) waits(c *callSeries) *waitSeries {
	if w := c.waits.Load(); w != nil {
		return w
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.waits.Load() == nil {
		c.waits.Store(newWaitSeries(c.scope))
	}
	return c.waits.Load()
}

func (w *waitSeries) observe(h *dataplane.Hop) {
	w.time.RecordDuration(min(h.Waited, maxDuration))
	w.counts[h.WaitResult].Inc(1)
}
