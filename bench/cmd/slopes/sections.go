package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"peardrift/bench/scale"
	"peardrift/internal/core/member"
)

// section is one of the tables.
type section struct {
	name, title string
	run         func(*options)
}

var sections = []section{
	{"memory", "Memory of one node's membership, each state with its own records (bytes)", printMemory},
	{"cost", "Cost a node and second, at rest, on an ordinary day's churn (2 x 2,138 changes a day at any size), and with ten times the mean of configuration heads (2.3 a second)", printCost},
	{"spread", "Seconds until news is known to 50 / 99 / 100% of the members (worst of the trials)", printSpread},
	{"busy", "A busy minute, ten times the mean of changes, with membership and configuration under one budget; at rest and from a zone's loss on", printChanges},
	{"zone", "A zone (1/9 of the members) lost at once, and back at once", printZone},
	{"reads", "What the configuration reads of the platform, rows and objects, 5 tenants", printReads},
	{"region", "A region apart, with changes on both sides, and healed", printRegion},
	{"join", "One new member", printJoin},
	{"freeze", "False deaths in an hour with 1% of the members frozen, 5 s at a time", printFreeze},
	{"rings", "Other numbers of rings", printRings},
}

// table prints rows in aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(columns ...string) table {
	t := table{tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)}
	t.row(anySlice(columns)...)
	t.row(anySlice(strings.Split(strings.Repeat("---,", len(columns)-1)+"---", ","))...)
	return t
}

func anySlice(list []string) []any {
	out := make([]any, len(list))
	for i, s := range list {
		out[i] = s
	}
	return out
}

func (t table) row(cells ...any) {
	for _, c := range cells {
		fmt.Fprintf(t.w, "| %v\t", c)
	}
	fmt.Fprintln(t.w, "|")
	_ = t.w.Flush()
}

func seconds(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f", d.Seconds())
}

func spreadText(s scale.Spread) string {
	return seconds(s.Half) + " / " + seconds(s.P99) + " / " + seconds(s.All)
}

func costCells(c scale.Cost) []any {
	return []any{
		fmt.Sprintf("%.0f", c.BytesMean), fmt.Sprintf("%.0f", c.BytesP99), fmt.Sprintf("%.0f", c.BytesMax),
		fmt.Sprintf("%.0f", c.CPU*1e6),
	}
}

// duration returns quick with --quick, else long.
func (o *options) duration(quick, long time.Duration) time.Duration {
	if o.Quick {
		return quick
	}
	return long
}

func newFleet(o *options, size int) *scale.Fleet {
	runtime.GC() // free the memory of the previous fleet, which may be large
	return scale.New(member.DefaultConfig(), size, o.Seed)
}

func printMemory(o *options) {
	t := newTable("members", "state and view", "a member")
	for _, n := range o.Sizes {
		m := scale.StateMemory(member.DefaultConfig(), scale.TargetLayout(n))
		t.row(n, m, m/int64(n))
	}
}

// changesPerDay is the number of joins, and also of leaves, of an average day at the
// largest planned size. headInterval is a tenth of the mean interval between configuration
// changes, at 20,000 changes per day by all tenants.
const (
	changesPerDay = 2138
	headInterval  = 432 * time.Millisecond
	tenants       = 5
)

func printCost(o *options) {
	t := newTable("members", "", "bytes/s mean", "p99", "max", "processor us/s", "a head known to 50 / 99 / 100%")
	for _, n := range o.Sizes {
		f := newFleet(o, n)
		t.row(append([]any{n, "rest"}, append(costCells(f.Costs(o.duration(10*time.Second, 30*time.Second))), "")...)...)
		t.row(append([]any{n, "churn"}, append(costCells(f.Churn(o.duration(30*time.Second, 5*time.Minute), changesPerDay)), "")...)...)
		c, s := f.Heads(o.duration(10*time.Second, time.Minute), headInterval, tenants)
		t.row(append([]any{n, "heads"}, append(costCells(c), spreadText(s))...)...)
	}
}

func printSpread(o *options) {
	trials := 3
	losses := []float64{0, 0.05, 0.2}
	if o.Quick {
		trials = 1
	}
	t := newTable("members", "loss", "leave", "configuration head", "death")
	for _, n := range o.Sizes {
		f := newFleet(o, n)
		for _, loss := range losses {
			f.Loss = loss
			s := f.Spreads(trials, time.Minute)
			t.row(n, fmt.Sprintf("%.0f%%", loss*100), spreadText(s.Leave), spreadText(s.Head), spreadText(s.Death))
		}
	}
}

func printChanges(o *options) {
	t := newTable("members", "tenants", "zone lost", "changes", "longest until in force everywhere", "bytes/s mean", "p99", "max", "processor us/s", "dearest 10 s, mean")
	for _, n := range o.Sizes {
		for _, c := range []struct {
			tenants int
			lost    bool
		}{{1, false}, {tenants, false}, {tenants, true}} {
			f := newFleet(o, n)
			if err := f.Configure(c.tenants, 10*time.Minute); err != nil {
				t.row(n, c.tenants, c.lost, err)
				continue
			}
			if c.lost {
				f.KillZone("zone-4")
			}
			cost, err := f.MeasureChanges(o.duration(20*time.Second, time.Minute), headInterval, time.Minute)
			if err != nil {
				t.row(n, c.tenants, c.lost, err)
				continue
			}
			row := append([]any{n, c.tenants, c.lost, cost.Changes, seconds(cost.MaxDelay)}, costCells(cost.Cost)...)
			t.row(append(row, fmt.Sprintf("%.0f", cost.Peak.BytesMean))...)
		}
	}
}

