package scale

import (
	"fmt"
	"slices"
	"time"

	"peardrift/internal/core/member"
)

// Warm is how long a new fleet runs before anything is measured.
const Warm = 10 * time.Second

// New returns a fleet at rest.
func New(cfg member.Config, members int, seed uint64) *Fleet {
	f := NewFleet(cfg, TargetLayout(members), seed)
	f.Run(Warm)
	return f
}

// Churn runs the fleet for d while changes members a day leave and as many join,
// one after another, and returns what it cost.
func (f *Fleet) Churn(d time.Duration, changes int) Cost {
	every := 24 * time.Hour / time.Duration(changes)
	next := f.Now + every/2
	joined := 0
	cost := f.costsWhile(d, func() {
		for ; next <= f.Now; next += every {
			f.replaceOne(joined)
			joined++
		}
	})
	return cost
}

// Heads runs the fleet for d while a new head of some tenant's configuration is
// put every so often, and returns what it cost and how long a head put halfway
// took, or one that replaced it.
func (f *Fleet) Heads(d, every time.Duration, tenants int) (Cost, Spread) {
	start, next, n := f.Now, f.Now, 0
	took := Spread{-1, -1, -1}
	var followed uint64
	var since time.Duration
	c := f.costsWhile(d, func() {
		for ; next <= f.Now; next += every {
			n++
			f.Live().State.PutFact(f.Now, member.Fact{
				Kind: member.ConfigHead, Key: uint64(n % tenants), Version: uint64(n), Value: make([]byte, 40),
			})
			if followed == 0 && f.Now-start >= d/2 {
				followed, since = uint64(n), f.Now
			}
		}
		if followed != 0 {
			f.note(&took, since, KnowsFact(member.ConfigHead, followed%uint64(tenants), followed))
		}
	})
	return c, took
}

// replaceOne makes one member leave, and another join in its place.
func (f *Fleet) replaceOne(i int) {
	old := f.Live()
	old.State.Depart(f.Now)
	f.Run(2 * time.Second)
	old.Down = true
	r := f.Record(len(f.Nodes) + i)
	r.Name = fmt.Sprintf("replacement-%05d", len(f.Nodes))
	f.start(r)
}

// start adds a member that joins through others.
func (f *Fleet) start(r member.Record) *Node {
	r.ID = idOf(r.Name)
	n := f.Add(r)
	var seeds []member.Peer
	for range 3 {
		seeds = append(seeds, member.Peer{ControlAddr: f.joinedNode(n).Rec.ControlAddr})
	}
	n.State.Join(seeds, nil)
	return n
}

func (f *Fleet) joinedNode(except *Node) *Node {
	for {
		if n := f.Live(); n != except && n.State.Joined() {
			return n
		}
	}
}

// SpreadOf holds how long three kinds of news took.
type SpreadOf struct{ Leave, Head, Death Spread }

// Spreads measures how news spreads, several times over; each figure is the
// worst of the trials.
func (f *Fleet) Spreads(trials int, limit time.Duration) SpreadOf {
	var out SpreadOf
	for i := range trials {
		n := f.Live()
		n.State.Leave(f.Now)
		out.Leave.worst(f.Until(limit, Knows(n.Rec.ID, member.Leaving)))
		version := uint64(f.Now)
		f.Live().State.PutFact(f.Now, member.Fact{Kind: member.ConfigHead, Key: 1, Version: version, Value: make([]byte, 16)})
		out.Head.worst(f.Until(limit, KnowsFact(member.ConfigHead, 1, version)))
		n = f.alive(i)
		n.Down = true
		out.Death.worst(f.Until(limit, Knows(n.Rec.ID, member.Unreachable)))
	}
	return out
}

// alive returns a live node that isn't leaving.
func (f *Fleet) alive(from int) *Node {
	for i := from; ; i++ {
		n := f.Nodes[i%len(f.Nodes)]
		if m, _ := n.State.Lookup(n.Rec.ID); !n.Down && m.Status == member.Alive {
			return n
		}
	}
}

