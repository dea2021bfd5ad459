package scale

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/member"
)

// Guards against a leaving target that keeps getting new work: with a fifth of all
// messages lost, a node announces that its target leaves and is killed right after. If no
// announcement arrived, members learn of the leave from the failed heartbeats; until then
// broken connections keep callers away.
func TestDrainOfKilledNodeIsKnownDespiteLoss(t *testing.T) {
	const trials = 40
	prompt, deathTimeout := 3*time.Second, member.DefaultConfig().DeadAfter+6*time.Second
	for _, tt := range []struct {
		name    string
		after   time.Duration // from the first tick to the kill
		maxLate int           // trials in which only the failed heartbeats tell
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
				n := f.nextAlive(i * 7)
				n.State.Leave(f.Now)
				f.Run(f.Cfg.TickInterval + tt.after)
				n.Down = true
				took := f.Until(deathTimeout, knowsNotAlive(n))
				is.True(took.All >= 0)
				if took.All > prompt {
					late++
				}
			}
			t.Logf("%d of %d known to all later than %v", late, trials, prompt)
			is.True(late <= tt.maxLate)
		})
	}
}

// knowsNotAlive returns a predicate that reports whether a node knows that another one
// takes no new work.
func knowsNotAlive(of *Node) func(*Node) bool {
	return func(n *Node) bool {
		m, ok := n.State.Lookup(of.Record.ID)
		return ok && m.Status != member.Alive
	}
}
