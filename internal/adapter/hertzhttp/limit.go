package hertzhttp

import (
	"net"
	"sync/atomic"
)

// ConnLimit bounds the open connections of the servers that share it. Safe for
// concurrent use.
type ConnLimit struct {
	most int64
	open atomic.Int64

	// Turned counts the connections that were closed at once.
	Turned atomic.Int64
}

// NewConnLimit returns a bound of most connections.
func NewConnLimit(most int) *ConnLimit { return &ConnLimit{most: int64(most)} }

// Open returns the connections open now.
func (l *ConnLimit) Open() int { return int(l.open.Load()) }

// limitedListener closes connections above the bound at once. Leaving them
// unaccepted instead would hide from their clients that the node is full, and
// hold them until they time out.
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
		if l.limit.open.Add(1) <= l.limit.most {
			return &countedConn{Conn: c, limit: l.limit}, nil
		}
		l.limit.open.Add(-1)
		l.limit.Turned.Add(1)
		_ = c.Close()
	}
}

// countedConn gives its place back when it is closed.
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
