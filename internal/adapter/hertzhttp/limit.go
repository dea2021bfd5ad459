package hertzhttp

import (
	"net"
	"sync/atomic"
)

// ConnLimit limits the open connections of the servers that share it. It is safe
// for concurrent use.
type ConnLimit struct {
	max  int64
	open atomic.Int64

	// Rejected counts the connections that were closed because of the limit.
	Rejected atomic.Int64
}

// NewConnLimit returns a limit of most connections.
func NewConnLimit(most int) *ConnLimit { return &ConnLimit{max: int64(most)} }

// Open returns the number of open connections.
func (l *ConnLimit) Open() int { return int(l.open.Load()) }

// limitedListener closes connections above the limit at once. Not accepting them
// would hide from clients that the node is full, and keep the connections until
// they time out.
type limitedListener struct {
	net.Listener
	limit *ConnLimit
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limit.open.Add(1) <= l.limit.max {
			return &countedConn{Conn: c, limit: l.limit}, nil
		}
		l.limit.open.Add(-1)
		l.limit.Rejected.Add(1)
		_ = c.Close()
	}
}

// countedConn releases its slot in the limit when it is closed.
type countedConn struct {
	net.Conn
	limit  *ConnLimit
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.limit.open.Add(-1)
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side.
func (c *countedConn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return net.ErrClosed
	}
	return w.CloseWrite()
}
