package member

import "peardrift/internal/core/request"

// class is the priority of an item to be sent; lower values go first.
type class uint8

const (
	classDrain  class = iota // members that leave or have left
	classHead                // configuration heads
	classFact                // other facts
	classDeath               // unreachable members, and those that recovered
	classJoin                // new members and restarts
	classResend              // differences found by comparing digests
	numClasses
)

// isBulk reports whether thousands of items of a class may arrive at once.
// While the budget is short, bulk items are sent on a few links only; the few
// members that miss some recover them by anti-entropy. Configuration heads are
// sent to all peers: during the loss of a zone, when digests differ anyway, one
// of 4,000 nodes missed a head for 28 s.
func (c class) isBulk() bool { return c == classDeath || c == classJoin }

// classOf returns the class of a change. known means that the member's contents
// were known before, so it has recovered rather than joined.
func classOf(c Change, known bool) class {
	switch {
	case c.Status == Leaving || c.Status == Dead:
		return classDrain
	case c.Status == Unreachable || known:
		return classDeath
	default:
		return classJoin
	}
}

func classOfFact(kind FactKind) class {
	if kind == ConfigHead {
		return classHead
	}
	return classFact
}

// piggybackFanout is the number of links on which heads are sent while the
// configuration is piggybacked on heartbeats: any peer with a newer version
// then sends it, whether or not the head was received.
const piggybackFanout = 3

// itemKey identifies a member or a fact.
type itemKey struct {
	id   uint64
	fact bool
}

// item is an update not yet sent to all links. The content sent is that of the
// table at the time of sending.
type item struct {
	key      itemKey
	class    class
	pending  uint32 // one bit for each link that has not acknowledged it
	acked    uint8  // number of links whose peer has it
	inFlight uint8  // number of links on which it is sent but not yet acknowledged
	revision uint32 // incremented with each change, which invalidates older acknowledgements
}

// queue holds the pending items by class, oldest first.
type queue struct {
	items        map[itemKey]*item
	fanout       uint8 // number of links for bulk items while the budget is short
	ampleBudget  bool  // the budget suffices to send bulk items on all links
	piggybacking bool  // heads also arrive with the piggybacked configuration
	classes      [numClasses][]*item
}

func newQueue(fanout int) queue {
	return queue{items: make(map[itemKey]*item), fanout: uint8(fanout)}
}

// linkLimit returns on how many links an item of a class is sent.
func (q *queue) linkLimit(c class) uint8 {
	switch {
	case c.isBulk() && !q.ampleBudget:
		return q.fanout
	case c == classHead && q.piggybacking:
		return piggybackFanout
	default:
		return maxLinks
	}
}

// reachedLimit reports whether the item need not be sent on further links.
// Sends not yet acknowledged count: otherwise all links would send it before
// the first acknowledgement arrives.
func (q *queue) reachedLimit(it *item) bool {
	return it.acked+it.inFlight >= q.linkLimit(it.class)
}

// markSent records a send, and returns what ack and releaseInFlight need.
func (q *queue) markSent(it *item) sentItem {
	it.inFlight++
	return sentItem{it, it.revision}
}

// releaseInFlight records that items sent on a link may not have arrived.
func (q *queue) releaseInFlight(list []sentItem) {
	for _, s := range list {
		if s.it.revision == s.revision {
			s.it.inFlight--
		}
	}
}

// ack records that a link's peer has the items sent, unless they changed since.
func (q *queue) ack(link uint32, list []sentItem) {
	q.releaseInFlight(list)
	for _, s := range list {
		if s.it.revision == s.revision {
			q.acknowledge(s.it, link)
		}
	}
}

// acknowledge records that the peer of one link has the item.
func (q *queue) acknowledge(it *item, link uint32) {
	if it.pending&link == 0 {
		return
	}
	it.pending &^= link
	it.acked++
	if it.acked >= q.linkLimit(it.class) {
		it.pending = 0
	}
}

// put makes an item pending for the given links. acked is how many other peers
// have it.
func (q *queue) put(key itemKey, c class, links uint32, acked uint8) {
	it := q.items[key]
	if it == nil {
		it = &item{key: key, class: c}
		q.items[key] = it
		q.classes[c] = append(q.classes[c], it)
	} else if it.class != c {
		moved := *it
		it.pending = 0 // each skips the old position and removes it later
		it = &moved
		it.class = c
		q.items[key] = it
		q.classes[c] = append(q.classes[c], it)
	}
	it.pending = links
	it.acked, it.inFlight = acked, 0
	it.revision++
}

// addPending makes an item pending for further links and leaves the others
// unchanged.
func (q *queue) addPending(key itemKey, c class, links uint32) {
	it := q.items[key]
	if it == nil || it.pending == 0 {
		q.put(key, c, links, 0)
		return
	}
	it.pending |= links
}

// markKnown records that a link's peer has the item's present state.
func (q *queue) markKnown(key itemKey, link uint32) {
	if it := q.items[key]; it != nil {
		q.acknowledge(it, link)
	}
}

// addLink makes all items pending for a new link; removeLink undoes it.
func (q *queue) addLink(link uint32) {
	for _, it := range q.items {
		it.pending |= link
	}
}

func (q *queue) removeLink(link uint32) {
	for _, it := range q.items {
		it.pending &^= link
	}
}

// each calls f, in order, for the items of some classes that are pending for
// link, until f returns false, and reports whether f never did. It removes
// items that are pending for no link.
func (q *queue) each(first, last class, link uint32, f func(*item) (more bool)) bool {
	more := true
	for c := first; c <= last; c++ {
		list := q.classes[c]
		kept := list[:0]
		for _, it := range list {
			if it.pending == 0 {
				if q.items[it.key] == it {
					delete(q.items, it.key)
				}
				continue
			}
			kept = append(kept, it)
			if more && it.pending&link != 0 && !q.reachedLimit(it) {
				more = f(it)
			}
		}
		clear(list[len(kept):])
		q.classes[c] = kept
		if !more {
			return false
		}
	}
	return true
}

// pendingLinks returns the links that have pending items of classes up to last.
func (q *queue) pendingLinks(last class) (links uint32) {
	for _, list := range q.classes[:last+1] {
		for _, it := range list {
			links |= it.pending
		}
	}
	return links
}

// urgentLinks is pendingLinks without the items that enough links have
// acknowledged; the other links send them with their next heartbeat.
func (q *queue) urgentLinks(last class) (links uint32) {
	for _, list := range q.classes[:last+1] {
		for _, it := range list {
			if it.acked < min(q.fanout, q.linkLimit(it.class)) {
				links |= it.pending
			}
		}
	}
	return links
}

func memberKey(id request.TargetID) itemKey { return itemKey{id: uint64(id)} }
func factKey(id uint64) itemKey             { return itemKey{id: id, fact: true} }
