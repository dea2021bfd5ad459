package hertzhttp

import (
	"io"
	"sync"
)

// minBufferBytes is the size of a connection's input buffer without a larger head.
const minBufferBytes = 4 << 10

var inputBuffers = sync.Pool{New: func() any { return new([minBufferBytes]byte) }}

// inputBuffer holds bytes that were received and not yet read, in one piece. The zero value
// is empty.
type inputBuffer struct {
	b    []byte
	r, w int                   // unread bytes are b[r:w]
	base *[minBufferBytes]byte // nil until the first read
}

func (b *inputBuffer) bytes() []byte { return b.b[b.r:b.w] }

func (b *inputBuffer) len() int { return b.w - b.r }

func (b *inputBuffer) size() int { return len(b.b) }

// full reports whether fill needs a larger buffer.
func (b *inputBuffer) full() bool { return b.base != nil && b.len() == len(b.b) }

// grown returns the size of the buffer after grow, together with that of the current one.
func (b *inputBuffer) grown() int { return 3 * len(b.b) }

// grow doubles the buffer.
func (b *inputBuffer) grow() { b.move(make([]byte, 2*len(b.b))) }

// reserve makes room for unread bytes of the given size.
func (b *inputBuffer) reserve(size int) {
	b.init()
	if size > len(b.b) {
		b.move(make([]byte, size))
	}
}

// shrink returns to the small buffer if the unread bytes fit it.
func (b *inputBuffer) shrink() {
	if len(b.b) > minBufferBytes && b.len() <= minBufferBytes {
		b.move(b.base[:])
	}
}

// move copies the unread bytes to the beginning of another buffer.
func (b *inputBuffer) move(to []byte) {
	b.w = copy(to, b.bytes())
	b.b, b.r = to, 0
}

func (b *inputBuffer) init() {
	if b.base == nil {
		b.base = inputBuffers.Get().(*[minBufferBytes]byte)
		b.b = b.base[:]
	}
}

// fill reads once into the buffer, which must not be full.
func (b *inputBuffer) fill(r io.Reader) error {
	b.init()
	switch {
	case b.r == b.w:
		b.r, b.w = 0, 0
	case b.w == len(b.b):
		b.move(b.b)
	}
	n, err := r.Read(b.b[b.w:])
	b.w += n
	if n > 0 {
		return nil // an error is returned by the next read
	}
	return err
}

func (b *inputBuffer) skip(n int) { b.r += n }

// unread puts bytes back in front of the unread ones.
func (b *inputBuffer) unread(p []byte) {
	if len(p) == 0 {
		return
	}
	all := append(append(make([]byte, 0, max(len(p)+b.len(), minBufferBytes)), p...), b.bytes()...)
	b.init()
	b.b, b.r, b.w = all[:cap(all)], 0, len(all)
	b.shrink()
}

// free returns the buffer's memory; the buffer must not be used any more.
func (b *inputBuffer) free() {
	if b.base != nil {
		inputBuffers.Put(b.base)
	}
	*b = inputBuffer{}
}
