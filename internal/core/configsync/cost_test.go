package configsync

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

// fullSet returns a set with the given number of services, each with four
// classes and three callees.
func fullSet(services int) configset.Set {
	s := configset.Set{Tenant: "khaosan", Share: 0.5, Version: 1}
	name := func(i int) string { return fmt.Sprintf("service-%d", i%services) }
	for i := range services {
		svc := configset.Service{Name: name(i), Slots: 100 + i%50, Connections: 1000}
		for j := 1; j <= 3; j++ {
			svc.Calls = append(svc.Calls, configset.FullName(name(i+j), s.Tenant))
		}
		for j := range 4 {
			svc.Classes = append(svc.Classes, configset.Class{
				Name: request.Class(fmt.Sprintf("class-%d", j)), Method: "POST", Path: fmt.Sprintf("/resource-%d", j),
				Importance: request.Importance(20 * j), Deadline: time.Second, Attempts: 1, MaxBody: configset.DefaultMaxBody,
			})
		}
		s.Services = append(s.Services, svc)
	}
	return s
}

// BenchmarkParent measures the parent lookup, done once per fetch.
func BenchmarkParent(b *testing.B) {
	for _, n := range []int{100, 1000, 14000} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			peers := manyPeers(n, 1)
			cfg := DefaultConfig()
			order := treeOrdering(configset.Head{Tenant: "khaosan", Version: 7}, 0)
			for b.Loop() {
				order.parent(cfg.Roots, cfg.Fanout, peers[n/2].ID, peers)
			}
		})
	}
}

// BenchmarkTick measures Tick on an idle node.
func BenchmarkTick(b *testing.B) {
	for _, tenants := range []int{2, 100} {
		b.Run(fmt.Sprintf("nodes=14000/tenants=%d", tenants), func(b *testing.B) {
			peers := manyPeers(14000, 3)
			s := New(DefaultConfig(), peers[7], rand.New(rand.NewPCG(1, 1)), 0)
			s.SetPeers(peers, peers, true)
			for i := range tenants {
				s.tenant(request.Tenant(fmt.Sprintf("tenant-%d", i)))
			}
			s.startup.informed = true
			now := time.Duration(0)
			for b.Loop() {
				now += 100 * time.Millisecond
				s.Tick(now)
			}
		})
	}
}

// BenchmarkWhole measures compressing a whole set for a starting node, and the
// memory of a held set and its index.
func BenchmarkWhole(b *testing.B) {
	for _, services := range []int{8, 100, 760} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			p, err := configset.Pack(fullSet(services))
			if err != nil {
				b.Fatal(err)
			}
			idx := configset.NewIndex(p.Set())
			runtime.GC()
			runtime.ReadMemStats(&after)
			x := &tenant{held: p}
			for b.Loop() {
				x.compressedBody = nil
				x.compressed()
			}
			b.ReportMetric(float64(len(x.compressedBody)), "wire-B")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "held-B")
			runtime.KeepAlive(idx)
		})
	}
}
