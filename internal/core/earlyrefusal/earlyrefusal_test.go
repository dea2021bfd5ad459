package earlyrefusal

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

const (
	ms          = time.Millisecond
	feedLevel   = request.Level(20) << 16
	payPriority = request.Priority(90) << 16
)

var archiveKey = Key{Service: "archive.khaosan", Class: "read"}

func newTable() *Table {
	cfg := DefaultConfig()
	return NewTable(&cfg, rand.New(rand.NewPCG(1, 2)))
}

func learnLevels(t *Table, now time.Duration, ls ...request.Level) {
	for i, l := range ls {
		t.Learn(now, archiveKey, Report{Target: request.TargetID(i + 1), Own: l, Slots: 100})
	}
}

func TestServiceLevelQuantile(t *testing.T) {
	tests := []struct {
		name   string
		levels []request.Level
		want   request.Level
	}{
		{"nothing known", nil, 0},
		{"its only target", []request.Level{feedLevel}, feedLevel},
		{"one of four refuses: open", []request.Level{feedLevel, 0, 0, 0}, 0},
		{"one of four admits: closed", []request.Level{0, feedLevel, feedLevel, feedLevel}, feedLevel},
		{"half refuse: the others admit", []request.Level{0, 0, feedLevel, feedLevel}, 0},
		{"all refuse at about the same", []request.Level{feedLevel, feedLevel + 4, feedLevel + 2, feedLevel + 6}, feedLevel + 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tab := newTable()
			learnLevels(tab, 0, tt.levels...)
			is.Equal(tab.Level(0, archiveKey, 0), tt.want)
		})
	}
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	learnLevels(tab, 0, feedLevel, feedLevel)
	v := tab.Check(0, archiveKey, feedLevel-1)
	is.True(v.Refuse)
	is.True(v.RetryAfter >= time.Second && v.RetryAfter < 2*time.Second)
	is.True(!tab.Check(0, archiveKey, payPriority).Refuse) // important requests go on
	refused, probes := 0, 0
	for range 1000 {
		v := tab.Check(0, archiveKey, 0)
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

// Guards against a level that never expires: once callers refuse everything, no call
// brings a new report, and goodput stays low for seconds after the callee has
// recovered.
func TestLevelDecaysWithoutReports(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	const half = feedLevel + 1<<15 // middle of an importance
	learnLevels(tab, 0, half, half)
	is.Equal(tab.Level(250*ms, archiveKey, 0), half)
	is.Equal(tab.Level(625*ms, archiveKey, 0), feedLevel+1<<14) // a quarter of the importance is left
	is.Equal(tab.Level(990*ms, archiveKey, 0).Importance(), feedLevel.Importance())
	is.Equal(tab.Level(time.Second, archiveKey, 0), request.Level(0))
}

// Guards against callers that stop refusing because each of a service's many targets
// reports to them too rarely.
func TestLevelHoldsWithInfrequentReports(t *testing.T) {
	const targets, gap, high = 16, 150 * ms, feedLevel + 0xc000
	is := is.New(t)
	tab := newTable()
	now := time.Duration(0)
	answer := func(i int, level request.Level) {
		now += gap
		tab.Learn(now, archiveKey, Report{Target: request.TargetID(i%targets + 1), Own: level, Slots: 100})
	}
	for i := range 4 * targets {
		answer(i, high)
		if i >= targets {
			is.Equal(tab.Level(now+gap-ms, archiveKey, 0), high) // while responses arrive
		}
	}
	for i := range targets / 2 {
		answer(i, 0)
	}
	is.Equal(tab.Level(now, archiveKey, 0), request.Level(0)) // as soon as some of them admit everything
}

// Guards against callers that detect an overload only when nearly all of a service's
// targets have reported it.
func TestRiseIsKnownAfterFewReports(t *testing.T) {
	const targets, gap = 16, 150 * ms
	is := is.New(t)
	tab := newTable()
	for i := range 2 * targets {
		level := request.Level(0)
		if i >= targets {
			level = feedLevel
		}
		now := time.Duration(i) * gap
		tab.Learn(now, archiveKey, Report{Target: request.TargetID(i%targets + 1), Own: level, Slots: 100})
		if i >= targets+4 {
			is.Equal(tab.Level(now, archiveKey, 0), feedLevel)
		}
	}
}

// Guards against callers that act on short peaks of a level: the callee's level peaks
// while requests admitted earlier still arrive, callers refuse requests although the
// callee has free slots, and the goodput of a deep call chain oscillates.
func TestLevelPeakDoesNotRefuseRequests(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	cfg := DefaultConfig()
	chain := NewChain(&cfg, tab)
	chain.RecordRequest(0, WorkKey{Class: "front"})
	chain.RecordCall(0, WorkKey{Class: "front"}, archiveKey)
	for _, r := range []struct {
		at         time.Duration
		level, low request.Level
	}{
		{0, feedLevel, feedLevel}, {100 * ms, feedLevel + 9, feedLevel}, {260 * ms, feedLevel + 9, feedLevel},
		{520 * ms, feedLevel + 9, feedLevel + 9}, {600 * ms, feedLevel - 1, feedLevel - 1},
	} {
		learnLevels(tab, r.at, r.level, r.level)
		is.Equal(tab.Level(r.at, archiveKey, 0), r.low)
		is.Equal(chain.Level(r.at, WorkKey{Class: "front"}, 0), r.level) // reported upstream unchanged
	}
}

// Guards against one bad target closing a service for a caller: four targets are
// known, but only the bad one reported recently, and ignoring the others would leave
// its level alone.
func TestOneReportingTargetDoesNotRefuseRequests(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	learnLevels(tab, 0, 0, 0, 0, 0)
	learnLevels(tab, 2*time.Second, feedLevel)
	is.Equal(tab.Level(2*time.Second, archiveKey, 0), request.Level(0))
	learnLevels(tab, 6*time.Second, feedLevel) // the others are no longer known
	is.Equal(tab.Level(6*time.Second, archiveKey, 0), feedLevel)
}

func TestChainLevel(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	chain := NewChain(tab.cfg, tab)
	rare := Key{Service: "media.khaosan", Class: "read"}
	for i := range 100 {
		now := time.Duration(i) * ms
		chain.RecordRequest(now, WorkKey{Class: "headlines"})
		chain.RecordCall(now, WorkKey{Class: "headlines"}, archiveKey)
		if i%10 == 0 {
			chain.RecordCall(now, WorkKey{Class: "headlines"}, rare)
		}
	}
	tab.Learn(100*ms, rare, Report{Target: 1, Chain: payPriority})
	is.Equal(chain.Level(100*ms, WorkKey{Class: "headlines"}, 0), request.Level(0)) // few requests need it
	learnLevels(tab, 110*ms, feedLevel, feedLevel)
	is.Equal(chain.Level(110*ms, WorkKey{Class: "headlines"}, 0), feedLevel)
	is.Equal(chain.Level(110*ms, WorkKey{Class: "other"}, 0), request.Level(0))
}

func TestOwnLevelHoldsForAllClasses(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	for i := range 2 {
		tab.Learn(0, archiveKey, Report{Target: request.TargetID(i + 1), Own: feedLevel, Chain: feedLevel * 2})
	}
	other := Key{Service: archiveKey.Service, Class: "search"}
	is.Equal(tab.Level(0, other, 0), feedLevel)
	is.Equal(tab.Level(0, archiveKey, 0), feedLevel*2)
	is.True(tab.Check(0, other, 0).Refuse)
}

// Guards against levels kept by service alone: one tenant floods a shared service,
// which responds with that tenant's high level, and callers refuse the other
// tenant's requests although its share is free.
func TestOwnLevelIsPerTenant(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	flood, other := archiveKey, archiveKey
	flood.Tenant, other.Tenant = "khaosan", "kalahari"
	for i := range 2 {
		tab.Learn(0, flood, Report{Target: request.TargetID(i + 1), Own: feedLevel, Slots: 100})
	}
	is.True(tab.Check(0, flood, feedLevel-1).Refuse)
	is.Equal(tab.Check(0, other, 0), Verdict{})
}

// Guards against one chain level per class for all tenants: one tenant floods a
// store behind a shared service, the store reports a high level for that tenant, and
// callers refuse the other tenant's requests to the service although its share of
// the store is free.
func TestChainLevelIsPerTenant(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	chain := NewChain(tab.cfg, tab)
	for _, tenant := range []request.Tenant{"khaosan", "kalahari"} {
		w, k := WorkKey{Class: "read", Tenant: tenant}, archiveKey
		k.Tenant = tenant
		for range 10 {
			chain.RecordRequest(0, w)
			chain.RecordCall(0, w, k)
		}
		level := request.Level(0)
		if tenant == "khaosan" {
			level = feedLevel
		}
		for i := range 2 {
			tab.Learn(0, k, Report{Target: request.TargetID(i + 1), Own: level, Slots: 100})
		}
	}
	is.Equal(chain.Level(0, WorkKey{Class: "read", Tenant: "khaosan"}, 0), feedLevel)
	is.Equal(chain.Level(0, WorkKey{Class: "read", Tenant: "kalahari"}, 0), request.Level(0))
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
		is.True(len(l.targets) <= 4)
	}
	tab.Forget(request.TargetID(97))
}

