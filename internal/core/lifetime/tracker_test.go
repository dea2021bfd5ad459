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

// Guards against a leave that an earlier report reverts.
func TestLeaveIsFinal(t *testing.T) {
	is := is.New(t)
	tr := New()
	is.True(tr.Report(report("a", 1)).AcceptsCalls)
	leave := report("a", 3)
	leave.Leaving = true
	is.True(!tr.Report(leave).AcceptsCalls)
	is.True(!tr.Report(report("a", 2)).AcceptsCalls) // late
	is.True(!tr.Report(report("a", 4)).AcceptsCalls) // a newer one doesn't either
}

// Guards against a last report that isn't handled as a leave.
func TestFinalReportIsLeave(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(report("a", 1))
	is.True(!tr.Report(port.Report{Instance: "a", Final: true}).AcceptsCalls)
}

// Guards against a restarted node that forgets a leave it acknowledged.
func TestNothingRunsBeforeReport(t *testing.T) {
	is := is.New(t)
	is.True(!New().State().AcceptsCalls)
	leave := report("a", 9)
	leave.Leaving = true
	is.True(!New().Report(leave).AcceptsCalls)
}

// Guards against a delayed report of a crashed target that is taken for the current
// lifetime.
func TestAnswersSelectCurrentLifetime(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(report("new", 1))
	tr.Report(report("old", 7)) // not seen before, so taken for the newer one
	is.Equal(tr.State().Instance, "old")
	is.Equal(tr.Answered("new"), State{Instance: "new", Slots: 10, AcceptsCalls: true})
	is.Equal(tr.Report(report("old", 8)).Instance, "new") // already known, so not made current
	is.True(!tr.Answered("third").AcceptsCalls)           // has not reported yet
	is.True(tr.Report(report("third", 1)).AcceptsCalls)
}

// Guards against memory growth with each start of a crash-looping target.
func TestLifetimesBounded(t *testing.T) {
	is := is.New(t)
	tr := New()
	for i := range 10 * maxLifetimes {
		tr.Report(report(string(rune('a'+i%26))+string(rune('0'+i/26)), 1))
	}
	is.Equal(len(tr.lifetimes), maxLifetimes)
	is.Equal(len(tr.order), maxLifetimes)
}

func TestOldReportsIgnored(t *testing.T) {
	is := is.New(t)
	tr := New()
	r := report("a", 5)
	r.Slots = 20
	tr.Report(r)
	is.Equal(tr.Report(report("a", 4)).Slots, 20)
}

func start(born, seq int64) port.Report {
	r := report("a", seq)
	r.StartedAt = born
	return r
}

func withLeaving(r port.Report) port.Report {
	r.Leaving = true
	return r
}

// Guards against a restarted target that is never served because it keeps its name: its
// sequence numbers start again, and the leave belonged to the previous start.
func TestRestartUnderSameNameIsNewLifetime(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(start(1000, 50))
	is.True(!tr.Report(withLeaving(start(1000, 51))).AcceptsCalls)
	is.Equal(tr.Report(start(2000, 1)), State{Instance: "a", StartedAt: 2000, Slots: 10, AcceptsCalls: true})
	r := start(2000, 2)
	r.Slots = 20
	is.Equal(tr.Report(r).Slots, 20)
}

// Guards against delayed reports of an earlier start, including its last one.
func TestReportsOfEarlierStartIgnored(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(start(1000, 50))
	now := tr.Report(start(2000, 1))
	for _, late := range []port.Report{start(1000, 60), withLeaving(start(1000, 61)), {Instance: "a", StartedAt: 1000, Leaving: true, Final: true}} {
		is.Equal(tr.Report(late), now)
	}
	is.True(!tr.Report(withLeaving(start(2000, 2))).AcceptsCalls) // its own leave applies
	is.True(!tr.Report(start(1000, 62)).AcceptsCalls)
	is.True(!tr.Report(start(2000, 3)).AcceptsCalls)
}

// Guards against reverting a leave that named no start time when a later report names
// one.
func TestLateStartTimeIsSameLifetime(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(port.Report{Instance: "a", Leaving: true, Final: true})
	is.True(!tr.Report(start(1000, 5)).AcceptsCalls)
	is.True(tr.Report(start(2000, 1)).AcceptsCalls)
	is.True(!tr.Report(port.Report{Instance: "a", Leaving: true, Final: true}).AcceptsCalls) // applies to the latest start
}

// Guards against accepting a report that can't come from the local target, and a start
// time in the future that makes all later ones look earlier.
func TestCheckRejectsInvalidReports(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_767_225_600_000)
	ok := port.Report{Instance: "a", Service: "s.t", StartedAt: now.UnixMilli()}
	is.NoErr(Check(ok, "s.t", now))
	is.NoErr(Check(port.Report{Instance: "a", Final: true}, "s.t", now)) // a last report names no service
	for _, change := range []func(r *port.Report){
		func(r *port.Report) { r.Instance = "" },
		func(r *port.Report) { r.Service = "" },
		func(r *port.Report) { r.Service = "other.t" },
		func(r *port.Report) { r.StartedAt = -1 },
		func(r *port.Report) { r.StartedAt = now.Add(2 * maxClockSkew).UnixMilli() },
		func(r *port.Report) { r.Final, r.StartedAt = true, -1 },
	} {
		r := ok
		change(&r)
		is.Equal(status.CodeOf(Check(r, "s.t", now)), status.CodeMalformed)
	}
}

// Guards against calls to a target whose answers say that it leaves before it reports it.
func TestLeavingAnswerIsFinal(t *testing.T) {
	is := is.New(t)
	tr := New()
	tr.Report(start(1000, 5))
	is.True(tr.Left("other").AcceptsCalls) // not a known lifetime
	is.True(!tr.Left("a").AcceptsCalls)
	is.True(!tr.Report(start(1000, 6)).AcceptsCalls)
	is.True(tr.Report(start(2000, 1)).AcceptsCalls) // it has started again
}
