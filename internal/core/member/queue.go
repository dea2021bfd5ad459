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

// urgent classes make the node send before its next heartbeat is due.
func (c class) urgent() bool { return c <= classFact }

func classOf(c Change) class {
	switch {
	case c.Status == Leaving || c.Status == Dead:
		return classDrain
	case c.Status == Unreachable || c.Age > 0:
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
	turn  uint32 // rises with each change, so that an old acknowledgement is void
}

// queue holds the items that wait, by class and oldest first.
type queue struct {
	items   map[itemKey]*item
	classes [numClasses][]*item
}

func newQueue() queue { return queue{items: make(map[itemKey]*item)} }

// put makes an item wait for the given links.
func (q *queue) put(key itemKey, c class, links uint32) {
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
	it.turn++
}

// add makes an item wait for further links and leaves the others as they are.
func (q *queue) add(key itemKey, c class, links uint32) {
	if it := q.items[key]; it != nil {
		it.links |= links
		return
	}
	q.put(key, c, links)
}

// told notes that a link's peer knows the item's present state.
func (q *queue) told(key itemKey, link uint32) {
	if it := q.items[key]; it != nil {
		it.links &^= link
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

// each calls f for the items that wait for link, in order, until it says stop.
// It drops those that nobody waits for.
func (q *queue) each(link uint32, f func(*item) (more bool)) {
	more := true
	for c := range q.classes {
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
			if more && it.links&link != 0 {
				more = f(it)
			}
		}
		clear(list[len(kept):])
		q.classes[c] = kept
		if !more {
			return
		}
	}
}

// waiting returns the links that urgent items and that any items wait for.
func (q *queue) waiting() (urgent, all uint32) {
	for c, list := range q.classes {
		for _, it := range list {
			all |= it.links
			if class(c).urgent() {
				urgent |= it.links
			}
		}
	}
	return urgent, all
}

func memberKey(id request.TargetID) itemKey { return itemKey{id: uint64(id)} }
func factKey(id uint64) itemKey             { return itemKey{id: id, fact: true} }
