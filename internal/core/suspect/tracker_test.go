package suspect

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const culprit = Fingerprint(1)

func crashID(n int) CrashID { return CrashID{Target: 7, Incarnation: uint64(n)} }

func TestRefusedAfterMaxCrashes(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := New(&cfg)
	is.Equal(tr.Check(0, culprit), Run)
	tr.Merge(0, Report{Crash: crashID(1), InFlight: 2, Fingerprints: []Fingerprint{culprit, 10}})
	is.Equal(tr.Check(0, culprit), Run)
	for range 3 { // the same crash again doesn't count
		tr.Merge(0, Report{Crash: crashID(1), InFlight: 2, Fingerprints: []Fingerprint{10, culprit}})
	}
	is.Equal(tr.Check(0, culprit), Run)
	tr.Merge(0, Report{Crash: crashID(2), InFlight: 2, Fingerprints: []Fingerprint{culprit, 10}})
	is.Equal(tr.Check(0, culprit), Isolate)
	k := tr.Started(10) // equally suspected until it ends
	is.Equal(tr.Check(0, culprit), Busy)
	tr.Ended(0, k, true)
	is.Equal(tr.Check(0, Fingerprint(10)), Run) // cleared by one whole answer
	for i := range 2 {                          // and stays so if the reports come again
		tr.Merge(0, Report{Crash: crashID(i + 1), InFlight: 2, Fingerprints: []Fingerprint{10}})
	}
	is.Equal(tr.Check(0, Fingerprint(10)), Run)
	is.Equal(tr.Check(0, culprit), Isolate)
	tr.Merge(0, Report{Crash: crashID(3), InFlight: 2, Fingerprints: []Fingerprint{culprit, 11}})
	is.Equal(tr.Check(0, culprit), Refuse)
	is.Equal(tr.Check(0, Fingerprint(11)), Run)
	known, refused := tr.Suspects()
	is.Equal(known, 1) // the one beside it was explained away
	is.Equal(refused, 1)
	is.Equal(tr.Check(59*time.Minute, culprit), Refuse)
	is.Equal(tr.Check(118*time.Minute, culprit), Refuse) // seen again within Remember
	is.Equal(tr.Check(178*time.Minute, culprit), Run)
}

func TestAloneAtTwoCrashes(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := New(&cfg)
	for i := range 2 {
		k := tr.Started(culprit)
		r, ok := tr.Crashed(0, crashID(i))
		is.True(ok)
		is.Equal(r.InFlight, 1)
		tr.Ended(0, k, false)
		tr.Up()
	}
	is.Equal(tr.Check(0, culprit), Refuse)
	_, ok := tr.Crashed(0, crashID(3))
	is.True(!ok) // nothing was in flight
}

// Symptom: all nodes refuse a request that many callers send.
// Events: a target dies; until it has restarted, requests break on connections
// that were pooled. Cause: each break was counted as a crash of its own.
func TestBreaksWhileDownBlameNobody(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := New(&cfg)
	popular := Fingerprint(10)
	tr.Started(culprit)
	_, ok := tr.Crashed(0, crashID(1))
	is.True(ok)
	for i := range 5 {
		k := tr.Started(popular)
		_, ok := tr.Crashed(0, crashID(2+i))
		is.True(!ok)
		tr.Ended(0, k, false)
	}
	is.Equal(tr.Check(0, popular), Run)
	k := tr.Started(popular)
	is.True(tr.Down())
	tr.Ended(0, k, true)
	is.True(!tr.Down()) // a whole answer shows that it works
	tr.Started(culprit)
	_, ok = tr.Crashed(0, crashID(9))
	is.True(ok)
}

func TestForgets(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := New(&cfg)
	for i := range 2 {
		tr.Merge(0, Report{Crash: crashID(i), InFlight: 9, Fingerprints: []Fingerprint{culprit}})
	}
	is.Equal(tr.Check(cfg.Forget-1, culprit), Isolate)
	is.Equal(tr.Check(cfg.Forget, culprit), Run)
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.MaxEntries = 100
	tr := New(&cfg)
	for i := range 3 {
		tr.Merge(0, Report{Crash: crashID(-i), InFlight: 9, Fingerprints: []Fingerprint{culprit}})
	}
	for i := range 1000 {
		r := Report{Crash: crashID(i)}
		for j := range 20 {
			r.Fingerprints = append(r.Fingerprints, Fingerprint(100+i*20+j))
		}
		tr.Merge(time.Duration(i), r)
	}
	is.True(len(tr.entries) <= 100)
	counted := 0
	for _, c := range tr.crashes {
		counted += len(c.counted)
	}
	is.True(counted <= maxCounted*100)
	is.Equal(tr.Check(0, culprit), Refuse) // what matters most is kept
}

// cluster is several nodes of a service whose reports arrive late, in any order
// and more than once.
type cluster struct {
	t       *rapid.T
	now     time.Duration
	delay   time.Duration // the most that a report takes
	nodes   []*Tracker
	mail    []letter
	crashes int
	guilty  time.Duration // when the third crash happened
}

type letter struct {
	at time.Duration
	to int
	r  Report
}

