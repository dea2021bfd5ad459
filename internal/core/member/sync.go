package member

import "peardrift/internal/core/request"

// The digest tree divides the key space by 16 on each level. Two members that
// differ descend to the differing leaves, and exchange only those.
const (
	treeFanout             = 16
	treeFanoutBits         = 4
	leafDepth              = 3
	maxSmallEntries        = 4 // nodes with at most this many entries are sent as leaves at once
	maxSyncNodes           = 64
	syncThreshold          = 2 // consecutive exchanges that must differ
	piggybackSyncThreshold = 8 // syncThreshold while heads come with the configuration
	maxLeafEntries         = 256
)

// treeNode identifies a node of the digest tree.
type treeNode struct {
	prefix uint32
	depth  uint8
}

func (n treeNode) child(i int) treeNode {
	return treeNode{n.prefix<<treeFanoutBits | uint32(i), n.depth + 1}
}

// bounds returns the first and the last key of the node.
func (n treeNode) bounds() (first, last uint64) {
	bits := treeFanoutBits * uint(n.depth)
	if bits == 0 {
		return 0, ^uint64(0)
	}
	first = uint64(n.prefix) << (64 - bits)
	return first, first | ^uint64(0)>>bits
}

// memberRange returns the index range of the members below a node.
func (t *table) memberRange(n treeNode) (from, to int) {
	first, last := n.bounds()
	from, _ = t.index(request.TargetID(first))
	to, ok := t.index(request.TargetID(last))
	if ok {
		to++
	}
	return from, to
}

func (t *table) factRange(n treeNode) (from, to int) {
	first, last := n.bounds()
	from, _ = t.factIndex(first)
	to, ok := t.factIndex(last)
	if ok {
		to++
	}
	return from, to
}

// childSums returns the digests of a node's children.
func (t *table) childSums(n treeNode) []uint32 {
	var sums [treeFanout]uint64
	switch n.depth {
	case 0:
		for i, sum := range t.bucketSums {
			sums[i/treeFanout] += sum
		}
	case 1:
		copy(sums[:], t.bucketSums[int(n.prefix)*treeFanout:])
	default:
		shift := 64 - treeFanoutBits*(uint(n.depth)+1)
		from, to := t.memberRange(n)
		for i := from; i < to; i++ {
			sums[uint64(t.members[i].id)>>shift%treeFanout] += t.members[i].change().sum()
		}
		from, to = t.factRange(n)
		for i := from; i < to; i++ {
			sums[t.facts[i].id>>shift%treeFanout] += t.facts[i].fact.sum()
		}
	}
	out := make([]uint32, treeFanout)
	for i, sum := range sums {
		out[i] = uint32(sum ^ sum>>32)
	}
	return out
}

func (t *table) leaf(n treeNode) Leaf {
	l := Leaf{Prefix: n.prefix, Depth: n.depth}
	from, to := t.memberRange(n)
	for i := from; i < to && len(l.Changes) < maxLeafEntries; i++ {
		if t.members[i].status.isLive() {
			l.Changes = append(l.Changes, t.members[i].change())
		}
	}
	from, to = t.factRange(n)
	for i := from; i < to && len(l.Facts) < maxLeafEntries; i++ {
		f := &t.facts[i].fact
		l.Facts = append(l.Facts, FactHead{f.Kind, f.Key, f.Version})
	}
	return l
}

func (t *table) isSmall(n treeNode) bool {
	from, to := t.memberRange(n)
	ffrom, fto := t.factRange(n)
	return to-from+fto-ffrom <= maxSmallEntries
}

// fillSync adds the nodes of the digest tree that are to be compared next. A
// comparison starts when two members differ though nothing is pending between
// them; before that, the difference is an update in flight.
func (s *State) fillSync(m *Message, l *link, room int) {
	if s.join.isPartial() {
		return
	}
	if len(l.syncNodes) == 0 && l.mismatch >= s.syncThreshold() && l.isOutgoing() && !s.hasPendingItems(l) {
		l.mismatch = 0
		l.syncNodes = append(l.syncNodes, treeNode{})
	}
	for len(l.syncNodes) > 0 {
		n := l.syncNodes[0]
		if n.depth >= leafDepth || s.tab.isSmall(n) {
			leaf := s.tab.leaf(n)
			if leaf.size() > room && room < s.cfg.MaxItemBytes/2 {
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
		l.syncNodes = l.syncNodes[1:]
	}
	l.syncNodes = nil
}

// syncThreshold returns how many consecutive exchanges with a peer must differ
// before a comparison starts. While heads are sent on few links, any two
// members differ by some of them most of the time, though those are in flight:
// comparing would cost more than it finds.
func (s *State) syncThreshold() int {
	if s.queue.piggybacking {
		return piggybackSyncThreshold
	}
	return syncThreshold
}

// hasPendingItems reports whether items are pending for a link.
func (s *State) hasPendingItems(l *link) bool {
	return s.queue.pendingLinks(numClasses-1)&l.bit() != 0
}

// compareDigests processes the digests and leaves in a message.
func (s *State) compareDigests(m *Message, l *link) {
	if m.Partial || s.join.isPartial() {
		return
	}
	if m.StateDigest == s.tab.root {
		l.mismatch = 0
	} else if m.Kind == Heartbeat {
		l.mismatch++
	}
	for _, d := range m.Digests {
		n := treeNode{d.Prefix, d.Depth}
		if d.Depth >= leafDepth || len(d.Sums) != treeFanout || d.Prefix>>(treeFanoutBits*uint(d.Depth)) != 0 {
			continue
		}
		for i, sum := range s.tab.childSums(n) {
			if sum != d.Sums[i] && len(l.syncNodes) < maxSyncNodes {
				l.syncNodes = append(l.syncNodes, n.child(i))
			}
		}
	}
	for i := range m.Leaves {
		s.compareLeaf(&m.Leaves[i], l)
	}
}

// compareLeaf makes the entries that the peer is missing pending for it, and
// applies the peer's.
func (s *State) compareLeaf(leaf *Leaf, l *link) {
	n := treeNode{leaf.Prefix, leaf.Depth}
	if n.depth > leafDepth || n.prefix>>(treeFanoutBits*uint(n.depth)) != 0 ||
		len(leaf.Changes) > maxLeafEntries || len(leaf.Facts) > maxLeafEntries {
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
		if e.status.isLive() && !theirs[memberKey(e.id)] {
			s.queue.addPending(memberKey(e.id), classResend, l.bit())
		}
	}
	from, to = s.tab.factRange(n)
	for i := from; i < to; i++ {
		if key := factKey(s.tab.facts[i].id); !theirs[key] {
			s.queue.addPending(key, classResend, l.bit())
		}
	}
	if behind && len(l.syncNodes) < maxSyncNodes {
		l.syncNodes = append(l.syncNodes, n)
	}
}
