package early

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

const (
	ms   = time.Millisecond
	feed = request.Level(20) << 16
	pay  = request.Priority(90) << 16
)

var archive = Key{Service: "archive.khaosan", Class: "read"}

func newTable() *Table {
	cfg := DefaultConfig()
	return NewTable(&cfg, rand.New(rand.NewPCG(1, 2)))
}

func learn(t *Table, now time.Duration, ls ...request.Level) {
	for i, l := range ls {
		t.Learn(now, archive, Report{Target: request.TargetID(i + 1), Own: l, Slots: 100})
	}
}

func TestLevelOfService(t *testing.T) {
	tests := []struct {
		name   string
		levels []request.Level
		want   request.Level
	}{
		{"nothing known", nil, 0},
		{"its only target", []request.Level{feed}, feed},
		{"one of four shuts nothing", []request.Level{feed, 0, 0, 0}, 0},
		{"one of four opens nothing", []request.Level{0, feed, feed, feed}, feed},
		{"half refuse: the others take it", []request.Level{0, 0, feed, feed}, 0},
		{"all refuse at about the same", []request.Level{feed, feed + 4, feed + 2, feed + 6}, feed + 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tab := newTable()
			learn(tab, 0, tt.levels...)
			is.Equal(tab.Level(0, archive), tt.want)
		})
	}
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	learn(tab, 0, feed, feed)
	v := tab.Check(0, archive, feed-1)
	is.True(v.Refuse)
	is.True(v.RetryAfter >= time.Second && v.RetryAfter < 2*time.Second)
	is.True(!tab.Check(0, archive, pay).Refuse) // important requests go on
	refused, probes := 0, 0
	for range 1000 {
		v := tab.Check(0, archive, 0)
		if v.Refuse {
			refused++
		}
		if v.Probe {
			probes++
		}
	}
	is.Equal(refused+probes, 1000)
	is.True(probes >= 9 && probes <= 11)
}

// Symptom: goodput stays low for seconds after the callee has recovered.
// Events: the callee's last answers carried a high level, then no more calls
// are sent, since all would be refused. Cause: the level was held for good.
func TestLevelAgesOut(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	const half = feed + 1<<15 // in the middle of an importance
	learn(tab, 0, half, half)
	is.Equal(tab.Level(250*ms, archive), half)
	is.Equal(tab.Level(625*ms, archive), feed+1<<14) // a quarter of the importance is left
	is.Equal(tab.Level(990*ms, archive).Importance(), feed.Importance())
	is.Equal(tab.Level(time.Second, archive), request.Level(0))
}

// Symptom: goodput of a deep chain swings, and callers refuse requests while the
// callee has free slots. Events: the callee's level peaks for a moment, since
// what was admitted above still comes in. Cause: callers went by the peak.
// Guards against callers that open a service since each of its many targets answers
// them too seldom.
func TestSeldomHeardTargetsKeepTheServiceClosed(t *testing.T) {
	const targets, gap, high = 16, 150 * ms, feed + 0xc000
	is := is.New(t)
	tab := newTable()
	now := time.Duration(0)
	answer := func(i int, level request.Level) {
		now += gap
		tab.Learn(now, archive, Report{Target: request.TargetID(i%targets + 1), Own: level, Slots: 100})
	}
	for i := range 4 * targets {
		answer(i, high)
		if i >= targets {
			is.Equal(tab.Level(now+gap-ms, archive), high) // while answers go on
		}
	}
	for i := range targets / 2 {
		answer(i, 0)
	}
	is.Equal(tab.Level(now, archive), request.Level(0)) // as soon as a part of them takes all
}

// Guards against callers that learn of an overload only when nearly all of a service's
// targets have reported it.
func TestARiseIsKnownAfterAFewReports(t *testing.T) {
	const targets, gap = 16, 150 * ms
	is := is.New(t)
	tab := newTable()
	for i := range 2 * targets {
		level := request.Level(0)
		if i >= targets {
			level = feed
		}
		now := time.Duration(i) * gap
		tab.Learn(now, archive, Report{Target: request.TargetID(i%targets + 1), Own: level, Slots: 100})
		if i >= targets+4 {
			is.Equal(tab.Level(now, archive), feed)
		}
	}
}

func TestPeakOfLevelIsNotHeldAgainstRequests(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	cfg := DefaultConfig()
	chain := NewChain(&cfg, tab)
	chain.Served(0, Work{Class: "front"})
	chain.Used(0, Work{Class: "front"}, archive)
	for _, r := range []struct {
		at         time.Duration
		level, low request.Level
	}{
		{0, feed, feed}, {100 * ms, feed + 9, feed}, {260 * ms, feed + 9, feed},
		{520 * ms, feed + 9, feed + 9}, {600 * ms, feed - 1, feed - 1},
	} {
		learn(tab, r.at, r.level, r.level)
		is.Equal(tab.Level(r.at, archive), r.low)
		is.Equal(chain.Level(r.at, Work{Class: "front"}), r.level) // passed on as it is
	}
}

