package member

import "peardrift/internal/core/request"

// The digest tree splits the key space sixteenfold on each level. Two members
// that differ walk down to the leaves that do, and exchange only those.
const (
	fanOut     = 16
	fanBits    = 4
	leafDepth  = 3
	smallLeaf  = 4 // nodes with so few entries are sent as leaves at once
	maxSync    = 64
	syncAfter  = 2 // exchanges that must differ in a row
	ridingSync = 8 // the same while heads come with the configuration
	maxEntries = 256
)

// node names a node of the digest tree.
type node struct {
	prefix uint32
	depth  uint8
}

func (n node) child(i int) node { return node{n.prefix<<fanBits | uint32(i), n.depth + 1} }

// bounds returns the first key of the node and the number of its keys, less one.
func (n node) bounds() (first, last uint64) {
	bits := fanBits * uint(n.depth)
	if bits == 0 {
		return 0, ^uint64(0)
	}
	first = uint64(n.prefix) << (64 - bits)
	return first, first | ^uint64(0)>>bits
}

// members returns the range of the members below a node.
func (t *table) memberRange(n node) (from, to int) {
	first, last := n.bounds()
	from, _ = t.index(request.TargetID(first))
	to, ok := t.index(request.TargetID(last))
	if ok {
		to++
	}
	return from, to
}

func (t *table) factRange(n node) (from, to int) {
	first, last := n.bounds()
	from, _ = t.factIndex(first)
	to, ok := t.factIndex(last)
	if ok {
		to++
	}
	return from, to
}

// childSums returns the digests of a node's children.
func (t *table) childSums(n node) []uint32 {
	var sums [fanOut]uint64
	switch n.depth {
	case 0:
		for i, sum := range t.sums {
			sums[i/fanOut] += sum
		}
	case 1:
		copy(sums[:], t.sums[int(n.prefix)*fanOut:])
	default:
		shift := 64 - fanBits*(uint(n.depth)+1)
		from, to := t.memberRange(n)
		for i := from; i < to; i++ {
			sums[uint64(t.members[i].id)>>shift%fanOut] += t.members[i].change().sum()
		}
		from, to = t.factRange(n)
		for i := from; i < to; i++ {
			sums[t.facts[i].id>>shift%fanOut] += t.facts[i].fact.sum()
		}
	}
	out := make([]uint32, fanOut)
	for i, sum := range sums {
		out[i] = uint32(sum ^ sum>>32)
	}
	return out
}

func (t *table) leaf(n node) Leaf {
	l := Leaf{Prefix: n.prefix, Depth: n.depth}
	from, to := t.memberRange(n)
	for i := from; i < to && len(l.Changes) < maxEntries; i++ {
		if t.members[i].status.live() {
			l.Changes = append(l.Changes, t.members[i].change())
		}
	}
	from, to = t.factRange(n)
	for i := from; i < to && len(l.Facts) < maxEntries; i++ {
		f := &t.facts[i].fact
		l.Facts = append(l.Facts, FactHead{f.Kind, f.Key, f.Version})
	}
	return l
}

func (t *table) small(n node) bool {
	from, to := t.memberRange(n)
	ffrom, fto := t.factRange(n)
	return to-from+fto-ffrom <= smallLeaf
}

// fillSync adds the nodes of the digest tree that are to be compared next. A
// comparison begins when two members differ though nothing waits between them;
// before that, the difference is news on its way.
func (s *State) fillSync(m *Message, l *link, room int) {
	if s.join.partial() {
		return
	}
	if len(l.sync) == 0 && l.mismatch >= s.syncAfter() && l.outgoing() && !s.waits(l) {
		l.mismatch = 0
		l.sync = append(l.sync, node{})
	}
	for len(l.sync) > 0 {
		n := l.sync[0]
		if n.depth >= leafDepth || s.tab.small(n) {
			leaf := s.tab.leaf(n)
			if leaf.size() > room && room < s.cfg.MaxItems/2 {
				return
			}
			m.Leaves = append(m.Leaves, leaf)
			room -= leaf.size()
		} else {
			if digestSize > room {
				return
			}
			m.Digests = append(m.Digests, Digest{Prefix: n.prefix, Depth: n.depth, Sums: s.tab.childSums(n)})
			room -= digestSize
		}
		l.sync = l.sync[1:]
	}
	l.sync = nil
}

// syncAfter returns how many exchanges with a peer must differ in a row before
// it is compared with. While heads are told on few links, any two members differ
// by some of them most of the time, though those are on their way: comparing would
// cost more than it finds.
func (s *State) syncAfter() int {
	if s.queue.riding {
		return ridingSync
	}
	return syncAfter
}

// waits reports whether items wait for a link.
func (s *State) waits(l *link) bool {
	return s.queue.waiting(numClasses-1)&l.bit() != 0
}

// compare follows up on the digests in a message.
func (s *State) compare(m *Message, l *link) {
	if m.Partial || s.join.partial() {
		return
	}
	if m.Root == s.tab.root {
		l.mismatch = 0
	} else if m.Kind == Heartbeat {
		l.mismatch++
	}
	for _, d := range m.Digests {
		n := node{d.Prefix, d.Depth}
		if d.Depth >= leafDepth || len(d.Sums) != fanOut || d.Prefix>>(fanBits*uint(d.Depth)) != 0 {
			continue
		}
		for i, sum := range s.tab.childSums(n) {
			if sum != d.Sums[i] && len(l.sync) < maxSync {
				l.sync = append(l.sync, n.child(i))
			}
		}
	}
	for i := range m.Leaves {
		s.compareLeaf(&m.Leaves[i], l)
	}
}

// compareLeaf makes what the peer lacks wait for it, and takes what it has.
func (s *State) compareLeaf(leaf *Leaf, l *link) {
	n := node{leaf.Prefix, leaf.Depth}
	if n.depth > leafDepth || n.prefix>>(fanBits*uint(n.depth)) != 0 ||
		len(leaf.Changes) > maxEntries || len(leaf.Facts) > maxEntries {
		return
	}
	theirs := make(map[itemKey]bool, len(leaf.Changes)+len(leaf.Facts))
	for _, c := range leaf.Changes {
		theirs[memberKey(c.ID)] = true
		s.applyChange(s.lastTick, c, l.bit())
	}
	behind := false
	for _, f := range leaf.Facts {
		id := factID(f.Kind, f.Key)
		own := s.tab.fact(id)
		if own == nil || own.Version < f.Version {
			behind = true
		}
		theirs[factKey(id)] = own == nil || own.Version <= f.Version
	}
	from, to := s.tab.memberRange(n)
	for i := from; i < to; i++ {
		e := &s.tab.members[i]
		if e.status.live() && !theirs[memberKey(e.id)] {
			s.queue.add(memberKey(e.id), classResend, l.bit())
		}
	}
	from, to = s.tab.factRange(n)
	for i := from; i < to; i++ {
		if key := factKey(s.tab.facts[i].id); !theirs[key] {
			s.queue.add(key, classResend, l.bit())
		}
	}
	if behind && len(l.sync) < maxSync {
		l.sync = append(l.sync, n)
	}
}
