package scale

import (
	"fmt"
	"slices"
	"time"

	"peardrift/internal/core/member"
)

// WarmUp is the time that a new fleet runs before measurements.
const WarmUp = 10 * time.Second

// New returns a fleet that has run for WarmUp.
func New(cfg member.Config, members int, seed uint64) *Fleet {
	f := NewFleet(cfg, TargetLayout(members), seed)
	f.Run(WarmUp)
	return f
}

// Churn runs the fleet for d and returns its cost, while members are replaced one after
// another at a rate of changes per day.
func (f *Fleet) Churn(d time.Duration, changes int) Cost {
	every := 24 * time.Hour / time.Duration(changes)
	next := f.Now + every/2
	joined := 0
	cost := f.measureCosts(d, func() {
		for ; next <= f.Now; next += every {
			f.replaceMember(joined)
			joined++
		}
	})
	return cost
}

// Heads runs the fleet for d while a new configuration head of one of the tenants is put
// per interval every. It returns the cost, and how long a head put halfway through, or a
// newer one of the same tenant, took to spread.
func (f *Fleet) Heads(d, every time.Duration, tenants int) (Cost, Spread) {
	start, next, n := f.Now, f.Now, 0
	took := Spread{-1, -1, -1}
	var followed uint64
	var since time.Duration
	c := f.measureCosts(d, func() {
		for ; next <= f.Now; next += every {
			n++
			f.RandomLive().State.PutFact(f.Now, member.Fact{
				Kind: member.ConfigHead, Key: uint64(n % tenants), Version: uint64(n), Value: make([]byte, 40),
			})
			if followed == 0 && f.Now-start >= d/2 {
				followed, since = uint64(n), f.Now
			}
		}
		if followed != 0 {
			f.recordSpread(&took, since, KnowsFact(member.ConfigHead, followed%uint64(tenants), followed))
		}
	})
	return c, took
}

// replaceMember makes one member leave and another one join in its place.
func (f *Fleet) replaceMember(i int) {
	old := f.RandomLive()
	old.State.Depart(f.Now)
	f.Run(2 * time.Second)
	old.Down = true
	r := f.Record(len(f.Nodes) + i)
	r.Name = fmt.Sprintf("replacement-%05d", len(f.Nodes))
	f.startMember(r)
}

// startMember adds a member that joins through three seed nodes.
func (f *Fleet) startMember(r member.Record) *Node {
	r.ID = idOf(r.Name)
	n := f.Add(r)
	var seeds []member.Peer
	for range 3 {
		seeds = append(seeds, member.Peer{ControlAddr: f.randomJoinedNode(n).Record.ControlAddr})
	}
	n.State.Join(seeds, nil)
	return n
}

func (f *Fleet) randomJoinedNode(except *Node) *Node {
	for {
		if n := f.RandomLive(); n != except && n.State.Joined() {
			return n
		}
	}
}

// UpdateSpreads holds the spread of three kinds of updates.
type UpdateSpreads struct{ Leave, Head, Death Spread }

// Spreads measures how fast a leave, a configuration head and a death spread. Each figure
// is the worst of the trials.
func (f *Fleet) Spreads(trials int, limit time.Duration) UpdateSpreads {
	var out UpdateSpreads
	for i := range trials {
		n := f.RandomLive()
		n.State.Leave(f.Now)
		out.Leave.mergeWorst(f.Until(limit, Knows(n.Record.ID, member.Leaving)))
		version := uint64(f.Now)
		f.RandomLive().State.PutFact(f.Now, member.Fact{Kind: member.ConfigHead, Key: 1, Version: version, Value: make([]byte, 16)})
		out.Head.mergeWorst(f.Until(limit, KnowsFact(member.ConfigHead, 1, version)))
		n = f.nextAlive(i)
		n.Down = true
		out.Death.mergeWorst(f.Until(limit, Knows(n.Record.ID, member.Unreachable)))
	}
	return out
}

// nextAlive returns the first live node from an index on that isn't leaving.
func (f *Fleet) nextAlive(from int) *Node {
	for i := from; ; i++ {
		n := f.Nodes[i%len(f.Nodes)]
		if m, _ := n.State.Lookup(n.Record.ID); !n.Down && m.Status == member.Alive {
			return n
		}
	}
}

