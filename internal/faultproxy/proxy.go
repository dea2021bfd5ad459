// Package faultproxy is a TCP proxy for one address that injects faults: it breaks a
// connection at a given byte of a request or an answer, breaks all connections
// at once, or silences the open connections while new ones work.
//
// It simulates network faults between two processes, and the death of a process
// as its peer sees it. It is for tests of the product and of bench. A Proxy is
// safe for concurrent use.
package faultproxy

import (
	"net"
	"sync"

	"peardrift/internal/status"
)

// Direction is a direction of traffic.
type Direction int

// Directions: from the connecting side to the address, and back.
const (
	Request Direction = iota
	Answer
)

// String returns the direction's name, used in test names.
func (d Direction) String() string { return [...]string{"request", "answer"}[d] }

// Fault is how a connection breaks.
type Fault int

const (
	// Reset closes both sides with a TCP reset.
	Reset Fault = iota
	// CloseGracefully closes both sides normally, like a process that exits between two
	// writes.
	CloseGracefully
	// Blackhole drops all further bytes and ends of stream in both directions.
	Blackhole
	// Stall is like Blackhole but also stops reading, so writers block once their
	// buffers are full.
	Stall
	// Kill resets all connections and refuses new ones until Resume.
	Kill
)

// String returns the fault's name, used in test names.
func (f Fault) String() string { return [...]string{"reset", "finish", "silence", "stall", "kill"}[f] }

// Cut breaks the connection that carries a given byte.
type Cut struct {
	Direction Direction
	After     int // bytes in that direction that still pass, over all connections
	Fault     Fault
}

// Proxy proxies connections to one address.
type Proxy struct {
	upstreamAddr string
	addr         string

	mu          sync.Mutex
	listener    net.Listener // nil while connections are refused
	conns       map[*proxiedConn]struct{}
	cut         *Cut
	cutDone     chan struct{}
	passedBytes [2]int
	closed      bool
}

// Listen starts a proxy for an address, on a free port of the loopback interface.
func Listen(upstreamAddr string) (*Proxy, error) {
	l := &Proxy{upstreamAddr: upstreamAddr, addr: "127.0.0.1:0", conns: make(map[*proxiedConn]struct{})}
	if err := l.Resume(); err != nil {
		return nil, err
	}
	return l, nil
}

// Addr returns the address to connect to.
func (l *Proxy) Addr() string { return l.addr }

// Arm resets the byte counts and applies c when its byte is reached. The
// returned channel is closed when c has been applied.
func (l *Proxy) Arm(c Cut) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.cutDone, l.passedBytes = &c, make(chan struct{}), [2]int{}
	return l.cutDone
}

// Disarm cancels an armed cut, resets the byte counts, and accepts connections
// again.
func (l *Proxy) Disarm() error {
	l.mu.Lock()
	l.cut, l.passedBytes = nil, [2]int{}
	l.mu.Unlock()
	return l.Resume()
}

// PassedBytes returns the bytes forwarded in a direction since Arm or Disarm.
func (l *Proxy) PassedBytes(d Direction) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passedBytes[d]
}

// OpenConns returns the number of connections that the connecting side has not
// closed.
func (l *Proxy) OpenConns() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		if !p.clientClosed {
			n++
		}
	}
	return n
}

// Break breaks all open connections. New connections work, except after Kill.
func (l *Proxy) Break(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.shutDown(f)
	}
	if f == Kill {
		l.closeListener()
	}
}

// CloseSilenced closes the silenced connections, so both sides see their end.
func (l *Proxy) CloseSilenced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		if p.silenced {
			delete(l.conns, p)
			p.closeSilenced()
		}
	}
}

// Resume accepts connections again after a Kill.
func (l *Proxy) Resume() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil || l.closed {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return status.Wrap(status.CodeListen, err, "link to %s", l.upstreamAddr)
	}
	l.listener, l.addr = ln, ln.Addr().String()
	go l.accept(ln)
	return nil
}

