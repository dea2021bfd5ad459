package member

import "peardrift/internal/core/request"

// class orders what waits to be sent; a lower one goes first.
type class uint8

const (
	classDrain  class = iota // members that leave or have left
	classHead                // heads of the configuration
	classFact                // other facts
	classDeath               // unreachable members, and those that refute it
	classJoin                // new members and restarts
	classResend              // what a comparison of digests found
	numClasses
)

// bulk classes may come in thousands at once. While the budget is short they are
// told to a few links only; the few members that miss some find out by comparing
// digests. Heads of the configuration are told to all: in the midst of a lost
// zone, when digests differ anyway, one of 4,000 nodes missed one for 28 s.
func (c class) bulk() bool { return c == classDeath || c == classJoin }

// classOf returns the class of a change. known says that the member's contents
// were known before, so that it is back rather than new.
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

// ridingFanout is the number of links on which heads are told while the
// configuration rides along with heartbeats: any peer that has a newer version
// then tells it, whether its head was heard of or not.
const ridingFanout = 3

// itemKey names a member or a fact.
type itemKey struct {
	id   uint64
	fact bool
}

// item is something that some links haven't been told yet. What is sent is what
// the table holds at that time.
type item struct {
	key   itemKey
	class class
	links uint32 // one bit for each link that must still be told
	told  uint8  // links known to know it
	sent  uint8  // links on which it was sent and not yet acknowledged
	turn  uint32 // rises with each change, so that an old acknowledgement is void
}

// queue holds the items that wait, by class and oldest first.
type queue struct {
	items   map[itemKey]*item
	fanout  uint8 // links that bulk news is told on
	rich    bool  // there is budget to tell it to all
	riding  bool  // heads also come with the configuration that rides along
	classes [numClasses][]*item
}

func newQueue(fanout int) queue {
	return queue{items: make(map[itemKey]*item), fanout: uint8(fanout)}
}

// limit returns how many links news of a class is told on.
func (q *queue) limit(c class) uint8 {
	switch {
	case c.bulk() && !q.rich:
		return q.fanout
	case c == classHead && q.riding:
		return ridingFanout
	default:
		return maxLinks
	}
}

// limited reports whether the item needn't be told to further links. What is sent
// but not yet acknowledged counts: otherwise all links would get it before the
// first acknowledgement comes.
func (q *queue) limited(it *item) bool {
	return it.told+it.sent >= q.limit(it.class)
}

// send notes that the item is sent, and returns what confirm or void needs.
func (q *queue) send(it *item) sentItem {
	it.sent++
	return sentItem{it, it.turn}
}

// void notes that what was sent on a link may not have arrived.
func (q *queue) void(list []sentItem) {
	for _, s := range list {
		if s.it.turn == s.turn {
			s.it.sent--
		}
	}
}

// confirm notes that a link's peer has what was sent, unless it changed since.
func (q *queue) confirm(link uint32, list []sentItem) {
	q.void(list)
	for _, s := range list {
		if s.it.turn == s.turn {
			q.know(s.it, link)
		}
	}
}

// know notes that the peer of one link knows the item.
func (q *queue) know(it *item, link uint32) {
	if it.links&link == 0 {
		return
	}
	it.links &^= link
	it.told++
	if it.told >= q.limit(it.class) {
		it.links = 0
	}
}

// put makes an item wait for the given links. told is how many others know it.
func (q *queue) put(key itemKey, c class, links uint32, told uint8) {
	it := q.items[key]
	if it == nil {
		it = &item{key: key, class: c}
		q.items[key] = it
		q.classes[c] = append(q.classes[c], it)
	} else if it.class != c {
		moved := *it
		it.links = 0 // the old place is skipped and removed later
		it = &moved
		it.class = c
		q.items[key] = it
		q.classes[c] = append(q.classes[c], it)
	}
	it.links = links
	it.told, it.sent = told, 0
	it.turn++
}

// add makes an item wait for further links and leaves the others as they are.
func (q *queue) add(key itemKey, c class, links uint32) {
	it := q.items[key]
	if it == nil || it.links == 0 {
		q.put(key, c, links, 0)
		return
	}
	it.links |= links
}

// told notes that a link's peer knows the item's present state.
func (q *queue) told(key itemKey, link uint32) {
	if it := q.items[key]; it != nil {
		q.know(it, link)
	}
}

// join makes all that waits for anyone wait for a new link too; leave undoes it.
func (q *queue) join(link uint32) {
	for _, it := range q.items {
		it.links |= link
	}
}

func (q *queue) leave(link uint32) {
	for _, it := range q.items {
		it.links &^= link
	}
}

// each calls f for the items of some classes that wait for link, in order, until
// it says stop, and reports whether it didn't. It drops those that nobody waits
// for.
func (q *queue) each(first, last class, link uint32, f func(*item) (more bool)) bool {
	more := true
	for c := first; c <= last; c++ {
		list := q.classes[c]
		kept := list[:0]
		for _, it := range list {
			if it.links == 0 {
				if q.items[it.key] == it {
					delete(q.items, it.key)
				}
				continue
			}
			kept = append(kept, it)
			if more && it.links&link != 0 && !q.limited(it) {
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

// waiting returns the links that items up to a class wait for.
func (q *queue) waiting(last class) (links uint32) {
	for _, list := range q.classes[:last+1] {
		for _, it := range list {
			links |= it.links
		}
	}
	return links
}

// pressing is waiting without the items that a few links were told already; the
// others hear of them with their next heartbeat.
func (q *queue) pressing(last class) (links uint32) {
	for _, list := range q.classes[:last+1] {
		for _, it := range list {
			if it.told < min(q.fanout, q.limit(it.class)) {
				links |= it.links
			}
		}
	}
	return links
}

func memberKey(id request.TargetID) itemKey { return itemKey{id: uint64(id)} }
func factKey(id uint64) itemKey             { return itemKey{id: id, fact: true} }