func printZone(o *options) {
	t := newTable("members", "", "changes", "all known to 50 / 99 / 100%", "head in the midst", "bytes/s in the minute", "p99", "max", "processor us/s", "dearest 10 s")
	for _, n := range o.Sizes {
		f := newFleet(o, n)
		l := f.MeasureZoneLoss("zone-4", o.duration(2*time.Minute, 5*time.Minute))
		row := append([]any{n, "lost", l.Dead, spreadText(l.Known), spreadText(l.Head)}, costCells(l.Minute)...)
		t.row(append(row, fmt.Sprintf("%.0f", l.Peak.BytesMean))...)
		f.Run(20 * time.Second)
		r := f.MeasureZoneReturn(o.duration(2*time.Minute, 10*time.Minute))
		row = append([]any{n, "back", l.Dead, spreadText(r.Known), "joined: " + spreadText(r.Joined)}, costCells(r.Minute)...)
		t.row(append(row, fmt.Sprintf("%.0f", r.Peak.BytesMean))...)
	}
}

func printReads(o *options) {
	t := newTable("members", "case", "reads/s at rest", "most in a second", "in all", "all in force after (s)")
	limit := o.duration(time.Minute, 3*time.Minute)
	for _, n := range o.Sizes {
		f := newFleet(o, n)
		if err := f.Configure(tenants, 10*time.Minute); err != nil {
			t.row(n, err)
			continue
		}
		row := func(what string, r scale.Reads) {
			t.row(n, what, fmt.Sprintf("%.1f", r.IdleRate), r.MaxPerSecond, r.Total, seconds(r.Ready))
		}
		after, err := f.ReadsAfterOutage(limit, limit)
		if err != nil {
			t.row(n, err)
			continue
		}
		row("after an outage, each tenant changed", after)
		row("a zone back at once", f.ReadsOnReturn("zone-4", limit))
		row("all start at once", f.ReadsOnStart(limit))
	}
}

func printRegion(o *options) {
	d := o.duration(time.Minute, 10*time.Minute)
	const changes = 30
	t := newTable("members", "apart", "changes", "members forgotten", "healed, known to 50 / 99 / 100%", "bytes/s in the minute after", "p99", "max", "processor us/s", "dearest 10 s")
	for _, n := range o.Sizes {
		f := newFleet(o, n)
		h := f.PartitionRegion("region-1", d, changes, 2*time.Minute)
		row := append([]any{n, d, h.Changes, h.Deaths, spreadText(h.Agreed)}, costCells(h.Minute)...)
		t.row(append(row, fmt.Sprintf("%.0f", h.Peak.BytesMean))...)
	}
}

func printJoin(o *options) {
	t := newTable("members", "let in (s)", "known to 50 / 99 / 100%", "whole state (s)", "bytes spent by then")
	for _, n := range o.Sizes {
		f := newFleet(o, n)
		j := f.JoinOne(o.duration(time.Minute, 30*time.Minute))
		t.row(n, seconds(j.Joined), spreadText(j.Known), seconds(j.Complete), j.Bytes)
	}
}

func printFreeze(o *options) {
	const share, each = 0.01, 5 * time.Second
	d := o.duration(20*time.Second, 5*time.Minute)
	t := newTable("members", "loss", "simulated", "ours", "one observer, 6 s", "one observer, 12 s")
	perHour := func(n int) string { return fmt.Sprintf("%.0f", float64(n)*float64(time.Hour)/float64(d)) }
	for _, n := range o.Sizes {
		for _, loss := range []float64{0, 0.05, 0.2} {
			f := newFleet(o, n)
			f.Loss = loss
			ours := f.Freeze(d, share, each)
			h := scale.HeartbeatDetector{Members: n, Observers: 4, Period: 2 * time.Second, Loss: loss}
			h.Timeout = 6 * time.Second
			six := h.FalseDeaths(d, share, each, o.Seed)
			h.Timeout = 12 * time.Second
			twelve := h.FalseDeaths(d, share, each, o.Seed)
			t.row(n, fmt.Sprintf("%.0f%%", loss*100), d, perHour(ours), perHour(six), perHour(twelve))
		}
	}
}

func printRings(o *options) {
	n := min(o.Sizes[len(o.Sizes)-1], 4000)
	t := newTable("members", "rings", "bytes/s at rest", "leave at 20% loss", "zone lost, known to 50 / 99 / 100%", "bytes/s in the minute")
	all := []int{2, 3, 4, 5, 6}
	if o.Quick {
		n, all = o.Sizes[0], []int{3, 4}
	}
	for _, k := range all {
		cfg := member.DefaultConfig()
		cfg.Rings = k
		f := scale.New(cfg, n, o.Seed)
		rest := f.Costs(10 * time.Second)
		f.Loss = 0.2
		s := f.Spreads(1, time.Minute)
		f.Loss = 0
		l := f.MeasureZoneLoss("zone-4", 2*time.Minute)
		t.row(n, k, fmt.Sprintf("%.0f", rest.BytesMean), spreadText(s.Leave), spreadText(l.Known), fmt.Sprintf("%.0f", l.Minute.BytesMean))
	}
}