func TestAllocs(t *testing.T) {
	tab, chain := newFilledTable()
	now := time.Duration(0)
	n := testing.AllocsPerRun(1000, func() { now = serveRequest(tab, chain, now) })
	if n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func newFilledTable() (*Table, *Chain) {
	tab := newTable()
	chain := NewChain(tab.cfg, tab)
	learnLevels(tab, 0, make([]request.Level, 16)...)
	tab.Level(0, archiveKey, 0)
	chain.RecordRequest(0, WorkKey{Class: "headlines"})
	chain.RecordCall(0, WorkKey{Class: "headlines"}, archiveKey)
	return tab, chain
}

// serveRequest performs the work of one request with one call, with all levels
// recomputed.
func serveRequest(tab *Table, chain *Chain, now time.Duration) time.Duration {
	now += 5 * ms
	chain.RecordRequest(now, WorkKey{Class: "headlines"})
	chain.RecordCall(now, WorkKey{Class: "headlines"}, archiveKey)
	tab.Check(now, archiveKey, payPriority)
	tab.Learn(now, archiveKey, Report{Target: 3, Own: feedLevel, Slots: 100})
	chain.Level(now, WorkKey{Class: "headlines"}, 0)
	return now
}

func BenchmarkRequest(b *testing.B) {
	tab, chain := newFilledTable()
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now = serveRequest(tab, chain, now)
	}
}

