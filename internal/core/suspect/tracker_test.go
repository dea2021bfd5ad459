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
	for range 3 { // a repeated report doesn't count
		tr.Merge(0, Report{Crash: crashID(1), InFlight: 2, Fingerprints: []Fingerprint{10, culprit}})
	}
	is.Equal(tr.Check(0, culprit), Run)
	tr.Merge(0, Report{Crash: crashID(2), InFlight: 2, Fingerprints: []Fingerprint{culprit, 10}})
	is.Equal(tr.Check(0, culprit), Isolate)
	k := tr.Started(10) // equally suspected until it is answered
	is.Equal(tr.Check(0, culprit), Busy)
	tr.Ended(0, k, true)
	is.Equal(tr.Check(0, Fingerprint(10)), Run) // cleared by one complete answer
	for i := range 2 {                          // repeated reports don't change that
		tr.Merge(0, Report{Crash: crashID(i + 1), InFlight: 2, Fingerprints: []Fingerprint{10}})
	}
	is.Equal(tr.Check(0, Fingerprint(10)), Run)
	is.Equal(tr.Check(0, culprit), Isolate)
	tr.Merge(0, Report{Crash: crashID(3), InFlight: 2, Fingerprints: []Fingerprint{culprit, 11}})
	is.Equal(tr.Check(0, culprit), Refuse)
	is.Equal(tr.Check(0, Fingerprint(11)), Run)
	known, refused := tr.Suspects()
	is.Equal(known, 1) // the other one's crashes are explained
	is.Equal(refused, 1)
	is.Equal(tr.Check(59*time.Minute, culprit), Refuse)
	is.Equal(tr.Check(118*time.Minute, culprit), Refuse) // seen again within RefusedTTL
	is.Equal(tr.Check(178*time.Minute, culprit), Run)
}

func TestRefusedAfterTwoCrashesAlone(t *testing.T) {
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

// Guards against refusing a popular request because its failures on pooled connections,
// while a crashed target restarts, are counted as separate crashes.
func TestFailuresWhileDownAreNotCrashes(t *testing.T) {
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
	is.True(!tr.Down()) // a complete answer shows that the target works
	tr.Started(culprit)
	_, ok = tr.Crashed(0, crashID(9))
	is.True(ok)
}

func TestSuspectExpires(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := New(&cfg)
	for i := range 2 {
		tr.Merge(0, Report{Crash: crashID(i), InFlight: 9, Fingerprints: []Fingerprint{culprit}})
	}
	is.Equal(tr.Check(cfg.SuspectTTL-1, culprit), Isolate)
	is.Equal(tr.Check(cfg.SuspectTTL, culprit), Run)
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
	is.Equal(tr.Check(0, culprit), Refuse) // refused entries are kept
}

// cluster is several nodes of a service whose reports arrive late, reordered and
// duplicated.
type cluster struct {
	t          *rapid.T
	now        time.Duration
	delay      time.Duration // the most that a report takes
	nodes      []*Tracker
	pending    []delivery
	crashes    int
	thirdCrash time.Duration // when the third crash happened
}

type delivery struct {
	at time.Duration
	to int
	r  Report
}

func (c *cluster) crash(node int) {
	c.crashes++
	if c.crashes == 3 {
		c.thirdCrash = c.now
	}
	r, _ := c.nodes[node].Crashed(c.now, CrashID{Target: 1, Incarnation: uint64(c.crashes)})
	c.nodes[node].Up() // restarted at once
	for to := range c.nodes {
		for range rapid.IntRange(1, 2).Draw(c.t, "copies") {
			late := time.Duration(rapid.Int64Range(0, int64(c.delay)).Draw(c.t, "delay"))
			c.pending = append(c.pending, delivery{at: c.now + late, to: to, r: r})
		}
	}
}

func (c *cluster) deliver() {
	rest := c.pending[:0]
	for _, m := range c.pending {
		if m.at <= c.now {
			c.nodes[m.to].Merge(c.now, m.r)
		} else {
			rest = append(rest, m)
		}
	}
	c.pending = rest
}

// send sends the crashing request through a node and crashes its target if it runs.
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

// Guards against an unbounded number of crashes when a caller resends a crashing
// request at any rate through any node, while reports are late and duplicated. A node
// alone sees only the crashes of its own target.
func TestCrashesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range 60 {
			c.now += time.Duration(rapid.Int64Range(0, int64(c.delay)).Draw(t, "pause"))
			c.deliver()
			before := c.crashes
			c.send(rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node"))
			if c.crashes > before && c.crashes > 3 && c.now > c.thirdCrash+c.delay {
				t.Fatalf("crash %d at %v; the third was at %v", c.crashes, c.now, c.thirdCrash)
			}
		}
	})
}

// Guards against refusing requests that were in flight beside the culprit. The caller
// waits for the failure and the reports; other requests, some of them long, are lost
// with the target and resent.
func TestInnocentRequestsNotRefused(t *testing.T) {
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
	is.Equal(FingerprintOf(&base), FingerprintOf(&base))
	for _, edit := range []func(*Content){
		func(c *Content) { c.Tenant, c.Service = "as", "" },
		func(c *Content) { c.URI = "/x?z" },
		func(c *Content) { c.Body = []byte("abd") },
		func(c *Content) { c.Size = 4 },
	} {
		c := base
		edit(&c)
		is.True(FingerprintOf(&c) != FingerprintOf(&base))
	}
}

func runRequest(tr *Tracker, c *Content) {
	fp := FingerprintOf(c)
	tr.Check(0, fp)
	tr.Ended(0, tr.Started(fp), true)
}

func TestAllocs(t *testing.T) {
	cfg := DefaultConfig()
	tr := New(&cfg)
	c := Content{Tenant: "a", Service: "s", Method: "GET", URI: "/x?y"}
	if n := testing.AllocsPerRun(100, func() { runRequest(tr, &c) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func BenchmarkRequest(b *testing.B) {
	cfg := DefaultConfig()
	tr := New(&cfg)
	c := Content{Tenant: "a", Service: "s", Method: "GET", URI: "/headlines?since=1"}
	b.ReportAllocs()
	for b.Loop() {
		runRequest(tr, &c)
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
