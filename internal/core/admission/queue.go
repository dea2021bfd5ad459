package admission

import (
	"container/heap"
	"time"

	"peardrift/internal/core/share"
)

// The heaps in which queued entries are kept.
const (
	bestFirst   = iota // per tenant: next to run
	worstFirst         // per tenant: next to evict
	expiryFirst        // all tenants: next to expire
	numOrders
)

// entryHeap is a heap of entry indices. Each entry stores its index in the heap, so
// that any entry can be removed.
type entryHeap struct {
	pool *pool
	kind int
	idx  []int
}

func (o *entryHeap) Len() int { return len(o.idx) }

func (o *entryHeap) Less(i, j int) bool {
	a, b := &o.pool.entries[o.idx[i]], &o.pool.entries[o.idx[j]]
	switch o.kind {
	case bestFirst:
		return runsBefore(a, b)
	case worstFirst:
		return runsBefore(b, a)
	default:
		return a.latestStart < b.latestStart || a.latestStart == b.latestStart && a.seq < b.seq
	}
}

// runsBefore reports whether a runs before b.
func runsBefore(a, b *entry) bool {
	return a.key > b.key || a.key == b.key && a.seq < b.seq
}

func (o *entryHeap) Swap(i, j int) {
	o.idx[i], o.idx[j] = o.idx[j], o.idx[i]
	o.pool.entries[o.idx[i]].heapIndex[o.kind] = i
	o.pool.entries[o.idx[j]].heapIndex[o.kind] = j
}

// Push implements heap.Interface; x is the index of an entry.
func (o *entryHeap) Push(x any) { o.append(x.(int)) }

// Pop implements heap.Interface.
func (o *entryHeap) Pop() any {
	last := len(o.idx) - 1
	i := o.idx[last]
	o.idx = o.idx[:last]
	return i
}

func (o *entryHeap) append(i int) {
	o.pool.entries[i].heapIndex[o.kind] = len(o.idx)
	o.idx = append(o.idx, i)
}

// insert is heap.Push without boxing the index, which would allocate.
func (o *entryHeap) insert(i int) {
	o.append(i)
	heap.Fix(o, len(o.idx)-1)
}

// drop is heap.Remove without boxing the index.
func (o *entryHeap) drop(i int) {
	at, last := o.pool.entries[i].heapIndex[o.kind], len(o.idx)-1
	if at != last {
		o.Swap(at, last)
	}
	o.idx = o.idx[:last]
	if at != last {
		heap.Fix(o, at)
	}
}

// tenantQueue holds the queued requests of one tenant.
type tenantQueue struct {
	best, worst entryHeap
	backlog     [importances]time.Duration // expected service time of queued requests, by importance
}

// queue holds the queued requests of all tenants.
type queue struct {
	pool    *pool
	ledger  *share.Ledger
	tenants []*tenantQueue // by tenant; nil: nothing queued yet
	expiry  entryHeap
	backlog time.Duration // expected service time of all queued requests
}

func newQueue(p *pool, l *share.Ledger) *queue {
	return &queue{pool: p, ledger: l, expiry: entryHeap{pool: p, kind: expiryFirst}}
}

func (q *queue) len() int { return len(q.expiry.idx) }

func (q *queue) tenantQueue(tenant int) *tenantQueue {
	for len(q.tenants) <= tenant {
		q.tenants = append(q.tenants, nil)
	}
	if q.tenants[tenant] == nil {
		q.tenants[tenant] = &tenantQueue{
			best:  entryHeap{pool: q.pool, kind: bestFirst},
			worst: entryHeap{pool: q.pool, kind: worstFirst},
		}
	}
	return q.tenants[tenant]
}

func (q *queue) insert(i int) {
	e := &q.pool.entries[i]
	ln := q.tenantQueue(e.tenant)
	ln.best.insert(i)
	ln.worst.insert(i)
	q.expiry.insert(i)
	ln.backlog[e.importance()] += e.expected
	q.backlog += e.expected
	q.ledger.Enqueue(e.tenant)
}

func (q *queue) drop(i int) {
	e := &q.pool.entries[i]
	ln := q.tenants[e.tenant]
	ln.best.drop(i)
	ln.worst.drop(i)
	q.expiry.drop(i)
	ln.backlog[e.importance()] -= e.expected
	q.backlog -= e.expected
	q.ledger.Dequeue(e.tenant)
}

// next returns the entry that gets the next free slot.
func (q *queue) next() int {
	t, _ := q.ledger.Next()
	return q.tenants[t].best.idx[0]
}

// workAhead returns the expected service time of a tenant's entries that run before
// a given key. Entries of the same importance count in proportion to the hash, which
// is uniformly distributed.
func (q *queue) workAhead(tenant int, imp int, key uint64) time.Duration {
	ln := q.tenantQueue(tenant)
	if len(ln.best.idx) == 0 || q.pool.entries[ln.best.idx[0]].key < key {
		return 0
	}
	var sum time.Duration
	for i := importances - 1; i > imp; i-- {
		sum += ln.backlog[i]
	}
	above := keySpan - 1 - key%keySpan
	return sum + time.Duration(float64(ln.backlog[imp])*float64(above)/keySpan)
}
