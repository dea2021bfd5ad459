package scale

import (
	"slices"
	"syscall"
	"time"

	"peardrift/internal/core/member"
	"peardrift/internal/core/request"
)

// Cost is the mean cost of the nodes over some time.
type Cost struct {
	BytesMean float64 // per node and second
	BytesP99  float64 // 99th percentile over nodes
	BytesMax  float64 // of the node with the most bytes
	CPU       float64 // CPU seconds per node and second, including message delivery
}

// Costs runs the fleet for d and returns the cost of its nodes.
func (f *Fleet) Costs(d time.Duration) Cost { return f.measureCosts(d, func() {}) }

// measureCosts runs the fleet for d, calling do every five steps, and returns the cost of
// its nodes. If peak is given, it is set to the cost of the most expensive ten seconds.
func (f *Fleet) measureCosts(d time.Duration, do func(), peak ...*Cost) Cost {
	const window = 10 * time.Second
	total, part := f.currentUsage(), f.currentUsage()
	for end := f.Now + d; f.Now < end; {
		f.Run(min(5*Step, end-f.Now))
		do()
		if f.Now-part.start < window {
			continue
		}
		if c := part.cost(f); len(peak) > 0 && c.BytesMean > peak[0].BytesMean {
			*peak[0] = c
		}
		part = f.currentUsage()
	}
	return total.cost(f)
}

// usage is the total usage of the nodes at some time.
type usage struct {
	start time.Duration
	cpu   time.Duration
	bytes []int64
}

func (f *Fleet) currentUsage() usage {
	m := usage{start: f.Now, cpu: cpuTime(), bytes: make([]int64, len(f.Nodes))}
	for i, n := range f.Nodes {
		if m.bytes[i] = n.Bytes; !n.State.Joined() {
			m.bytes[i] = notJoined
		}
	}
	return m
}

// notJoined marks a node that had not joined and isn't counted.
const notJoined = -1

// cost returns the cost since m of the nodes that were members all the time.
func (m usage) cost(f *Fleet) Cost {
	took := (f.Now - m.start).Seconds()
	c := Cost{CPU: (cpuTime() - m.cpu).Seconds() / took / float64(len(f.Nodes))}
	var rates []float64
	for i, before := range m.bytes {
		if n := f.Nodes[i]; !n.Down && before != notJoined {
			rates = append(rates, float64(n.Bytes-before)/took)
		}
	}
	slices.Sort(rates)
	for _, r := range rates {
		c.BytesMean += r / float64(len(rates))
	}
	c.BytesP99 = rates[len(rates)*99/100]
	c.BytesMax = rates[len(rates)-1]
	return c
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Spread is the time that an update took to reach 50%, 99% and 100% of the live nodes;
// negative if it took longer than the limit.
type Spread struct{ Half, P99, All time.Duration }

// Until runs the fleet until every live node knows, for at most limit.
func (f *Fleet) Until(limit time.Duration, knows func(*Node) bool) Spread {
	s := Spread{-1, -1, -1}
	start := f.Now
	f.RunUntil(limit, 5*Step, func() bool {
		f.recordSpread(&s, start, knows)
		return s.All >= 0
	})
	return s
}

func (f *Fleet) countKnowing(knows func(*Node) bool) (live, known int) {
	var lives, knowns [shards]int
	f.forEachShard(func(shard int) {
		for i := shard; i < len(f.Nodes); i += shards {
			if n := f.Nodes[i]; !n.Down {
				lives[shard]++
				if knows(n) {
					knowns[shard]++
				}
			}
		}
	})
	for i := range shards {
		live += lives[i]
		known += knowns[i]
	}
	return live, known
}

// Knows returns a predicate that reports whether a node has a member in a status.
func Knows(id request.TargetID, want member.Status) func(*Node) bool {
	return func(n *Node) bool {
		m, ok := n.State.Lookup(id)
		return ok && m.Status == want
	}
}

// KnowsFact returns a predicate that reports whether a node has a fact in this version or
// a newer one.
func KnowsFact(kind member.FactKind, key, version uint64) func(*Node) bool {
	return func(n *Node) bool {
		f, ok := n.State.Fact(kind, key)
		return ok && f.Version >= version
	}
}

func idOf(name string) request.TargetID { return request.TargetIDOf(name) }

// RandomLive returns a random live node.
func (f *Fleet) RandomLive() *Node {
	for {
		if n := f.Nodes[f.rng.IntN(len(f.Nodes))]; !n.Down {
			return n
		}
	}
}

// KillZone kills the live nodes of a zone and returns them.
func (f *Fleet) KillZone(zone string) []*Node {
	var out []*Node
	for _, n := range f.Nodes {
		if n.Record.Zone == zone && !n.Down {
			n.Down = true
			out = append(out, n)
		}
	}
	return out
}

// Deaths returns how often a node declared another one unreachable or dead.
func (f *Fleet) Deaths() uint64 {
	var d uint64
	for _, n := range f.Nodes {
		d += n.State.Stats().Deaths
	}
	return d
}
