package scale

import (
	"cmp"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"

	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
)

// StateMemory builds one state that shares nothing with others, as in a node of
// its own, and returns the heap that it takes with its published view, in bytes.
func StateMemory(cfg member.Config, l Layout) int64 {
	f := NewFleet(cfg, Layout{Members: 1, Regions: l.Regions, Zones: l.Zones, Services: l.Services}, 1)
	records := make([]*member.Record, l.Members)
	before := heap()
	for i := range records {
		records[i] = owned(f.Record(i))
	}
	slices.SortFunc(records, func(a, b *member.Record) int { return cmp.Compare(a.ID, b.ID) })
	s := member.New(cfg, f.Record(0), rand.New(rand.NewPCG(1, 1)))
	s.AddAlive(records)
	s.Tick(0)
	v := s.Snapshot()
	used := heap() - before
	runtime.KeepAlive(s)
	runtime.KeepAlive(v)
	runtime.KeepAlive(f)
	return used
}

// owned returns a copy that shares no string with others.
func owned(r member.Record) *member.Record {
	r.Name = strings.Clone(r.Name)
	r.Service = request.Service(strings.Clone(string(r.Service)))
	r.Tenant = request.Tenant(strings.Clone(string(r.Tenant)))
	r.Zone, r.Region = strings.Clone(r.Zone), strings.Clone(r.Region)
	r.DataAddr, r.ControlAddr = strings.Clone(r.DataAddr), strings.Clone(r.ControlAddr)
	return &r
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
