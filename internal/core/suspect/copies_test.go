package suspect

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Symptom: a page that all read is refused on all nodes, for an hour after the
// last try, after one burst of requests that crash targets.
// Events: many copies of such a request arrive at all targets at the same moment;
// the popular page is in flight at each. Cause: both were in flight at as many
// crashes as convict, and both were convicted.
func TestPopularRequestBesideManyCopies(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := New(&cfg)
	popular := Fingerprint(10)
	for n := range 6 {
		tr.Merge(0, Report{Crash: crashID(n), InFlight: 3, Fingerprints: []Fingerprint{culprit, popular, Fingerprint(20 + n)}})
	}
	is.Equal(tr.Check(0, popular), Isolate) // as likely as the other: tried alone
	k := tr.Started(popular)
	is.Equal(tr.Check(0, culprit), Busy)
	tr.Ended(0, k, true)
	is.Equal(tr.Check(0, popular), Run)
	is.Equal(tr.Check(0, culprit), Isolate)
	tr.Started(culprit)
	tr.Started(popular)
	_, ok := tr.Crashed(0, crashID(9))
	is.True(ok)
	is.Equal(tr.Check(0, culprit), Refuse)
	is.Equal(tr.Check(0, popular), Run)
}

// burst plays many copies of a request that crashes targets, sent at the same
// moment to all targets of a service, and sent again as soon as they are refused
// or lost, beside requests that many send.
type burst struct {
	t        *rapid.T
	rng      *rand.Rand
	now      time.Duration
	delay    time.Duration // the most that a report takes
	restart  time.Duration // of a target
	nodes    []*site
	mail     []letter
	crashes  int
	third    time.Duration // when the third crash happened
	trial    time.Duration // and the first of a run begun after its reports
	innocent []Fingerprint
}

// site is a target with its node.
type site struct {
	core    *Tracker
	runs    map[Fingerprint]run
	up      time.Duration // when it works again
	restart bool
}

type run struct {
	k     Ticket
	began time.Duration
	ends  time.Duration
}

func (b *burst) begin(s *site, fp Fingerprint, most time.Duration) {
	if _, ok := s.runs[fp]; ok || b.now < s.up {
		return
	}
	switch s.core.Check(b.now, fp) {
	case Run, Isolate:
		ends := b.now + time.Duration(1+b.rng.Int64N(int64(most)))
		s.runs[fp] = run{s.core.Started(fp), b.now, ends}
	case Refuse:
		if fp != culprit {
			b.t.Fatalf("innocent %d refused after %d crashes", fp, b.crashes)
		}
	}
}

func (b *burst) step(node int, s *site) {
	if s.restart && b.now >= s.up {
		s.restart = false
		s.core.Up()
	}
	for _, fp := range append([]Fingerprint{culprit}, b.innocent...) {
		r, ok := s.runs[fp]
		if !ok || b.now < r.ends {
			continue
		}
		if fp == culprit {
			b.crash(node, s, r)
			return
		}
		s.core.Ended(b.now, r.k, true)
		delete(s.runs, fp)
	}
}

func (b *burst) crash(node int, s *site, r run) {
	b.crashes++
	if b.crashes == 3 {
		b.third = b.now
	}
	if b.crashes > 3 && r.began > b.third+b.delay && b.trial == 0 {
		b.trial = b.now
	}
	if b.trial > 0 && r.began > b.trial+b.delay {
		b.t.Fatalf("crash %d by a run begun at %v, the reports of the trial were out by %v", b.crashes, r.began, b.trial+b.delay)
	}
	rep, _ := s.core.Crashed(b.now, CrashID{Target: 1, Incarnation: uint64(b.crashes)})
	for _, r := range s.runs {
		s.core.Ended(b.now, r.k, false)
	}
	clear(s.runs)
	s.up, s.restart = b.now+b.restart, true
	for to := range b.nodes {
		if to != node {
			b.mail = append(b.mail, letter{at: b.now + time.Duration(b.rng.Int64N(int64(b.delay))), to: to, r: rep})
		}
	}
}

func (b *burst) deliver() {
	rest := b.mail[:0]
	for _, m := range b.mail {
		if m.at <= b.now {
			b.nodes[m.to].core.Merge(b.now, m.r)
		} else {
			rest = append(rest, m)
		}
	}
	b.mail = rest
}

// Symptom: as above, or target after target dies as long as copies are sent.
// Events: copies of the request that crashes targets come at the same moment
// through all nodes and again and again, beside popular ones; each takes a while
// until its target dies; reports are late. Cause: none of the copies waits for
// what became of the others.
//
// The bound: copies that begin after the reports of the third crash run alone, and
// none begins after the reports of the first crash of these.
func TestManyCopiesAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		b := &burst{
			t:       t,
			rng:     rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			delay:   200 * time.Millisecond,
			restart: time.Duration(rapid.IntRange(300, 2000).Draw(t, "restart")) * time.Millisecond,
		}
		for n := range rapid.IntRange(0, 3).Draw(t, "innocents") {
			b.innocent = append(b.innocent, Fingerprint(100+n))
		}
		for range rapid.IntRange(2, 10).Draw(t, "targets") {
			b.nodes = append(b.nodes, &site{core: New(&cfg), runs: map[Fingerprint]run{}})
		}
		slow := time.Duration(rapid.IntRange(1, 500).Draw(t, "slow")) * time.Millisecond
		for ; b.now < 30*time.Second; b.now += 10 * time.Millisecond {
			b.deliver()
			for n, s := range b.nodes {
				b.step(n, s)
				for _, fp := range b.innocent {
					b.begin(s, fp, 100*time.Millisecond)
				}
				b.begin(s, culprit, slow)
			}
		}
		if most := 3 + 2*len(b.nodes); b.crashes > most {
			t.Fatalf("%d crashes of %d targets", b.crashes, len(b.nodes))
		}
		for _, s := range b.nodes {
			for _, fp := range b.innocent {
				if v := s.core.Check(b.now, fp); v != Run {
					t.Fatalf("innocent %d still suspected at the end: %s", fp, v)
				}
			}
		}
	})
}