func BenchmarkCheck(b *testing.B) {
	tab, _ := newFilledTable()
	b.ReportAllocs()
	for b.Loop() {
		tab.Check(0, archiveKey, payPriority)
	}
}

// Guards against callers that refuse an importance which the callee's targets exempt from
// their level.
func TestExemptImportanceIsNotRefused(t *testing.T) {
	const high, exempt = payPriority + 0x4000, request.Level(70) << 16
	tests := []struct {
		name      string
		exempting int // of four targets
		want      request.Level
	}{
		{"no target", 0, high},
		{"one of four, no more than the quantile", 1, high},
		{"two of four", 2, exempt},
		{"all", 4, exempt},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tab := newTable()
			for i := range 4 {
				r := Report{Target: request.TargetID(i + 1), Own: high, Slots: 100}
				if i < tt.exempting {
					r.Exempt = []request.Level{exempt}
				}
				tab.Learn(0, archiveKey, r)
			}
			chain := NewChain(tab.cfg, tab)
			chain.RecordRequest(0, WorkKey{Class: "front"})
			chain.RecordCall(0, WorkKey{Class: "front"}, archiveKey)
			is.Equal(tab.Level(0, archiveKey, exempt), tt.want)
			is.Equal(chain.Level(0, WorkKey{Class: "front"}, exempt), tt.want)
			is.Equal(tab.Level(0, archiveKey, feedLevel), high) // another importance
			is.Equal(chain.Level(0, WorkKey{Class: "front"}, feedLevel), high)
		})
	}
}

// Guards against an exemption that outlasts the report that carried it.
func TestExemptionEndsWithNextReport(t *testing.T) {
	const exempt = request.Level(70) << 16
	is := is.New(t)
	tab := newTable()
	for i := range 4 {
		tab.Learn(0, archiveKey, Report{Target: request.TargetID(i + 1), Own: payPriority, Exempt: []request.Level{exempt}, Slots: 100})
	}
	is.True(!tab.Check(0, archiveKey, exempt).Refuse)
	learnLevels(tab, 100*ms, payPriority, payPriority, payPriority, payPriority)
	is.True(tab.Check(100*ms, archiveKey, exempt).Refuse)
}
