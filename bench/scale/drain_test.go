package scale

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/member"
)

// Symptom: a target that leaves gets new work for long.
// Events: a fifth of all messages are lost; a node announces that its target
// leaves, and is killed right after. Cause: the announcement is lost with its node.
//
// If no message of it arrived, the node's silence tells; until then its connections,
// which are broken, keep callers off.
func TestLossyDrainOfAKilledNodeIsKnown(t *testing.T) {
	const trials = 40
	soon, silence := 3*time.Second, member.DefaultConfig().DeadAfter+6*time.Second
	for _, tt := range []struct {
		name  string
		after time.Duration // from the first tick to the kill
		most  int           // of the trials in which only the silence tells
	}{
		{"killed after one tick", 0, trials / 2},
		{"killed after three ticks", 400 * time.Millisecond, trials / 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := New(member.DefaultConfig(), 300, 5)
			f.Loss = 0.2
			late := 0
			for i := range trials {
				n := f.alive(i * 7)
				n.State.Leave(f.Now)
				f.Run(f.Cfg.TickInterval + tt.after)
				n.Down = true
				took := f.Until(silence, knowsGone(n))
				is.True(took.All >= 0)
				if took.All > soon {
					late++
				}
			}
			t.Logf("%d of %d known to all later than %v", late, trials, soon)
			is.True(late <= tt.most)
		})
	}
}

// knowsGone tells whether a node knows that another takes no new work.
func knowsGone(of *Node) func(*Node) bool {
	return func(n *Node) bool {
		m, ok := n.State.Lookup(of.Rec.ID)
		return ok && m.Status != member.Alive
	}
}
