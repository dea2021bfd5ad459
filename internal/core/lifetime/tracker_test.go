package lifetime

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/port"
	"peardrift/internal/status"
)

func report(instance string, seq int64) port.Report {
	return port.Report{Instance: instance, Seq: seq, Slots: 10}
}

// Guards against a leave undone by a report from before it.
func TestLeaveIsFinal(t *testing.T) {
	is := is.New(t)
	tr := New()
	is.True(tr.Report(report("a", 1)).Takes)
	leave := report("a", 3)
	leave.Leaving = true
	is.True(!tr.Report(leave).Takes)
	is.True(!tr.Report(report("a", 2)).Takes) // late
	is.True(!tr.Report(report("a", 4)).Takes) // even a newer one
}

// Guards against a last word that is not taken for a leave.
func TestLastWordIsALeave(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(report("a", 1))
	is.True(!tr.Report(port.Report{Instance: "a", Last: true}).Takes)
}

// Guards against a restarted node that forgets the leave which it had acknowledged.
func TestNothingRunsBeforeAReport(t *testing.T) {
	is := is.New(t)
	is.True(!New().State().Takes)
	leave := report("a", 9)
	leave.Leaving = true
	is.True(!New().Report(leave).Takes)
}

// Guards against a late report of a crashed target being taken for proof of life.
func TestAnswersSettleWhichLifetimeServes(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(report("new", 1))
	tr.Report(report("old", 7)) // unknown here, so taken for a newer one
	is.Equal(tr.State().Instance, "old")
	is.Equal(tr.Answered("new"), State{Instance: "new", Slots: 10, Takes: true})
	is.Equal(tr.Report(report("old", 8)).Instance, "new") // known: not taken again
	is.True(!tr.Answered("third").Takes)                  // which has not reported
	is.True(tr.Report(report("third", 1)).Takes)
}

// Guards against memory that grows with each start of a target that crashes in a loop.
func TestLifetimesAreBounded(t *testing.T) {
	is := is.New(t)
	tr := New()
	for i := range 10 * maxLifetimes {
		tr.Report(report(string(rune('a'+i%26))+string(rune('0'+i/26)), 1))
	}
	is.Equal(len(tr.lifetimes), maxLifetimes)
	is.Equal(len(tr.order), maxLifetimes)
}

func TestOldReportsChangeNothing(t *testing.T) {
	is := is.New(t)
	tr := New()
	r := report("a", 5)
	r.Slots = 20
	tr.Report(r)
	is.Equal(tr.Report(report("a", 4)).Slots, 20)
}

func start(born, seq int64) port.Report {
	r := report("a", seq)
	r.Born = born
	return r
}

func leaving(r port.Report) port.Report {
	r.Leaving = true
	return r
}

// Guards against a target that has started again under its name and is never served:
// its reports count anew, and the leave was that of the start before.
func TestAStartUnderTheSameNameIsAnotherLifetime(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(start(1000, 50))
	is.True(!tr.Report(leaving(start(1000, 51))).Takes)
	is.Equal(tr.Report(start(2000, 1)), State{Instance: "a", Born: 2000, Slots: 10, Takes: true})
	r := start(2000, 2)
	r.Slots = 20
	is.Equal(tr.Report(r).Slots, 20)
}

// Guards against reports of an earlier start that are held up on the way, its last
// word among them.
func TestReportsOfAnEarlierStartChangeNothing(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(start(1000, 50))
	now := tr.Report(start(2000, 1))
	for _, late := range []port.Report{start(1000, 60), leaving(start(1000, 61)), {Instance: "a", Born: 1000, Leaving: true, Last: true}} {
		is.Equal(tr.Report(late), now)
	}
	is.True(!tr.Report(leaving(start(2000, 2))).Takes) // its own binds
	is.True(!tr.Report(start(1000, 62)).Takes)
	is.True(!tr.Report(start(2000, 3)).Takes)
}

// Guards against a leave undone by a report that tells a start when the leave did not.
func TestAStartThatIsToldLateIsNoOther(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(port.Report{Instance: "a", Leaving: true, Last: true})
	is.True(!tr.Report(start(1000, 5)).Takes)
	is.True(tr.Report(start(2000, 1)).Takes)
	is.True(!tr.Report(port.Report{Instance: "a", Leaving: true, Last: true}).Takes) // of the latest
}

// Guards against a report that can't be the own target's being taken for it, and against
// a start in the future that makes all later ones look like earlier ones.
func TestReportsThatCantBeAreRefused(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_767_225_600_000)
	ok := port.Report{Instance: "a", Service: "s.t", Born: now.UnixMilli()}
	is.NoErr(Check(ok, "s.t", now))
	is.NoErr(Check(port.Report{Instance: "a", Last: true}, "s.t", now)) // names no service
	for _, change := range []func(r *port.Report){
		func(r *port.Report) { r.Instance = "" },
		func(r *port.Report) { r.Service = "" },
		func(r *port.Report) { r.Service = "other.t" },
		func(r *port.Report) { r.Born = -1 },
		func(r *port.Report) { r.Born = now.Add(2 * maxAhead).UnixMilli() },
		func(r *port.Report) { r.Last, r.Born = true, -1 },
	} {
		r := ok
		change(&r)
		is.Equal(status.CodeOf(Check(r, "s.t", now)), status.CodeMalformed)
	}
}