func (c *cluster) crash(node int) {
	c.crashes++
	if c.crashes == 3 {
		c.guilty = c.now
	}
	r, _ := c.nodes[node].Crashed(c.now, CrashID{Target: 1, Incarnation: uint64(c.crashes)})
	c.nodes[node].Up() // restarted at once
	for to := range c.nodes {
		for range rapid.IntRange(1, 2).Draw(c.t, "copies") {
			late := time.Duration(rapid.Int64Range(0, int64(c.delay)).Draw(c.t, "delay"))
			c.mail = append(c.mail, letter{at: c.now + late, to: to, r: r})
		}
	}
}

func (c *cluster) deliver() {
	rest := c.mail[:0]
	for _, m := range c.mail {
		if m.at <= c.now {
			c.nodes[m.to].Merge(c.now, m.r)
		} else {
			rest = append(rest, m)
		}
	}
	c.mail = rest
}

// send has the caller send the request to a node; it takes the target with it.
func (c *cluster) send(node int) Verdict {
	v := c.nodes[node].Check(c.now, culprit)
	if v == Run || v == Isolate {
		c.nodes[node].Started(culprit)
		c.crash(node)
	}
	return v
}

func newCluster(t *rapid.T) *cluster {
	cfg := DefaultConfig()
	c := &cluster{t: t, delay: time.Second}
	for range rapid.IntRange(1, 5).Draw(t, "nodes") {
		c.nodes = append(c.nodes, New(&cfg))
	}
	return c
}

// Symptom: target after target dies, whatever is restarted.
// Events: a caller sends the request that crashes targets again and again, as
// fast as it likes and through any node; reports are late and doubled.
// Cause: each node alone counts only its own target's crashes.
func TestCrashesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range 60 {
			c.now += time.Duration(rapid.Int64Range(0, int64(c.delay)).Draw(t, "pause"))
			c.deliver()
			before := c.crashes
			c.send(rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node"))
			if c.crashes > before && c.crashes > 3 && c.now > c.guilty+c.delay {
				t.Fatalf("crash %d at %v, third was at %v", c.crashes, c.now, c.guilty)
			}
		}
	})
}

// Symptom: requests that were in flight beside the culprit are refused.
// Events: as above, but the caller waits for the failure and the reports; other
// requests run beside it, are lost with the target and sent again, some of them
// long ones. Cause: all in flight at a crash look alike.
func TestInnocentsAreNotRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		running := make([]map[Fingerprint]Ticket, len(c.nodes))
		for i := range running {
			running[i] = map[Fingerprint]Ticket{}
		}
		for range 100 {
			c.now += c.delay
			c.deliver()
			node := rng.IntN(len(c.nodes))
			for range rng.IntN(8) {
				innocentStep(t, c, rng, node, running[node])
			}
			if rng.IntN(3) == 0 {
				before := c.crashes
				c.send(node)
				if c.crashes > before {
					clear(running[node])
				}
			}
		}
		if c.crashes > 3 {
			t.Fatalf("%d crashes", c.crashes)
		}
	})
}

func innocentStep(t *rapid.T, c *cluster, rng *rand.Rand, node int, running map[Fingerprint]Ticket) {
	fp := Fingerprint(100 + rng.IntN(12))
	tr := c.nodes[node]
	if k, ok := running[fp]; ok {
		tr.Ended(c.now, k, true)
		delete(running, fp)
		return
	}
	switch v := tr.Check(c.now, fp); v {
	case Refuse:
		t.Fatalf("innocent %d refused after %d crashes", fp, c.crashes)
	case Run, Isolate:
		running[fp] = tr.Started(fp)
	}
}

func TestFingerprint(t *testing.T) {
	is := is.New(t)
	base := Content{Tenant: "a", Service: "s", Method: "GET", URI: "/x?y", Size: 3, Body: []byte("abc")}
	is.Equal(Of(&base), Of(&base))
	for _, edit := range []func(*Content){
		func(c *Content) { c.Tenant, c.Service = "as", "" },
		func(c *Content) { c.URI = "/x?z" },
		func(c *Content) { c.Body = []byte("abd") },
		func(c *Content) { c.Size = 4 },
	} {
		c := base
		edit(&c)
		is.True(Of(&c) != Of(&base))
	}
}

func usual(tr *Tracker, c *Content) {
	fp := Of(c)
	tr.Check(0, fp)
	tr.Ended(0, tr.Started(fp), true)
}

func TestAllocs(t *testing.T) {
	cfg := DefaultConfig()
	tr := New(&cfg)
	c := Content{Tenant: "a", Service: "s", Method: "GET", URI: "/x?y"}
	if n := testing.AllocsPerRun(100, func() { usual(tr, &c) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func BenchmarkRequest(b *testing.B) {
	cfg := DefaultConfig()
	tr := New(&cfg)
	c := Content{Tenant: "a", Service: "s", Method: "GET", URI: "/headlines?since=1"}
	b.ReportAllocs()
	for b.Loop() {
		usual(tr, &c)
	}
}

func BenchmarkMerge(b *testing.B) {
	cfg := DefaultConfig()
	tr := New(&cfg)
	r := Report{InFlight: 200}
	for i := range 200 {
		r.Fingerprints = append(r.Fingerprints, Fingerprint(i+1))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Crash = crashID(i)
		tr.Merge(time.Duration(i)*time.Second, r)
	}
}