func (s *Spread) worst(t Spread) {
	s.Half, s.P99, s.All = later(s.Half, t.Half), later(s.P99, t.P99), later(s.All, t.All)
}

// later returns the greater of two times, where a negative one means never.
func later(a, b time.Duration) time.Duration {
	if a < 0 || b < 0 {
		return -1
	}
	return max(a, b)
}

// Loss is what the loss of a zone at once costs.
type Loss struct {
	Dead   int
	Minute Cost   // the minute after
	Worst  Cost   // the dearest ten seconds of it
	Head   Spread // a configuration head put 15 s after, in the midst of it
	Known  Spread // until all deaths are known to a node
}

// LoseZone ends a zone at once and measures what follows.
func (f *Fleet) LoseZone(zone string, limit time.Duration) Loss {
	dead := f.KillZone(zone)
	l := Loss{Dead: len(dead), Known: Spread{-1, -1, -1}, Head: Spread{-1, -1, -1}}
	start := f.Now
	known := f.watchAll(dead, member.Unreachable, member.Dead)
	const headAt = 15 * time.Second
	l.Minute = f.costsWhile(time.Minute, func() {
		if l.Head.Half < 0 && f.Now-start == headAt {
			f.alive(0).State.PutFact(f.Now, member.Fact{Kind: member.ConfigHead, Key: 1, Version: 1 << 62, Value: make([]byte, 16)})
		}
		if f.Now-start > headAt {
			f.note(&l.Head, start+headAt, KnowsFact(member.ConfigHead, 1, 1<<62))
		}
		f.note(&l.Known, start, known)
	}, &l.Worst)
	for f.Now-start < limit && l.Known.All < 0 {
		f.Run(10 * Step)
		f.note(&l.Known, start, known)
	}
	return l
}

// watchAll tells whether a node holds all the given members to have one of some
// statuses. It remembers how far it got with each node, since asking for all
// again at every step would cost more than the members do.
func (f *Fleet) watchAll(nodes []*Node, want ...member.Status) func(*Node) bool {
	done := make([]int, len(f.Nodes)+len(nodes))
	return func(n *Node) bool {
		i := done[n.index]
		for i < len(nodes) {
			m, ok := n.State.Lookup(nodes[i].Rec.ID)
			if !ok || !slices.Contains(want, m.Status) {
				break
			}
			i++
		}
		done[n.index] = i
		return i == len(nodes)
	}
}

// note records when the shares of nodes that know were first reached.
func (f *Fleet) note(s *Spread, start time.Duration, knows func(*Node) bool) {
	if s.All >= 0 {
		return
	}
	live, known := f.count(knows)
	took := f.Now - start
	for _, q := range []struct {
		at  *time.Duration
		per int
	}{{&s.Half, 500}, {&s.P99, 990}, {&s.All, 1000}} {
		if *q.at < 0 && known*1000 >= live*q.per {
			*q.at = took
		}
	}
}

// Freeze runs the fleet for d with a share of its members frozen at any time,
// for freeze each, and returns how often a live member had to refute its death.
func (f *Fleet) Freeze(d time.Duration, share float64, freeze time.Duration) (falseDeaths int) {
	before := f.refutations()
	frozen := make([]time.Duration, len(f.Nodes))
	const tick = 10 * Step
	for end := f.Now + d; f.Now < end; {
		freezeSome(f.rng, frozen, f.Now, tick, share, freeze)
		for i, n := range f.Nodes {
			n.Frozen = frozen[i]
		}
		f.Run(tick)
	}
	f.Run(20 * time.Second)
	return int(f.refutations() - before)
}

func (f *Fleet) refutations() (n uint64) {
	for _, node := range f.Nodes {
		n += node.State.Stats().Refutations
	}
	return n
}

