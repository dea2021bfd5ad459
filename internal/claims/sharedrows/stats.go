package sharedrows

import (
	"github.com/uber-go/tally/v4"

	"peardrift/internal/status"
)

// stats are the metrics of shared rows.
type stats struct{ scope tally.Scope }

// table counts an operation of the node's Batcher at the platform's table.
func (s stats) table(op, result string) {
	s.scope.Tagged(map[string]string{"op": op, "result": result}).Counter("batch_table_ops").Inc(1)
}

// sent counts an op sent to another node, by its answer.
func (s stats) sent(result string) {
	s.scope.Tagged(map[string]string{"result": result}).Counter("batch_sent").Inc(1)
}

// refused counts an op that the node's Batcher refused.
func (s stats) refused(code status.Code) {
	s.scope.Tagged(map[string]string{"result": string(code)}).Counter("batch_refused").Inc(1)
}
