// Package link relays TCP connections to one address and breaks them on
// purpose: at a given byte of a request or an answer, all at once, or by making
// the open ones go silent while new ones work.
//
// It stands for the network between two processes, and for the sight that a
// peer has of a process that dies. It is for tests, the product's and bench's. A Link
// is safe for concurrent use.
package link

import (
	"net"
	"sync"

	"peardrift/internal/status"
)

// Way is a direction through a link.
type Way int

// The directions: from the side that connects, and back.
const (
	Request Way = iota
	Answer
)

// String returns the direction's name in test names.
func (w Way) String() string { return [...]string{"request", "answer"}[w] }

// How is the manner in which a connection breaks.
type How int

const (
	// Reset ends both sides with a TCP reset.
	Reset How = iota
	// Finish ends both sides in order, as a process does that exits between
	// two writes.
	Finish
	// Silence drops all further bytes and ends of stream, on both sides.
	Silence
	// Stall is silence that takes no further bytes either, so that writers block
	// when the buffers on their side are full.
	Stall
	// Kill resets all connections and refuses new ones until Up.
	Kill
)

// String returns the manner's name in test names.
func (h How) String() string { return [...]string{"reset", "finish", "silence", "stall", "kill"}[h] }

// Cut breaks the connection that carries a certain byte.
type Cut struct {
	Way   Way
	After int // bytes of that way that still pass, over all connections
	How   How
}

// Link relays connections to one address.
type Link struct {
	to   string
	addr string

	mu     sync.Mutex
	ln     net.Listener // nil while down
	pairs  map[*pair]struct{}
	cut    *Cut
	struck chan struct{}
	passed [2]int
	closed bool
}

// Listen starts a link to an address.
func Listen(to string) (*Link, error) {
	l := &Link{to: to, addr: "127.0.0.1:0", pairs: make(map[*pair]struct{})}
	if err := l.Up(); err != nil {
		return nil, err
	}
	return l, nil
}

// Addr returns the address to connect to.
func (l *Link) Addr() string { return l.addr }

// Arm counts bytes from zero and lets c strike when its byte comes. The channel
// is closed when it has struck.
func (l *Link) Arm(c Cut) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.struck, l.passed = &c, make(chan struct{}), [2]int{}
	return l.struck
}

// Disarm takes an armed cut back, counts from zero, and lets connections in.
func (l *Link) Disarm() error {
	l.mu.Lock()
	l.cut, l.passed = nil, [2]int{}
	l.mu.Unlock()
	return l.Up()
}

// Passed returns the bytes that went through since Arm or Disarm.
func (l *Link) Passed(w Way) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed[w]
}

// Open returns the connections that the connecting side has not closed.
func (l *Link) Open() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if !p.left {
			n++
		}
	}
	return n
}

// Break breaks all connections that are open now. After Silence and the others
// but Kill new ones work.
func (l *Link) Break(h How) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.end(h)
	}
	if h == Kill {
		l.down()
	}
}

// Release ends the connections that went silent: their ends are seen at last.
func (l *Link) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if p.silent {
			delete(l.pairs, p)
			p.release()
		}
	}
}

// Up lets connections in again after a Kill.
func (l *Link) Up() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil || l.closed {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return status.Wrap(status.CodeListen, err, "link to %s", l.to)
	}
	l.ln, l.addr = ln, ln.Addr().String()
	go l.accept(ln)
	return nil
}

// Close ends the link and all its connections.
func (l *Link) Close() {
	l.Break(Kill)
	l.Release()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// down refuses connections. Called with mu held.
func (l *Link) down() {
	if l.ln != nil {
		_ = l.ln.Close()
		l.ln = nil
	}
}

func (l *Link) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.connect(c)
	}
}

func (l *Link) connect(c net.Conn) {
	out, err := net.Dial("tcp", l.to)
	if err != nil {
		reset(c)
		return
	}
	p := newPair(c, out)
	l.mu.Lock()
	if l.ln == nil {
		l.mu.Unlock()
		p.end(Reset)
		return
	}
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	go l.pump(p, Request)
	l.pump(p, Answer)
}

const buffer = 32 << 10

// pump carries one way of a pair until it ends.
func (l *Link) pump(p *pair, w Way) {
	from, to := p.near, p.far
	if w == Answer {
		from, to = p.far, p.near
	}
	buf := make([]byte, buffer)
	for {
		n, err := from.Read(buf)
		if pass := l.pass(p, w, n); pass > 0 {
			if _, werr := to.Write(buf[:pass]); werr != nil && err == nil {
				err = werr
			}
		}
		l.strike(p, w)
		p.hold()
		if err != nil {
			l.ended(p, w)
			return
		}
	}
}

// pass counts n bytes and returns how many of them may go on.
func (l *Link) pass(p *pair, w Way, n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.silent {
		return 0
	}
	if c := l.cut; c != nil && c.Way == w && l.passed[w]+n > c.After {
		n = c.After - l.passed[w]
		p.doomed[w] = true
	}
	l.passed[w] += n
	return n
}

// strike breaks a pair whose byte has come, after the bytes before it went out.
func (l *Link) strike(p *pair, w Way) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.doomed[w] || l.cut == nil {
		return
	}
	p.doomed[w] = false
	how := l.cut.How
	l.cut = nil
	if how == Kill {
		for q := range l.pairs {
			q.end(Reset)
		}
		l.down()
	} else {
		p.end(how)
	}
	close(l.struck)
}

func (l *Link) ended(p *pair, w Way) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.left = p.left || w == Request
	if p.silent {
		return // the end is lost too; only Close ends the other side
	}
	delete(l.pairs, p)
	p.end(Finish)
}

// pair is one connection through a link. Its fields are guarded by Link.mu.
type pair struct {
	near, far net.Conn
	silent    bool
	stalled   chan struct{} // closed by Stall
	released  chan struct{} // closed by release
	doomed    [2]bool       // its cut's byte has come, by way
	over      bool
	left      bool // by the side that connected
}

func newPair(near, far net.Conn) *pair {
	return &pair{near: near, far: far, stalled: make(chan struct{}), released: make(chan struct{})}
}

// hold returns at once, but for a stalled pair only when that is released.
func (p *pair) hold() {
	select {
	case <-p.stalled:
		<-p.released
	default:
	}
}

func (p *pair) end(h How) {
	switch {
	case p.over || p.silent:
	case h == Silence:
		p.silent = true
	case h == Stall:
		p.silent = true
		close(p.stalled)
	case h == Finish:
		p.over = true
		_ = p.near.Close()
		_ = p.far.Close()
	default:
		p.over = true
		reset(p.near)
		reset(p.far)
	}
}

// release closes what Silence kept open.
func (p *pair) release() {
	close(p.released)
	_ = p.near.Close()
	_ = p.far.Close()
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}