func (s *Spread) mergeWorst(t Spread) {
	s.Half, s.P99, s.All = maxOrNever(s.Half, t.Half), maxOrNever(s.P99, t.P99), maxOrNever(s.All, t.All)
}

// maxOrNever returns the greater of two times, where a negative time means never.
func maxOrNever(a, b time.Duration) time.Duration {
	if a < 0 || b < 0 {
		return -1
	}
	return max(a, b)
}

// ZoneLoss holds the cost of losing a whole zone at once.
type ZoneLoss struct {
	Dead   int
	Minute Cost   // over the minute after the loss
	Peak   Cost   // the ten seconds of it with the highest cost
	Head   Spread // of a configuration head put 15 s after the loss
	Known  Spread // until a node knows of all deaths
}

// MeasureZoneLoss kills all nodes of a zone and measures the effects.
func (f *Fleet) MeasureZoneLoss(zone string, limit time.Duration) ZoneLoss {
	dead := f.KillZone(zone)
	l := ZoneLoss{Dead: len(dead), Known: Spread{-1, -1, -1}, Head: Spread{-1, -1, -1}}
	start := f.Now
	known := f.knowsAll(dead, member.Unreachable, member.Dead)
	const headAt = 15 * time.Second
	l.Minute = f.measureCosts(time.Minute, func() {
		if l.Head.Half < 0 && f.Now-start == headAt {
			f.nextAlive(0).State.PutFact(f.Now, member.Fact{Kind: member.ConfigHead, Key: 1, Version: 1 << 62, Value: make([]byte, 16)})
		}
		if f.Now-start > headAt {
			f.recordSpread(&l.Head, start+headAt, KnowsFact(member.ConfigHead, 1, 1<<62))
		}
		f.recordSpread(&l.Known, start, known)
	}, &l.Peak)
	for f.Now-start < limit && l.Known.All < 0 {
		f.Run(10 * Step)
		f.recordSpread(&l.Known, start, known)
	}
	return l
}

// knowsAll returns a predicate that reports whether a node has all the given members in
// one of the wanted statuses. It remembers its progress for each node, since checking all
// members again at every step would cost more CPU time than the members themselves.
func (f *Fleet) knowsAll(nodes []*Node, want ...member.Status) func(*Node) bool {
	done := make([]int, len(f.Nodes)+len(nodes))
	return func(n *Node) bool {
		i := done[n.index]
		for i < len(nodes) {
			m, ok := n.State.Lookup(nodes[i].Record.ID)
			if !ok || !slices.Contains(want, m.Status) {
				break
			}
			i++
		}
		done[n.index] = i
		return i == len(nodes)
	}
}

