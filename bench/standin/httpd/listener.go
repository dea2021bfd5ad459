package httpd

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// TrackedListener is a listener that tracks its open connections, so that a stand-in can
// reset them or make them drop all traffic.
type TrackedListener struct {
	net.Listener
	maxOpen      int
	connectDelay time.Duration

	mu       sync.Mutex
	open     map[*conn]struct{}
	rejected atomic.Int64
	resetNew atomic.Bool // reset every new connection
}

func newTrackedListener(ln net.Listener, limit int, delay time.Duration) *TrackedListener {
	return &TrackedListener{Listener: ln, maxOpen: limit, connectDelay: delay, open: make(map[*conn]struct{})}
}

// Accept implements net.Listener; connections above the limit are reset.
func (l *TrackedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, listener: l, closed: make(chan struct{})}
		if l.add(c) {
			return c, nil
		}
		l.rejected.Add(1)
		c.reset()
	}
}

func (l *TrackedListener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resetNew.Load() || l.maxOpen > 0 && len(l.open) >= l.maxOpen {
		return false
	}
	l.open[c] = struct{}{}
	return true
}

func (l *TrackedListener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

func (l *TrackedListener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.open))
	for c := range l.open {
		out = append(out, c)
	}
	return out
}

// OpenCount returns the number of open connections.
func (l *TrackedListener) OpenCount() int { return len(l.openConns()) }

// Rejected returns the number of connections reset on accept, because of the
// limit or during Close.
func (l *TrackedListener) Rejected() int64 { return l.rejected.Load() }

// Reset resets all open connections, as a process crash does.
func (l *TrackedListener) Reset() {
	for _, c := range l.openConns() {
		c.reset()
	}
}

// Blackhole makes the currently open connections drop all traffic for good, except
// the one with the remote address except: received bytes are discarded, and
// neither answers nor FINs are sent. Later connections work.
func (l *TrackedListener) Blackhole(except string) {
	for _, c := range l.openConns() {
		c.blackholed.Store(c.RemoteAddr().String() != except)
	}
}

// ResetPeer resets the connection with the remote address addr and reports
// whether it was open.
func (l *TrackedListener) ResetPeer(addr string) bool {
	for _, c := range l.openConns() {
		if c.RemoteAddr().String() == addr {
			c.reset()
			return true
		}
	}
	return false
}

type conn struct {
	net.Conn
	listener    *TrackedListener
	blackholed  atomic.Bool
	readStarted atomic.Bool
	once        sync.Once
	closed      chan struct{}
}

func (c *conn) Read(b []byte) (int, error) {
	if c.listener.connectDelay > 0 && c.readStarted.CompareAndSwap(false, true) {
		time.Sleep(c.listener.connectDelay)
	}
	for {
		n, err := c.Conn.Read(b)
		if !c.blackholed.Load() {
			return n, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err // the server set the deadline, so it sees the timeout
		}
		if err != nil {
			// The peer's FIN is dropped too. Without this wait the server would
			// react to the close, which a dead network path can't carry.
			<-c.closed
			return 0, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection unless it is blackholed, as the peer would see the FIN.
// Only reset closes a blackholed connection.
func (c *conn) Close() error {
	if c.blackholed.Load() {
		return nil
	}
	return c.closeOnce()
}

func (c *conn) reset() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.closeOnce()
}

func (c *conn) closeOnce() error {
	var err error
	c.once.Do(func() {
		close(c.closed)
		c.listener.remove(c)
		err = c.Conn.Close()
	})
	return err
}
