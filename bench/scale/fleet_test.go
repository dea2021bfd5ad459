package scale

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/configsync"
	"peardrift/internal/core/member"
)

// The same seed must give the same messages regardless of scheduling; otherwise results
// couldn't be compared with earlier ones.
func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	run := func() (Cost, Spread) {
		f := New(member.DefaultConfig(), 60, 7)
		f.Loss = 0.1
		c := f.Costs(10 * time.Second)
		c.CPU = 0
		n := f.RandomLive()
		n.Down = true
		return c, f.Until(time.Minute, Knows(n.Record.ID, member.Unreachable))
	}
	cost, spread := run()
	is.True(cost.BytesMean > 0)
	is.True(spread.All > 0)
	again, spreadAgain := run()
	is.Equal(cost, again)
	is.Equal(spread, spreadAgain)
}

// Guards against treating silence across a partition as deaths: after minutes without
// messages between two regions, each side would have dropped the other and announce
// everything again on healing. No member may be declared dead, and only changes may be
// sent after healing.
func TestRegionPartitionCausesNoDeaths(t *testing.T) {
	is := is.New(t)
	f := New(member.DefaultConfig(), 90, 3)
	rest := f.Costs(10 * time.Second)
	h := f.PartitionRegion("region-1", 2*time.Minute, 10, time.Minute)
	is.Equal(h.Deaths, uint64(0))
	is.True(h.Agreed.All >= 0)
	is.True(h.Minute.BytesMean < 1.5*rest.BytesMean)
}

// Like the test for false deaths in package member, compared with the heartbeat baseline, which declares live
// members dead under the same freezes.
func TestFrozenMembersAreNotDeclaredDead(t *testing.T) {
	is := is.New(t)
	const d, share, each = time.Minute, 0.02, 5 * time.Second
	f := New(member.DefaultConfig(), 90, 3)
	is.Equal(f.Freeze(d, share, each), 0)
	plain := HeartbeatDetector{Members: 90, Observers: 4, Period: 2 * time.Second, Timeout: 6 * time.Second}
	is.True(plain.FalseDeaths(d, share, each, 3) > 0)
}

// Guards against separate budgets for membership and configuration: at ten times the mean
// rate of changes, of several tenants and also with a zone lost, nodes spent twice their
// budget and changes took a minute to be in force.
func TestFrequentChangesStayWithinBudgetAndDelay(t *testing.T) {
	is := is.New(t)
	const every, tenants, limit, inForce = 432 * time.Millisecond, 5, 3072, 16 * time.Second
	for _, lost := range []string{"", "zone-4"} {
		f := New(member.DefaultConfig(), 90, 5)
		is.NoErr(f.Configure(tenants, 10*time.Minute))
		f.KillZone(lost)
		c, err := f.MeasureChanges(time.Minute, every, time.Minute)
		is.NoErr(err)
		is.True(c.MaxDelay > 0)
		is.True(c.MaxDelay <= inForce)
		is.True(c.Cost.BytesMean <= limit)
	}
}

// Guards against overloading the platform when each node reads for itself: after an outage
// of two minutes, and when all nodes of a zone or of the fleet start at once. The last
// case is bounded by configsync.Config.PlatformStartRate.
func TestPlatformReadsAreBounded(t *testing.T) {
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
		is.True(r.IdleRate > 0)
		is.True(r.MaxPerSecond <= cfg.PollReads)
	}
	all := f.ReadsOnStart(limit)
	is.True(all.Ready > 0)
	is.True(all.MaxPerSecond <= cfg.PlatformStartRate*(tenants+1))
}