// Healing is what regions cost that were apart and found each other again.
type Healing struct {
	Deaths  uint64 // members forgotten meanwhile
	Changes int    // changes made meanwhile, on both sides
	Minute  Cost   // the minute after healing
	Worst   Cost   // the dearest ten seconds of it
	Agreed  Spread // until a node knows all that the other side changed
}

// CutRegion separates one region from the others for d, makes changes on both
// sides, and heals it.
func (f *Fleet) CutRegion(region string, d time.Duration, changes int, limit time.Duration) Healing {
	before := f.Deaths()
	f.Cut = func(a, b *Node) bool { return (a.Rec.Region == region) != (b.Rec.Region == region) }
	var left []*Node
	for range changes {
		n := f.alive(f.rng.IntN(len(f.Nodes)))
		n.State.Leave(f.Now)
		left = append(left, n)
		f.Run(d / time.Duration(changes))
	}
	h := Healing{Deaths: f.Deaths() - before, Changes: len(left), Agreed: Spread{-1, -1, -1}}
	f.Cut = nil
	start := f.Now
	knows := f.watchAll(left, member.Leaving)
	h.Minute = f.costsWhile(time.Minute, func() { f.note(&h.Agreed, start, knows) }, &h.Worst)
	for f.Now-start < limit && h.Agreed.All < 0 {
		f.Run(10 * Step)
		f.note(&h.Agreed, start, knows)
	}
	return h
}

// Return is what the return of a lost zone at once costs those that were there.
type Return struct {
	In     Spread // until the returning members were let in
	Known  Spread // until a node that was there holds all of them to be alive
	Minute Cost
	Worst  Cost
}

// ReturnZone starts the nodes that LoseZone ended again, all at once, with their
// old records and a new incarnation.
func (f *Fleet) ReturnZone(limit time.Duration) Return {
	var back []*Node
	for _, n := range f.Nodes[:len(f.Nodes):len(f.Nodes)] {
		if n.Down && f.byAddr[n.Rec.ControlAddr] == n {
			r := n.Rec
			r.Incarnation += 1000
			back = append(back, f.start(r))
		}
	}
	ret := Return{In: Spread{-1, -1, -1}, Known: Spread{-1, -1, -1}}
	start := f.Now
	all := f.watchAll(back, member.Alive)
	first := back[0].index
	knows := func(n *Node) bool { return n.index >= first || all(n) }
	in := func(n *Node) bool { return n.State.Joined() }
	ret.Minute = f.costsWhile(time.Minute, func() {
		f.note(&ret.In, start, in)
		f.note(&ret.Known, start, knows)
	}, &ret.Worst)
	for f.Now-start < limit && ret.Known.All < 0 {
		f.Run(10 * Step)
		f.note(&ret.In, start, in)
		f.note(&ret.Known, start, knows)
	}
	return ret
}

// Joining is how long one new member takes.
type Joining struct {
	In       time.Duration // until a peer has let it in
	Complete time.Duration // until it has the whole state
	Known    Spread        // until the others have its record
	Bytes    int64         // that it spent until complete
}

// JoinOne starts one new member.
func (f *Fleet) JoinOne(limit time.Duration) Joining {
	r := f.Record(len(f.Nodes))
	r.Name = fmt.Sprintf("new-%05d", len(f.Nodes))
	n := f.start(r)
	start := f.Now
	j := Joining{In: -1, Complete: -1, Known: Spread{-1, -1, -1}}
	for f.Now-start < limit && (j.Complete < 0 || j.Known.All < 0) {
		f.Run(5 * Step)
		if j.In < 0 && n.State.Joined() {
			j.In = f.Now - start
		}
		if j.Complete < 0 && n.State.Complete() {
			j.Complete, j.Bytes = f.Now-start, n.Bytes
		}
		f.note(&j.Known, start, knowsRecord(n))
	}
	return j
}

func knowsRecord(of *Node) func(*Node) bool {
	return func(n *Node) bool {
		m, ok := n.State.Lookup(of.Rec.ID)
		return ok && m.Status == member.Alive && m.Record != nil
	}
}
