package hertzhttp

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// serverConn is a connection of a Server. hertz writes a response after its handler has
// returned; serverConn keeps the request active until that is done.
//
// It also lets the client receive its last response. Bytes that are unread when a
// connection is closed, or that arrive later, reset it, and the client may lose responses
// that it has not received yet. After the last response serverConn therefore closes only
// the sending side, and reads on until the client closes (RFC 9112, 9.6).
type serverConn struct {
	net.Conn
	limit      *ConnLimit
	active     *atomic.Int64 // requests of the server
	responding atomic.Bool   // the handler has returned, and its response may not be written yet
	last       atomic.Bool   // hertz closes the connection after the response
	cut        atomic.Bool   // nothing more of the response is sent

	waiting
	held    atomic.Int64 // counted bytes; changed by limit
	closed  atomic.Bool
	request *requestConn // reads the requests
}

const (
	// maxDrainTime bounds how long a connection is read after its last response. It leaves
	// time for some retransmissions; a client that doesn't close holds its connection as long.
	maxDrainTime = 2 * time.Second
	// maxDrainBytes bounds how much is read then; a refused upload can be of any size.
	maxDrainBytes = 1 << 20
	// writeTimeout bounds one write. It leaves a client that reads 1 KB/s time for an answer
	// that is buffered.
	writeTimeout = time.Minute
)

func newServerConn(raw net.Conn, limit *ConnLimit, active *atomic.Int64) *serverConn {
	c := &serverConn{Conn: raw, limit: limit, active: active}
	c.begin(awaitHead)
	return c
}

// serverConnKey is the context key of a request's serverConn.
type serverConnKey struct{}

func withServerConn(c net.Conn) context.Context {
	return context.WithValue(context.Background(), serverConnKey{}, c)
}

func serverConnOf(ctx context.Context) *serverConn {
	return ctx.Value(serverConnKey{}).(*serverConn)
}

// beginRequest counts a request whose handler is called.
func (c *serverConn) beginRequest() {
	c.active.Add(1)
	c.last.Store(false)
	c.responseWritten() // the one before, if its client had already sent this request
}

// endHandler leaves the rest of the request to hertz: writing the response, or what is
// left of it in buffers.
func (c *serverConn) endHandler(last bool) {
	c.last.Store(last)
	c.responding.Store(true)
}

func (c *serverConn) responseWritten() {
	if c.responding.Swap(false) {
		c.active.Add(-1)
	}
}

// Read implements net.Conn. After a request's handler has returned, hertz reads on only
// when the response is written; after the last response, to skip the rest of its request.
func (c *serverConn) Read(b []byte) (int, error) {
	if !c.last.Load() {
		c.responseWritten()
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn.
func (c *serverConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	if c.cut.Load() {
		return 0, net.ErrClosed
	}
	c.begin(awaitRead)
	defer c.end()
	return c.Conn.Write(b)
}

// cutResponse ends the writing of a streamed response at its request's deadline: the call that
// the response is read from ends too, and a client that doesn't read would hold it. A response
// outlasts a request that is canceled for other reasons.
func (c *serverConn) cutResponse(ctx context.Context) {
	if EndReasonOf(ctx) != DeadlinePassed {
		return
	}
	c.cut.Store(true)
	_ = c.SetWriteDeadline(pastDeadline)
}

// hold counts the memory that the request takes. It reports false if others take too much.
func (c *serverConn) hold(bytes int) bool { return c.limit.hold(c, int64(bytes)) }

// Close implements net.Conn.
func (c *serverConn) Close() error {
	defer c.responseWritten()
	if c.last.Swap(false) {
		c.drain()
	}
	c.limit.remove(c)
	return c.abort()
}

// abort closes the connection at once.
func (c *serverConn) abort() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (c *serverConn) drain() {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(maxDrainTime)) != nil {
		return
	}
	c.begin(awaitClose)
	_, _ = io.CopyN(io.Discard, c.Conn, maxDrainBytes)
}
