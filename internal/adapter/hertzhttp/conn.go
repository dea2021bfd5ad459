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

// clientConn is one connection to a peer. It belongs either to its pool or to
// one call, whose goroutine alone then reads and writes it.
type clientConn struct {
	network.Conn
	sock   *socket // below Conn
	pool   *pool
	id     conn.ID
	calls  int          // completed on it
	packer *wire.Packer // nil: heads go as they are
	tag    string       // of the call, for the peer; guarded by pool.mu
	abort  func()       // closes the connection, when its call's context ends

	// Guarded by pool.mu while idle.
	idle     bool
	since    time.Duration // when it became so
	watching bool

	lost    atomic.Bool // closed because it went silent
	ours    atomic.Bool // the call waits for its own side, not for the peer
	watched chan bool   // gets whether the connection was still good when watching ended
}

func newClientConn(p *pool, raw network.Conn, sock *socket) *clientConn {
	return &clientConn{Conn: raw, sock: sock, pool: p, watched: make(chan bool, 1), abort: func() { _ = raw.Close() }}
}

// watch waits for bytes or the end of an idle connection, until unwatch, so that
// one which the peer has closed doesn't stay. Called with pool.mu held.
func (c *clientConn) watch() {
	c.watching = true
	if c.Conn.Len() > 0 {
		c.watched <- false
		go c.pool.broke(c)
		return
	}
	go func() {
		_, err := c.Conn.Peek(1)
		nerr, ok := err.(net.Error)
		good := ok && nerr.Timeout()
		c.watched <- good
		if !good {
			c.pool.broke(c)
		}
	}()
}

// past is a deadline that ends a blocked read at once.
var past = time.Unix(1, 0)

// unwatch ends watch, if it goes on, and reports whether the connection may
// carry a call: nothing has come in since the last one's answer.
//
// A target that answers twice, or that says "408" on a connection it is about
// to close, would otherwise have those bytes taken for the answer to the next
// call. And a call sent on a connection that the peer has closed would end as
// unknown, though a new connection would have carried it.
func (c *clientConn) unwatch() bool {
	if !c.watching {
		return c.Conn.Len() == 0 && c.sock.untouched()
	}
	c.watching = false
	_ = c.Conn.SetReadDeadline(past)
	good := <-c.watched
	_ = c.Conn.SetReadDeadline(time.Time{})
	return good
}

// Peek implements network.Reader, and tells the pool of bytes that came.
func (c *clientConn) Peek(n int) ([]byte, error) {
	had := c.Conn.Len()
	b, err := c.Conn.Peek(n)
	c.came(had)
	return b, err
}

// Read implements io.Reader, and tells the pool of bytes that came.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.pool.heard(c, true)
	}
	return n, err
}

// ReadBinary implements network.Reader, and tells the pool of bytes that came.
func (c *clientConn) ReadBinary(n int) ([]byte, error) {
	had := c.Conn.Len()
	b, err := c.Conn.ReadBinary(n)
	if had < n && err == nil {
		c.pool.heard(c, true)
	}
	return b, err
}

// Skip implements network.Reader, and tells the pool of bytes that came.
func (c *clientConn) Skip(n int) error {
	had := c.Conn.Len()
	err := c.Conn.Skip(n)
	if had < n && err == nil {
		c.pool.heard(c, true)
	}
	return err
}

// Flush implements network.Writer, and tells the pool of bytes that went.
func (c *clientConn) Flush() error {
	was := c.ours.Swap(false)
	defer c.ours.Store(was)
	if err := c.Conn.Flush(); err != nil {
		return err
	}
	c.pool.heard(c, false)
	return nil
}

// send writes a request.
func (c *clientConn) send(req *protocol.Request) error {
	c.ours.Store(req.IsBodyStream()) // but for Flush it waits for more of the body
	defer c.ours.Store(false)
	if err := c.write(req); err != nil {
		return err
	}
	return c.Flush()
}

// write packs the head for the time that it is written: the request may be sent
// again, on another connection.
func (c *clientConn) write(req *protocol.Request) error {
	if c.packer == nil {
		return http1req.Write(req, c)
	}
	plain := plainHeads.Get().(*protocol.RequestHeader)
	defer plainHeads.Put(plain)
	req.Header.CopyTo(plain)
	defer plain.CopyTo(&req.Header)
	c.packer.PackRequest(&req.Header)
	return http1req.Write(req, c)
}

var plainHeads = sync.Pool{New: func() any { return new(protocol.RequestHeader) }}

// unpack restores the head of an answer.
func (c *clientConn) unpack(req *protocol.Request, resp *protocol.Response) error {
	if c.packer == nil {
		return nil
	}
	return c.packer.UnpackAnswer(&resp.Header, &req.Header)
}

// giveBack returns the connection after a whole answer. If the call's context
// ended meanwhile, its AfterFunc is closing the connection, or soon will: it
// must not reach another call, which would lose its answer to that close.
func (c *clientConn) giveBack(stop func() bool, keep bool) {
	switch {
	case !stop():
		c.pool.end(c, conn.Aborted)
	case !keep:
		c.pool.end(c, conn.WholeLast)
	default:
		c.pool.end(c, conn.Whole)
	}
}

func (c *clientConn) came(had int) {
	if c.Conn.Len() > had {
		c.pool.heard(c, true)
	}
}
