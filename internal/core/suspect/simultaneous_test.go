package suspect

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against refusing a popular request, for an hour after its last attempt, that
// is in flight at all targets when copies of a crashing request hit them at the same
// moment. Both are then in flight at the same MaxCrashes crashes.
func TestPopularRequestBesideSimultaneousCopies(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := New(&cfg)
	popular := Fingerprint(10)
	for n := range 6 {
		tr.Merge(0, Report{Crash: crashID(n), InFlight: 3, Fingerprints: []Fingerprint{culprit, popular, Fingerprint(20 + n)}})
	}
	is.Equal(tr.Check(0, popular), Isolate) // equally suspected, so isolated
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

// burst simulates many copies of a crashing request, sent at the same moment to all
// targets of a service and resent as soon as they are refused or lost, beside popular
// requests.
type burst struct {
	t             *rapid.T
	rng           *rand.Rand
	now           time.Duration
	delay         time.Duration // the most that a report takes
	restart       time.Duration // of a target
	nodes         []*targetNode
	pending       []delivery
	crashes       int
	thirdCrash    time.Duration // when the third crash happened
	isolatedCrash time.Duration // first crash of a run started after the reports of the third
	innocent      []Fingerprint
}

// targetNode is a target with its node.
type targetNode struct {
	tracker    *Tracker
	runs       map[Fingerprint]execution
	upAt       time.Duration // when the target works again
	restarting bool
}

type execution struct {
	k         Ticket
	startedAt time.Duration
	endsAt    time.Duration
}

func (b *burst) begin(s *targetNode, fp Fingerprint, most time.Duration) {
	if _, ok := s.runs[fp]; ok || b.now < s.upAt {
		return
	}
	switch s.tracker.Check(b.now, fp) {
	case Run, Isolate:
		ends := b.now + time.Duration(1+b.rng.Int64N(int64(most)))
		s.runs[fp] = execution{s.tracker.Started(fp), b.now, ends}
	case Refuse:
		if fp != culprit {
			b.t.Fatalf("innocent %d refused after %d crashes", fp, b.crashes)
		}
	}
}

func (b *burst) step(node int, s *targetNode) {
	if s.restarting && b.now >= s.upAt {
		s.restarting = false
		s.tracker.Up()
	}
	for _, fp := range append([]Fingerprint{culprit}, b.innocent...) {
		r, ok := s.runs[fp]
		if !ok || b.now < r.endsAt {
			continue
		}
		if fp == culprit {
			b.crash(node, s, r)
			return
		}
		s.tracker.Ended(b.now, r.k, true)
		delete(s.runs, fp)
	}
}

func (b *burst) crash(node int, s *targetNode, r execution) {
	b.crashes++
	if b.crashes == 3 {
		b.thirdCrash = b.now
	}
	if b.crashes > 3 && r.startedAt > b.thirdCrash+b.delay && b.isolatedCrash == 0 {
		b.isolatedCrash = b.now
	}
	if b.isolatedCrash > 0 && r.startedAt > b.isolatedCrash+b.delay {
		b.t.Fatalf("crash %d by a run started at %v; reports of the isolated crash arrived by %v", b.crashes, r.startedAt, b.isolatedCrash+b.delay)
	}
	rep, _ := s.tracker.Crashed(b.now, CrashID{Target: 1, Incarnation: uint64(b.crashes)})
	for _, r := range s.runs {
		s.tracker.Ended(b.now, r.k, false)
	}
	clear(s.runs)
	s.upAt, s.restarting = b.now+b.restart, true
	for to := range b.nodes {
		if to != node {
			b.pending = append(b.pending, delivery{at: b.now + time.Duration(b.rng.Int64N(int64(b.delay))), to: to, r: rep})
		}
	}
}

func (b *burst) deliver() {
	rest := b.pending[:0]
	for _, m := range b.pending {
		if m.at <= b.now {
			b.nodes[m.to].tracker.Merge(b.now, m.r)
		} else {
			rest = append(rest, m)
		}
	}
	b.pending = rest
}

// Guards against target after target crashing while copies of a crashing request arrive
// at the same moment, through all nodes and repeatedly, beside popular requests. Each
// copy takes a while to crash its target, and reports are late.
//
// Copies that start after the reports of the third crash run in isolation, and none
// starts after the reports of the first crash of these.
func TestSimultaneousCopies(t *testing.T) {
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
			b.nodes = append(b.nodes, &targetNode{tracker: New(&cfg), runs: map[Fingerprint]execution{}})
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
				if v := s.tracker.Check(b.now, fp); v != Run {
					t.Fatalf("innocent %d is still suspected at the end: %s", fp, v)
				}
			}
		}
	})
}
