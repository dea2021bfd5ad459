package httpd

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Conns is a listener that remembers its open connections, so that a stand-in
// can reset them all or make them go silent.
type Conns struct {
	net.Listener
	max  int
	cost time.Duration

	mu       sync.Mutex
	open     map[*conn]struct{}
	rejected atomic.Int64
	refuse   atomic.Bool // reset all new connections
}

func newConns(ln net.Listener, limit int, cost time.Duration) *Conns {
	return &Conns{Listener: ln, max: limit, cost: cost, open: make(map[*conn]struct{})}
}

// Accept implements net.Listener; connections beyond the limit are reset.
func (l *Conns) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, owner: l, closed: make(chan struct{})}
		if l.add(c) {
			return c, nil
		}
		l.rejected.Add(1)
		c.reset()
	}
}

func (l *Conns) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse.Load() || l.max > 0 && len(l.open) >= l.max {
		return false
	}
	l.open[c] = struct{}{}
	return true
}

func (l *Conns) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (l *Conns) list() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.open))
	for c := range l.open {
		out = append(out, c)
	}
	return out
}

// Open returns the number of open connections.
func (l *Conns) Open() int { return len(l.list()) }

// Rejected returns the number of connections reset for the limit.
func (l *Conns) Rejected() int64 { return l.rejected.Load() }

// Reset breaks all open connections at once, as the death of a process does.
func (l *Conns) Reset() {
	for _, c := range l.list() {
		c.reset()
	}
}

// Silence makes the connections open now go silent for good: bytes that arrive
// are dropped, answers are never sent, not even an end. Later ones work, and so
// does the one whose remote address is except.
func (l *Conns) Silence(except string) {
	for _, c := range l.list() {
		c.silent.Store(c.RemoteAddr().String() != except)
	}
}

// ResetPeer breaks the one connection whose remote address is addr; it reports
// whether there was one.
func (l *Conns) ResetPeer(addr string) bool {
	for _, c := range l.list() {
		if c.RemoteAddr().String() == addr {
			c.reset()
			return true
		}
	}
	return false
}

type conn struct {
	net.Conn
	owner  *Conns
	silent atomic.Bool
	begun  atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (c *conn) Read(b []byte) (int, error) {
	if c.owner.cost > 0 && c.begun.CompareAndSwap(false, true) {
		time.Sleep(c.owner.cost)
	}
	for {
		n, err := c.Conn.Read(b)
		if !c.silent.Load() {
			return n, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err // the server's own doing: it may stop reading
		}
		if err != nil {
			// The peer's end of stream is lost too. Without this wait the
			// server would answer a close, which a dead path can't carry.
			<-c.closed
			return 0, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection unless it is silent: the end would be seen.
// Only reset ends a silent connection.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.end()
}

func (c *conn) reset() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.end()
}

func (c *conn) end() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		c.owner.remove(c)
		err = c.Conn.Close()
	})
	return err
}
