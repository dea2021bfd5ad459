package route

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

func TestSubsetSize(t *testing.T) {
	cfg := DefaultConfig()
	tests := []struct {
		name                          string
		targets, conns, callers, want int
	}{
		{"few callers", 100, 100 * 850, 50, 16},
		{"all targets of a small service", 4, 4 * 250, 18, 4},
		{"callers not known", 100, 100 * 850, 0, 16},
		{"conns fill up", 18, 18 * 850, 1500, 5},
		{"more callers than conns", 18, 18 * 850, 14000, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(SubsetSize(&cfg, tt.targets, tt.conns, tt.callers), tt.want)
		})
	}
}

// bigService returns n targets spread over the zones of one region.
func bigService(n int) []Target {
	ts := make([]Target, n)
	for i := range ts {
		ts[i] = Target{
			ID: request.TargetIDOf(fmt.Sprint("t", i)), Region: "r", Zone: fmt.Sprint("z", i%3),
			Slots: 130, Conns: 850,
		}
	}
	return ts
}

func subsetIDs(cfg *Config, caller int, ts []Target, callers int) []request.TargetID {
	at := Locality{Caller: uint64(caller) * 0x9e3779b97f4a7c15, Region: "r", Zone: fmt.Sprint("z", caller%3)}
	local, remote := subset(cfg, at, ts, callers)
	var ids []request.TargetID
	for _, i := range append(local, remote...) {
		ids = append(ids, ts[i].ID)
	}
	return ids
}

func TestSubsetIsStable(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	ts := bigService(100)
	rest := ts[1:]
	changed := 0
	for c := range 300 {
		before, after := subsetIDs(&cfg, c, ts, 300), subsetIDs(&cfg, c, rest, 300)
		is.Equal(len(before), cfg.Subset)
		gone := 0
		for _, id := range before {
			if !slices.Contains(after, id) {
				gone++
			}
		}
		is.True(gone <= 1) // only the target that left
		changed += gone
	}
	is.True(changed > 20 && changed < 90) // about 300 x 16 / 100
}

func TestSubsetPrefersZoneAndRegion(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	ts := bigService(60)
	for i := range ts[:30] {
		ts[i].Region = "far"
	}
	at := Locality{Caller: 5, Region: "r", Zone: "z1"}
	local, remote := subset(&cfg, at, ts, 0)
	is.Equal(len(local), 10)
	is.Equal(len(remote), 6)
	for _, i := range append(local, remote...) {
		is.Equal(ts[i].Region, "r")
	}
	local, remote = subset(&cfg, at, ts[:30], 0) // the caller's region has no targets
	is.Equal(len(local), 0)
	is.Equal(len(remote), 16)
}

// BenchmarkSubsetSpread reports how unevenly the callers of a service spread over its
// targets: the most callers of one target and the even share.
func BenchmarkSubsetSpread(b *testing.B) {
	cfg := DefaultConfig()
	for _, n := range []struct{ targets, callers int }{{18, 200}, {100, 500}, {100, 5000}, {300, 14000}} {
		b.Run(fmt.Sprintf("%d-targets/%d-callers", n.targets, n.callers), func(b *testing.B) {
			ts := bigService(n.targets)
			most, size := 0, 0
			for b.Loop() {
				got := map[request.TargetID]int{}
				for c := range n.callers {
					ids := subsetIDs(&cfg, c, ts, n.callers)
					size = len(ids)
					for _, id := range ids {
						got[id]++
					}
				}
				for _, k := range got {
					most = max(most, k)
				}
			}
			b.ReportMetric(float64(size), "subset")
			b.ReportMetric(float64(most), "callers-most")
			b.ReportMetric(float64(n.callers*size)/float64(n.targets), "callers-even")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkUpdate alternates between snapshots of 299 and 300 targets.
func BenchmarkUpdate(b *testing.B) {
	ts := bigService(300)
	tab := newTable(ts)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tab.Update(0, ts[:299+i%2], 1000)
	}
}