// Symptom: a service is shut for a caller by one bad target.
// Events: four targets are known, only the bad one was heard of lately.
// Cause: the levels of those not heard of were left out.
func TestOneTargetHeardShutsNothing(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	learn(tab, 0, 0, 0, 0, 0)
	learn(tab, 2*time.Second, feed)
	is.Equal(tab.Level(2*time.Second, archive), request.Level(0))
	learn(tab, 6*time.Second, feed) // the others are gone by now
	is.Equal(tab.Level(6*time.Second, archive), feed)
}

func TestChainLevel(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	chain := NewChain(tab.cfg, tab)
	rare := Key{Service: "media.khaosan", Class: "read"}
	for i := range 100 {
		now := time.Duration(i) * ms
		chain.Served(now, Work{Class: "headlines"})
		chain.Used(now, Work{Class: "headlines"}, archive)
		if i%10 == 0 {
			chain.Used(now, Work{Class: "headlines"}, rare)
		}
	}
	tab.Learn(100*ms, rare, Report{Target: 1, Chain: pay})
	is.Equal(chain.Level(100*ms, Work{Class: "headlines"}), request.Level(0)) // few requests need it
	learn(tab, 110*ms, feed, feed)
	is.Equal(chain.Level(110*ms, Work{Class: "headlines"}), feed)
	is.Equal(chain.Level(110*ms, Work{Class: "other"}), request.Level(0))
}

func TestOwnLevelHoldsForAllClasses(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	for i := range 2 {
		tab.Learn(0, archive, Report{Target: request.TargetID(i + 1), Own: feed, Chain: feed * 2})
	}
	other := Key{Service: archive.Service, Class: "search"}
	is.Equal(tab.Level(0, other), feed)
	is.Equal(tab.Level(0, archive), feed*2)
	is.True(tab.Check(0, other, 0).Refuse)
}

// Symptom: one tenant floods a shared service; requests of the other tenant are
// refused by callers although its share is free. Events: the service answers
// the flood with that tenant's high level, and the other tenant's next request
// is checked. Cause: levels kept by service alone.
func TestOwnLevelIsATenants(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	flood, other := archive, archive
	flood.Tenant, other.Tenant = "khaosan", "kalahari"
	for i := range 2 {
		tab.Learn(0, flood, Report{Target: request.TargetID(i + 1), Own: feed, Slots: 100})
	}
	is.True(tab.Check(0, flood, feed-1).Refuse)
	is.Equal(tab.Check(0, other, 0), Verdict{})
}

// Symptom: one tenant floods a store that a shared service calls; the other's
// requests to the service are refused by callers although its share of the store
// is free. Events: the service serves both tenants' requests of one class, and the
// store answers the flood's with a high level. Cause: the service reported one
// level of the chain for the class, whoever asked.
func TestChainLevelIsATenants(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	chain := NewChain(tab.cfg, tab)
	for _, tenant := range []request.Tenant{"khaosan", "kalahari"} {
		w, k := Work{Class: "read", Tenant: tenant}, archive
		k.Tenant = tenant
		for range 10 {
			chain.Served(0, w)
			chain.Used(0, w, k)
		}
		level := request.Level(0)
		if tenant == "khaosan" {
			level = feed
		}
		for i := range 2 {
			tab.Learn(0, k, Report{Target: request.TargetID(i + 1), Own: level, Slots: 100})
		}
	}
	is.Equal(chain.Level(0, Work{Class: "read", Tenant: "khaosan"}), feed)
	is.Equal(chain.Level(0, Work{Class: "read", Tenant: "kalahari"}), request.Level(0))
}

func TestBounds(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	tab.cfg.MaxTargets, tab.cfg.MaxKeys = 4, 2
	for i := range 100 {
		k := Key{Service: request.Service(string(rune('a' + i%5)))}
		tab.Learn(time.Duration(i), k, Report{Target: request.TargetID(i + 1)})
	}
	is.Equal(len(tab.keys), 2)
	for _, l := range tab.keys {
		is.True(len(l.heard) <= 4)
	}
	tab.Forget(request.TargetID(97))
}

func TestAllocs(t *testing.T) {
	tab, chain := filled()
	now := time.Duration(0)
	n := testing.AllocsPerRun(1000, func() { now = serve(tab, chain, now) })
	if n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func filled() (*Table, *Chain) {
	tab := newTable()
	chain := NewChain(tab.cfg, tab)
	learn(tab, 0, make([]request.Level, 16)...)
	tab.Level(0, archive)
	chain.Served(0, Work{Class: "headlines"})
	chain.Used(0, Work{Class: "headlines"}, archive)
	return tab, chain
}

// serve is what one request with one call costs, with each level worked out anew.
func serve(tab *Table, chain *Chain, now time.Duration) time.Duration {
	now += 5 * ms
	chain.Served(now, Work{Class: "headlines"})
	chain.Used(now, Work{Class: "headlines"}, archive)
	tab.Check(now, archive, pay)
	tab.Learn(now, archive, Report{Target: 3, Own: feed, Slots: 100})
	chain.Level(now, Work{Class: "headlines"})
	return now
}

func BenchmarkRequest(b *testing.B) {
	tab, chain := filled()
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now = serve(tab, chain, now)
	}
}

func BenchmarkCheck(b *testing.B) {
	tab, _ := filled()
	b.ReportAllocs()
	for b.Loop() {
		tab.Check(0, archive, pay)
	}
}
