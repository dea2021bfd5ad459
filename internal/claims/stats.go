package claims

import (
	"github.com/uber-go/tally/v4"
)

// stats are the runner's metrics.
type stats struct{ scope tally.Scope }

func newStats(scope tally.Scope) stats { return stats{scope: scope.SubScope("claims")} }

// op counts an operation at the platform's table.
func (s stats) op(op, result string, open bool) {
	s.scope.Tagged(map[string]string{"op": op, "result": result}).Counter("table_ops").Inc(1)
	gauge := s.scope.Gauge("breaker_open")
	if open {
		gauge.Update(1)
		return
	}
	gauge.Update(0)
}

// call counts a call by its result.
func (s stats) call(res Result) {
	result := "completed"
	switch {
	case res.Err != nil:
		result = string(res.Err.Code)
	case res.NotRunByCall:
		result = "repeated"
	}
	s.scope.Tagged(map[string]string{"result": result}).Counter("calls").Inc(1)
}

// followUps sets the gauge of pending follow-ups.
func (s stats) followUps(n int) { s.scope.Gauge("duties_pending").Update(float64(n)) }

// lost counts outcomes that are missing in the table although they were written.
func (s stats) lost() { s.scope.Counter("outcomes_lost").Inc(1) }
