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

// Symptom: a payout is paid twice, or a caller is told "not run" of one that
// was paid.
// Events: the caller repeats through other nodes, at the same time or after;
// nodes are killed or paused between any two steps; answers of the platform and
// of the target are lost, and writes arrive late or twice.
// Cause: any rule that lets a second call run, or claims to know that none did.
//
// Every interleaving of the calls with every placing of the faults is visited.
// The largest case leaves out the middle one of the model's times, which decides
// only between the wordings of an unknown outcome.
func TestAtMostOnceInEveryState(t *testing.T) {
	for _, c := range []struct {
		calls, faults int
		hour          int
	}{
		{calls: 2, faults: 1},
		{calls: 3, faults: 0},
		{calls: 2, faults: 2},
		{calls: 3, faults: 1, hour: 1},
	} {
		t.Run(fmt.Sprintf("%d calls, %d faults", c.calls, c.faults), func(t *testing.T) {
			w := newWorld(c.calls, c.faults)
			w.hour = c.hour
			states, path, err := explore(sound, w, "")
			if err != nil {
				t.Fatalf("%v:\n  %s", err, strings.Join(path, "\n  "))
			}
			t.Logf("%d states", states)
		})
	}
}

// naive are the rules that peardrift does not use. Each breaks what the sound
// attempt keeps, under two calls and one fault at most.
var naive = map[string]struct {
	step  step
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
		if _, ok := e.(InDoubt); ok {
			e = Written{}
		}
		return a.Step(now, e)
	}, "run 2"},
	"a lost answer means not written": {func(a *Attempt, now time.Duration, e Event) Action {
		if _, ok := e.(InDoubt); ok {
			e = NothingWritten{}
		}
		return a.Step(now, e)
	}, "held by nobody"},
	"what reads absent never arrives": {func(a *Attempt, now time.Duration, e Event) Action {
		if r, ok := e.(RowRead); ok && r.Row.State == Absent {
			return a.end(Answer{NotRunHere: true})
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

func TestNaiveRulesFail(t *testing.T) {
	for name, c := range naive {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, path, err := explore(c.step, newWorld(2, 1), c.fault)
			is.True(err != nil)
			t.Logf("%v:\n  %s", err, strings.Join(path, "\n  "))
		})
	}
}

// The same with more faults at once than can be enumerated.
func TestAtMostOnceAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(maxCalls, rapid.IntRange(0, 8).Draw(t, "faults"))
		m := mover{step: sound}
		var path []string
		for moves := m.all(w); len(moves) > 0; moves = m.all(w) {
			next := moves[rapid.IntRange(0, len(moves)-1).Draw(t, "move")]
			path = append(path, next.name)
			if next.fault != nil {
				t.Fatalf("%v:\n  %s", next.fault, strings.Join(path, "\n  "))
			}
			w = next.next
		}
	})
}
