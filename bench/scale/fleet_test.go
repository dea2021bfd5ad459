package scale

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/configsync"
	"peardrift/internal/core/member"
)

// TestRunsRepeat: the same seed gives the same messages, whatever the scheduler
// does; otherwise a slope couldn't be compared with an earlier one.
func TestRunsRepeat(t *testing.T) {
	is := is.New(t)
	run := func() (Cost, Spread) {
		f := New(member.DefaultConfig(), 60, 7)
		f.Loss = 0.1
		c := f.Costs(10 * time.Second)
		c.CPU = 0
		n := f.Live()
		n.Down = true
		return c, f.Until(time.Minute, Knows(n.Rec.ID, member.Unreachable))
	}
	cost, spread := run()
	is.True(cost.BytesMean > 0)
	is.True(spread.All > 0)
	again, spreadAgain := run()
	is.Equal(cost, again)
	is.Equal(spread, spreadAgain)
}

// TestRegionApart: symptom: after regions were apart, one side has dropped the
// other, and everything is announced anew on healing. Events: no message passes
// between two regions for minutes. Cause: silence across a cut is taken for
// deaths. Nobody may be declared dead, and only what changed may travel after.
func TestRegionApart(t *testing.T) {
	is := is.New(t)
	f := New(member.DefaultConfig(), 90, 3)
	rest := f.Costs(10 * time.Second)
	h := f.CutRegion("region-1", 2*time.Minute, 10, time.Minute)
	is.Equal(h.Deaths, uint64(0))
	is.True(h.Agreed.All >= 0)
	is.True(h.Minute.BytesMean < 1.5*rest.BytesMean)
}

// TestFrozenMembersLive: see member.TestNoFalseDeaths; here beside the plain
// heartbeat, which declares live members dead under the same freezes.
func TestFrozenMembersLive(t *testing.T) {
	is := is.New(t)
	const d, share, each = time.Minute, 0.02, 5 * time.Second
	f := New(member.DefaultConfig(), 90, 3)
	is.Equal(f.Freeze(d, share, each), 0)
	plain := Heartbeats{Members: 90, Observers: 4, Period: 2 * time.Second, Timeout: 6 * time.Second}
	is.True(plain.FalseDeaths(d, share, each, 3) > 0)
}

// TestBusyMinuteKeepsBudgetAndTime: symptom: in a busy minute of configuration
// nodes spend twice their budget, and changes are in force after a minute. Events:
// ten times the mean rate of changes, of several tenants; then a zone is lost as
// well. Cause: membership and configuration each keep to a budget of their own.
func TestBusyMinuteKeepsBudgetAndTime(t *testing.T) {
	is := is.New(t)
	const every, tenants, limit, inForce = 432 * time.Millisecond, 5, 3072, 16 * time.Second
	for _, lost := range []string{"", "zone-4"} {
		f := New(member.DefaultConfig(), 90, 5)
		is.NoErr(f.Configure(tenants, 10*time.Minute))
		f.KillZone(lost)
		b, err := f.BusyTime(time.Minute, every, time.Minute)
		is.NoErr(err)
		is.True(b.Longest > 0)
		is.True(b.Longest <= inForce)
		is.True(b.Cost.BytesMean <= limit)
	}
}

// TestPlatformIsSpared: symptom: the platform, back after an outage or beside a
// zone that starts, is asked more than it serves, and fails again. Events: it is
// away for two minutes; a zone's nodes start at once; all nodes do. Cause: each
// node reads for itself. The last case is bounded by inforce.Config.ColdReads.
func TestPlatformIsSpared(t *testing.T) {
	is := is.New(t)
	const tenants, limit = 5, time.Minute
	cfg := configsync.DefaultConfig()
	f := New(member.DefaultConfig(), 90, 5)
	is.NoErr(f.Configure(tenants, 10*time.Minute))
	outage, err := f.ReadsAfterOutage(2*time.Minute, limit)
	is.NoErr(err)
	back := f.ReadsOnReturn("zone-4", limit)
	for _, r := range []Reads{outage, back} {
		is.True(r.Ready > 0)
		is.True(r.Rest > 0)
		is.True(r.Most <= cfg.PollReads)
	}
	all := f.ReadsOnStart(limit)
	is.True(all.Ready > 0)
	is.True(all.Most <= cfg.PlatformStartRate*(tenants+1))
}
