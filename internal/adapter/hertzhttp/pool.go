package hertzhttp

import (
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"peardrift/internal/status"
)

// clientConn is one connection to a peer. It belongs either to its pool's idle
// list or to one call.
type clientConn struct {
	network.Conn
	pool      *pool
	idleSince time.Time
	calls     int // calls completed on it
}

// pool keeps the connections to one address. Safe for concurrent use.
type pool struct {
	addr   string
	cfg    *ClientConfig
	dialer network.Dialer

	mu     sync.Mutex
	idle   []*clientConn // oldest first; taken from the end
	open   int           // idle, in use and being dialed
	closed bool
}

func newPool(addr string, cfg *ClientConfig) *pool {
	return &pool{addr: addr, cfg: cfg, dialer: standard.NewDialer()}
}

// get returns an idle connection or dials one within timeout. Its failures
// mean that nothing was sent.
func (p *pool) get(timeout time.Duration) (*clientConn, error) {
	c, err := p.takeIdle()
	if c != nil || err != nil {
		return c, err
	}
	raw, err := p.dialer.DialConnection("tcp", p.addr, min(timeout, p.cfg.DialTimeout), nil)
	if err != nil {
		p.forget()
		return nil, status.Wrap(status.CodeConnectFailed, err, "cannot connect to %s", p.addr)
	}
	return &clientConn{Conn: raw, pool: p}, nil
}

// takeIdle returns the connection used last, or counts a new one that the
// caller then dials.
func (p *pool) takeIdle() (*clientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.cfg.MaxConns {
		return nil, status.New(status.CodeConnectFailed, "all %d connections to %s are in use", p.cfg.MaxConns, p.addr)
	}
	p.open++
	return nil, nil
}

// put takes back a connection whose answer was read whole.
func (p *pool) put(c *clientConn, now time.Time) {
	c.idleSince = now
	c.calls++
	p.mu.Lock()
	keep := !p.closed && len(p.idle) < p.cfg.MaxIdle
	if keep {
		p.idle = append(p.idle, c)
	} else {
		p.open--
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Conn.Close()
	}
}

// drop closes a connection that must not serve another call.
func (p *pool) drop(c *clientConn) {
	_ = c.Conn.Close()
	p.forget()
}

func (p *pool) forget() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// reap closes connections idle since before the given time and reports whether
// the pool is empty.
func (p *pool) reap(before time.Time) (empty bool) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && p.idle[n].idleSince.Before(before) {
		n++
	}
	old := append([]*clientConn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.open -= n
	empty = p.open == 0
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Conn.Close()
	}
	return empty
}

// flush closes all idle connections, for a peer whose connections are suspect.
func (p *pool) flush(final bool) {
	p.mu.Lock()
	old := p.idle
	p.idle = nil
	p.open -= len(old)
	p.closed = p.closed || final
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Conn.Close()
	}
}