// recordSpread records the time at which 50%, 99% and 100% of the live nodes first know.
func (f *Fleet) recordSpread(s *Spread, start time.Duration, knows func(*Node) bool) {
	if s.All >= 0 {
		return
	}
	live, known := f.countKnowing(knows)
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

// Freeze runs the fleet for d with the given share of its members frozen at any time, for
// freeze each. It returns how often a live member had to refute its death.
func (f *Fleet) Freeze(d time.Duration, share float64, freeze time.Duration) (falseDeaths int) {
	before := f.refutationCount()
	frozen := make([]time.Duration, len(f.Nodes))
	const tick = 10 * Step
	for end := f.Now + d; f.Now < end; {
		freezeRandom(f.rng, frozen, f.Now, tick, share, freeze)
		for i, n := range f.Nodes {
			n.Frozen = frozen[i]
		}
		f.Run(tick)
	}
	f.Run(20 * time.Second)
	return int(f.refutationCount() - before)
}

func (f *Fleet) refutationCount() (n uint64) {
	for _, node := range f.Nodes {
		n += node.State.Stats().Refutations
	}
	return n
}

// PartitionHealing holds the cost of a region partition and its healing.
type PartitionHealing struct {
	Deaths  uint64 // deaths declared during the partition
	Changes int    // changes made during the partition, on both sides
	Minute  Cost   // over the minute after healing
	Peak    Cost   // the ten seconds of it with the highest cost
	Agreed  Spread // until a node knows all changes of both sides
}

// PartitionRegion partitions one region from the others for d, makes changes on both sides,
// and heals the partition.
func (f *Fleet) PartitionRegion(region string, d time.Duration, changes int, limit time.Duration) PartitionHealing {
	before := f.Deaths()
	f.Partitioned = func(a, b *Node) bool { return (a.Record.Region == region) != (b.Record.Region == region) }
	var left []*Node
	for range changes {
		n := f.nextAlive(f.rng.IntN(len(f.Nodes)))
		n.State.Leave(f.Now)
		left = append(left, n)
		f.Run(d / time.Duration(changes))
	}
	h := PartitionHealing{Deaths: f.Deaths() - before, Changes: len(left), Agreed: Spread{-1, -1, -1}}
	f.Partitioned = nil
	start := f.Now
	knows := f.knowsAll(left, member.Leaving)
	h.Minute = f.measureCosts(time.Minute, func() { f.recordSpread(&h.Agreed, start, knows) }, &h.Peak)
	for f.Now-start < limit && h.Agreed.All < 0 {
		f.Run(10 * Step)
		f.recordSpread(&h.Agreed, start, knows)
	}
	return h
}

// ZoneReturn holds the cost of the return of a lost zone to the members that stayed.
type ZoneReturn struct {
	Joined Spread // until the returning members have joined
	Known  Spread // until a node that stayed has all of them as alive
	Minute Cost
	Peak   Cost
}

// MeasureZoneReturn restarts the nodes that MeasureZoneLoss killed, all at once, with
// their old records and a new incarnation.
func (f *Fleet) MeasureZoneReturn(limit time.Duration) ZoneReturn {
	var back []*Node
	for _, n := range f.Nodes[:len(f.Nodes):len(f.Nodes)] {
		if n.Down && f.byAddr[n.Record.ControlAddr] == n {
			r := n.Record
			r.Incarnation += 1000
			back = append(back, f.startMember(r))
		}
	}
	ret := ZoneReturn{Joined: Spread{-1, -1, -1}, Known: Spread{-1, -1, -1}}
	start := f.Now
	all := f.knowsAll(back, member.Alive)
	first := back[0].index
	knows := func(n *Node) bool { return n.index >= first || all(n) }
	joined := func(n *Node) bool { return n.State.Joined() }
	ret.Minute = f.measureCosts(time.Minute, func() {
		f.recordSpread(&ret.Joined, start, joined)
		f.recordSpread(&ret.Known, start, knows)
	}, &ret.Peak)
	for f.Now-start < limit && ret.Known.All < 0 {
		f.Run(10 * Step)
		f.recordSpread(&ret.Joined, start, joined)
		f.recordSpread(&ret.Known, start, knows)
	}
	return ret
}

// JoinDelays holds the delays of the join of one member.
type JoinDelays struct {
	Joined   time.Duration // until a peer has accepted it
	Complete time.Duration // until it has the complete state
	Known    Spread        // until the other members have its record
	Bytes    int64         // sent and received until complete
}

// JoinOne starts one new member.
func (f *Fleet) JoinOne(limit time.Duration) JoinDelays {
	r := f.Record(len(f.Nodes))
	r.Name = fmt.Sprintf("new-%05d", len(f.Nodes))
	n := f.startMember(r)
	start := f.Now
	j := JoinDelays{Joined: -1, Complete: -1, Known: Spread{-1, -1, -1}}
	for f.Now-start < limit && (j.Complete < 0 || j.Known.All < 0) {
		f.Run(5 * Step)
		if j.Joined < 0 && n.State.Joined() {
			j.Joined = f.Now - start
		}
		if j.Complete < 0 && n.State.Complete() {
			j.Complete, j.Bytes = f.Now-start, n.Bytes
		}
		f.recordSpread(&j.Known, start, knowsRecord(n))
	}
	return j
}

func knowsRecord(of *Node) func(*Node) bool {
	return func(n *Node) bool {
		m, ok := n.State.Lookup(of.Record.ID)
		return ok && m.Status == member.Alive && m.Record != nil
	}
}
