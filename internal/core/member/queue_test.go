package member

import (
	"testing"

	"github.com/matryer/is"
)

func (q *queue) order(link uint32) (ids []uint64) {
	q.each(0, numClasses-1, link, func(it *item) bool {
		ids = append(ids, it.key.id)
		return true
	})
	return ids
}

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	q := newQueue(5)
	q.put(itemKey{id: 1}, classJoin, 0b11, 0)
	q.put(itemKey{id: 2}, classDeath, 0b11, 0)
	q.put(itemKey{id: 3}, classDrain, 0b01, 0)
	q.put(itemKey{id: 4, fact: true}, classHead, 0b11, 0)
	is.Equal(q.order(0b01), []uint64{3, 4, 2, 1})
	is.Equal(q.order(0b10), []uint64{4, 2, 1})
	q.put(itemKey{id: 1}, classDrain, 0b11, 0) // the joiner leaves again
	is.Equal(q.order(0b01), []uint64{3, 1, 4, 2})
	q.markKnown(itemKey{id: 3}, 0b01)
	is.Equal(q.order(0b01), []uint64{1, 4, 2})
	is.Equal(len(q.items), 3)
}

// An acknowledgement of an older change must not count for the newer one that
// replaced it; the newer one would never be sent, and one peer would keep the
// old status.
func TestStaleAckIsIgnored(t *testing.T) {
	is := is.New(t)
	q := newQueue(5)
	key := itemKey{id: 1}
	q.put(key, classDeath, 0b1, 0)
	sent := []sentItem{q.markSent(q.items[key])}
	q.put(key, classDeath, 0b1, 0)
	q.ack(0b1, sent)
	is.Equal(q.order(0b1), []uint64{1})
}

func TestBulkFanoutIsLimited(t *testing.T) {
	is := is.New(t)
	for _, tt := range []struct {
		class class
		rich  bool
		left  int
	}{
		{classDeath, false, 0},
		{classDeath, true, 2},
		{classDrain, false, 2},
	} {
		q := newQueue(3)
		q.ampleBudget = tt.rich
		q.put(itemKey{id: 1}, tt.class, 0b1111, 1)
		q.markKnown(itemKey{id: 1}, 0b0001)
		q.markKnown(itemKey{id: 1}, 0b0010)
		left := len(q.order(0b0100)) + len(q.order(0b1000))
		is.Equal(left, tt.left)
	}
}
