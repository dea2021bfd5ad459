package hertzhttp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	http1req "github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"peardrift/internal/core/conn"
	"peardrift/internal/wire"
)

// clientConn is one connection to a peer. It belongs either to its pool or to one
// call, and then only that call's goroutine reads and writes it.
type clientConn struct {
	network.Conn
	sock      *socket // underlying socket of Conn
	pool      *pool
	id        conn.ID
	completed int          // calls completed on this connection
	packer    *wire.Packer // nil: headers are sent uncompressed
	tag       string       // identifies the call to the peer; guarded by pool.mu
	abort     func()       // closes the connection when the call's context ends

	// Guarded by pool.mu while idle.
	idle      bool
	idleSince time.Duration // when the connection became idle
	watching  bool

	lost           atomic.Bool // closed because it went silent
	waitingLocally atomic.Bool // the call waits for local I/O, not for the peer
	streaming      atomic.Bool // the response is read by the caller of Do
	watchResult    chan bool   // receives whether the connection was usable when the watch ended
}

func newClientConn(p *pool, raw network.Conn, sock *socket) *clientConn {
	c := &clientConn{Conn: raw, sock: sock, pool: p, watchResult: make(chan bool, 1), abort: func() { _ = raw.Close() }}
	sock.onReceive = func() { p.recordActivity(c, true) }
	return c
}

// startWatch waits for bytes or a close on an idle connection until stopWatch is
// called, so that connections closed by the peer are removed. Called with pool.mu
// held.
func (c *clientConn) startWatch() {
	c.watching = true
	if c.Conn.Len() > 0 {
		c.watchResult <- false
		go c.pool.discardIdle(c)
		return
	}
	go func() {
		_, err := c.Conn.Peek(1)
		nerr, ok := err.(net.Error)
		good := ok && nerr.Timeout()
		c.watchResult <- good
		if !good {
			c.pool.discardIdle(c)
		}
	}()
}

// pastDeadline is a read deadline that unblocks a pending read at once.
var pastDeadline = time.Unix(1, 0)

// stopWatch ends the watch, if one is active, and reports whether the connection
// may carry a call: nothing has arrived since the last call's response.
//
// Without this check, bytes from a target that responds twice, or that sends "408"
// before closing an idle connection, would be taken for the response to the next
// call. A call sent on a connection that the peer has closed would end with an
// unknown outcome, although a new connection would have carried it.
func (c *clientConn) stopWatch() bool {
	if !c.watching {
		return c.Conn.Len() == 0 && c.sock.receiveBufferEmpty()
	}
	c.watching = false
	_ = c.Conn.SetReadDeadline(pastDeadline)
	good := <-c.watchResult
	_ = c.Conn.SetReadDeadline(time.Time{})
	return good
}

// Flush implements network.Writer and reports sent bytes to the pool.
func (c *clientConn) Flush() error {
	was := c.waitingLocally.Swap(false)
	defer c.waitingLocally.Store(was)
	if err := c.Conn.Flush(); err != nil {
		return err
	}
	c.pool.recordActivity(c, false)
	return nil
}

// send writes a request.
func (c *clientConn) send(req *protocol.Request) error {
	c.waitingLocally.Store(req.IsBodyStream()) // except in Flush, the call waits for its body reader
	defer c.waitingLocally.Store(false)
	if err := c.writeRequest(req); err != nil {
		return err
	}
	return c.Flush()
}

// writeRequest writes the request with compressed headers and restores them
// afterwards: the request may be sent again on another connection.
func (c *clientConn) writeRequest(req *protocol.Request) error {
	if c.packer == nil {
		return http1req.Write(req, c)
	}
	plain := headerPool.Get().(*protocol.RequestHeader)
	defer headerPool.Put(plain)
	req.Header.CopyTo(plain)
	defer plain.CopyTo(&req.Header)
	c.packer.PackRequest(&req.Header)
	return http1req.Write(req, c)
}

var headerPool = sync.Pool{New: func() any { return new(protocol.RequestHeader) }}

// unpackResponse decompresses the headers of a response.
func (c *clientConn) unpackResponse(req *protocol.Request, resp *protocol.Response) error {
	if c.packer == nil {
		return nil
	}
	return c.packer.UnpackAnswer(&resp.Header, &req.Header)
}

// returnToPool returns the connection to the pool after a complete response. If
// the call's context ended meanwhile, its AfterFunc is closing the connection or
// soon will: it must not carry another call, whose response would be lost.
func (c *clientConn) returnToPool(stop func() bool, reusable bool) {
	switch {
	case !stop():
		c.pool.finish(c, conn.Aborted)
	case !reusable:
		c.pool.finish(c, conn.CompleteAndClose)
	default:
		c.pool.finish(c, conn.Complete)
	}
}
