package waiting

// heapOf is a binary heap whose items store their position, so that any item can be
// removed. Unlike container/heap it doesn't box its items, which would allocate.
type heapOf[T any] struct {
	items  []T
	before func(a, b T) bool
	pos    func(T) *int
}

func (h *heapOf[T]) len() int { return len(h.items) }

func (h *heapOf[T]) top() T { return h.items[0] }

func (h *heapOf[T]) insert(x T) {
	h.items = append(h.items, x)
	*h.pos(x) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

func (h *heapOf[T]) remove(x T) {
	i, last := *h.pos(x), len(h.items)-1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
}

// fix restores the order after the item at i has changed.
func (h *heapOf[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heapOf[T]) up(i int) {
	for i > 0 && h.before(h.items[i], h.items[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

// down reports whether the item moved.
func (h *heapOf[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.before(h.items[right], h.items[child]) {
			child = right
		}
		if !h.before(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *heapOf[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.pos(h.items[i]) = i
	*h.pos(h.items[j]) = j
}
