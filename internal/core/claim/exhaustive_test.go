package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// Guards against a second run, and against "not run" for a request that ran. Calls
// repeat through other nodes concurrently or later, nodes are killed or paused
// between any two steps, answers of the platform and the target are lost, and
// writes arrive late or twice.
//
// The test visits every interleaving of the calls with every placement of the
// faults. The largest case omits the middle one of the model's times, which only
// selects the code of an unknown outcome.
func TestAtMostOnceInEveryState(t *testing.T) {
	for _, c := range []struct {
		calls, faults int
		timeIndex     int
	}{
		{calls: 2, faults: 1},
		{calls: 3, faults: 0},
		{calls: 2, faults: 2},
		{calls: 3, faults: 1, timeIndex: 1},
	} {
		t.Run(fmt.Sprintf("%d calls, %d faults", c.calls, c.faults), func(t *testing.T) {
			w := newModel(c.calls, c.faults)
			w.timeIndex = c.timeIndex
			states, path, err := explore(soundStep, w, "")
			if err != nil {
				t.Fatalf("%v:\n  %s", err, strings.Join(path, "\n  "))
			}
			t.Logf("%d states", states)
		})
	}
}

// unsoundRules are variants of the attempt that each violate an invariant with at
// most two calls and one fault.
var unsoundRules = map[string]struct {
	step  stepFunc
	fault string
}{
	"no claim": {func(a *Attempt, now time.Duration, e Event) Action {
		if _, ok := e.(ConditionFailed); ok {
			e = Written{}
		}
		return a.Step(now, e)
	}, "run 2"},
	"a claim is a lease": {func(a *Attempt, now time.Duration, e Event) Action {
		if r, ok := e.(RowRead); ok && r.Row.State == Held && now >= r.Row.Until {
			e = RowRead{Row{Version: r.Row.Version, State: Free}}
		}
		return a.Step(now, e)
	}, "run 2"},
	"a lost answer means written": {func(a *Attempt, now time.Duration, e Event) Action {
		if _, ok := e.(Ambiguous); ok {
			e = Written{}
		}
		return a.Step(now, e)
	}, "run 2"},
	"a lost answer means not written": {func(a *Attempt, now time.Duration, e Event) Action {
		if _, ok := e.(Ambiguous); ok {
			e = NotWritten{}
		}
		return a.Step(now, e)
	}, "held by nobody"},
	"what reads absent never arrives": {func(a *Attempt, now time.Duration, e Event) Action {
		if r, ok := e.(RowRead); ok && r.Row.State == Absent {
			return a.finish(Answer{NotRunByCall: true})
		}
		return a.Step(now, e)
	}, "held by nobody"},
	"not run here means not run": {func(a *Attempt, now time.Duration, e Event) Action {
		act := a.Step(now, e)
		if ans, ok := act.(Answer); ok && ans.Outcome.Code == status.CodePlatformDown {
			ans.Outcome.Kind = request.Refused
			act = ans
		}
		return act
	}, "told not run"},
}

func TestUnsoundRulesFail(t *testing.T) {
	for name, c := range unsoundRules {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, path, err := explore(c.step, newModel(2, 1), c.fault)
			is.True(err != nil)
			t.Logf("%v:\n  %s", err, strings.Join(path, "\n  "))
		})
	}
}

// Random walks with more faults than exhaustive exploration can cover.
func TestAtMostOnceAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(maxCalls, rapid.IntRange(0, 8).Draw(t, "faults"))
		m := enumerator{step: soundStep}
		var path []string
		for moves := m.successors(w); len(moves) > 0; moves = m.successors(w) {
			next := moves[rapid.IntRange(0, len(moves)-1).Draw(t, "move")]
			path = append(path, next.name)
			if next.violation != nil {
				t.Fatalf("%v:\n  %s", next.violation, strings.Join(path, "\n  "))
			}
			w = next.next
		}
	})
}