// Close closes the proxy and all its connections.
func (l *Proxy) Close() {
	l.Break(Kill)
	l.CloseSilenced()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// closeListener refuses new connections. The caller must hold mu.
func (l *Proxy) closeListener() {
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

func (l *Proxy) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.handleConn(c)
	}
}

func (l *Proxy) handleConn(c net.Conn) {
	upstream, err := net.Dial("tcp", l.upstreamAddr)
	if err != nil {
		reset(c)
		return
	}
	p := newProxiedConn(c, upstream)
	l.mu.Lock()
	if l.listener == nil {
		l.mu.Unlock()
		p.shutDown(Reset)
		return
	}
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	go l.copyDirection(p, Request)
	l.copyDirection(p, Answer)
}

const bufferSize = 32 << 10

// copyDirection forwards one direction of a connection until it ends.
func (l *Proxy) copyDirection(p *proxiedConn, d Direction) {
	src, dst := p.client, p.upstream
	if d == Answer {
		src, dst = p.upstream, p.client
	}
	buf := make([]byte, bufferSize)
	for {
		n, err := src.Read(buf)
		if allowed := l.countBytes(p, d, n); allowed > 0 {
			if _, werr := dst.Write(buf[:allowed]); werr != nil && err == nil {
				err = werr
			}
		}
		l.applyCut(p, d)
		p.waitWhileStalled()
		if err != nil {
			l.handleEnd(p, d)
			return
		}
	}
}

// countBytes counts n bytes and returns how many of them to forward.
func (l *Proxy) countBytes(p *proxiedConn, d Direction, n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.silenced {
		return 0
	}
	if c := l.cut; c != nil && c.Direction == d && l.passedBytes[d]+n > c.After {
		n = c.After - l.passedBytes[d]
		p.cutReached[d] = true
	}
	l.passedBytes[d] += n
	return n
}

// applyCut breaks a connection whose cut has been reached, once the bytes
// before it have been written.
func (l *Proxy) applyCut(p *proxiedConn, d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !p.cutReached[d] || l.cut == nil {
		return
	}
	p.cutReached[d] = false
	fault := l.cut.Fault
	l.cut = nil
	if fault == Kill {
		for q := range l.conns {
			q.shutDown(Reset)
		}
		l.closeListener()
	} else {
		p.shutDown(fault)
	}
	close(l.cutDone)
}

func (l *Proxy) handleEnd(p *proxiedConn, d Direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.clientClosed = p.clientClosed || d == Request
	if p.silenced {
		return // the end of stream is dropped too; only CloseSilenced and Close close the other side
	}
	delete(l.conns, p)
	p.shutDown(CloseGracefully)
}

// proxiedConn is one connection through a proxy. Its fields are guarded by
// Proxy.mu.
type proxiedConn struct {
	client, upstream net.Conn
	silenced         bool
	stalled          chan struct{} // closed by Stall
	released         chan struct{} // closed by closeSilenced
	cutReached       [2]bool       // by direction: the cut's byte has been reached
	closed           bool
	clientClosed     bool // closed by the connecting side
}

func newProxiedConn(client, upstream net.Conn) *proxiedConn {
	return &proxiedConn{client: client, upstream: upstream, stalled: make(chan struct{}), released: make(chan struct{})}
}

// waitWhileStalled blocks while the connection is stalled, until it is
// released.
func (p *proxiedConn) waitWhileStalled() {
	select {
	case <-p.stalled:
		<-p.released
	default:
	}
}

func (p *proxiedConn) shutDown(f Fault) {
	switch {
	case p.closed || p.silenced:
	case f == Blackhole:
		p.silenced = true
	case f == Stall:
		p.silenced = true
		close(p.stalled)
	case f == CloseGracefully:
		p.closed = true
		_ = p.client.Close()
		_ = p.upstream.Close()
	default:
		p.closed = true
		reset(p.client)
		reset(p.upstream)
	}
}

// closeSilenced closes a connection that Blackhole or Stall kept open.
func (p *proxiedConn) closeSilenced() {
	close(p.released)
	_ = p.client.Close()
	_ = p.upstream.Close()
}

func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}
