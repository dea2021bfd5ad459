package rpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"

	"peardrift/internal/status"
)

// Pool calls other nodes over one long-lived connection per address.
type Pool struct {
	cfg   Config
	meter *Meter
	dial  func(ctx context.Context, addr string) (net.Conn, error)

	mu      sync.Mutex
	closed  bool
	clients map[string]*client
}

// client is a connection that is being established or in use.
type client struct {
	ready chan struct{} // closed once rpc or err is set
	rpc   *rpc.Client
	err   error
}

// NewPool returns a pool without connections.
func NewPool(cfg Config, meter *Meter) *Pool {
	d := net.Dialer{Timeout: cfg.DialTimeout}
	return &Pool{
		cfg: cfg, meter: meter, clients: make(map[string]*client),
		dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		},
	}
}

// Call calls a method at an address and waits for the reply until ctx ends. A
// call that times out closes its connection: the connection may be permanently
// unresponsive while new ones work, so the next call dials again.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	err := p.callPooled(ctx, addr, method, args, reply)
	if errors.Is(err, rpc.ErrShutdown) {
		// The connection was closed before the call was sent, so a retry is safe.
		err = p.callPooled(ctx, addr, method, args, reply)
	}
	return err
}

func (p *Pool) callPooled(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.get(ctx, addr)
	if err != nil {
		return err
	}
	err = call(ctx, c.rpc, method, args, reply)
	if isConnectionError(err) {
		p.drop(addr, c)
	}
	return err
}

// CallOnce is like Call, but if the pool has no connection to the address, it
// dials one and closes it after the call.
func (p *Pool) CallOnce(ctx context.Context, addr, method string, args, reply any) error {
	p.mu.Lock()
	pooled := p.clients[addr] != nil
	p.mu.Unlock()
	if pooled {
		return p.Call(ctx, addr, method, args, reply)
	}
	rc, err := p.connect(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = rc.Close() }()
	return call(ctx, rc, method, args, reply)
}

func call(ctx context.Context, rc *rpc.Client, method string, args, reply any) error {
	done := rc.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
	select {
	case c := <-done:
		return callError(c.Error, method)
	case <-ctx.Done():
		return status.Wrap(status.CodeDeadlineExceeded, ctx.Err(), "call %s", method)
	}
}

func callError(err error, method string) error {
	var serverErr rpc.ServerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &serverErr):
		return status.Wrap(status.CodeProtocol, err, "call %s", method)
	default:
		return status.Wrap(status.CodeConnectionLost, err, "call %s", method)
	}
}

// isConnectionError reports whether the error leaves the connection unusable.
func isConnectionError(err error) bool {
	return err != nil && status.CodeOf(err) != status.CodeProtocol
}

// get returns the connection to an address. Concurrent callers share a single
// dial attempt.
func (p *Pool) get(ctx context.Context, addr string) (*client, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, status.New(status.CodeConnectionLost, "the pool is closed")
	}
	c, ok := p.clients[addr]
	if !ok {
		c = &client{ready: make(chan struct{})}
		p.clients[addr] = c
	}
	p.mu.Unlock()
	if !ok {
		c.rpc, c.err = p.connect(ctx, addr)
		close(c.ready)
		if c.err != nil {
			p.drop(addr, c)
		}
	}
	select {
	case <-c.ready:
		return c, c.err
	case <-ctx.Done():
		return nil, status.Wrap(status.CodeDeadlineExceeded, ctx.Err(), "connect to %s", addr)
	}
}

func (p *Pool) connect(ctx context.Context, addr string) (*rpc.Client, error) {
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, status.Wrap(status.CodeConnectionLost, err, "connect to %s", addr)
	}
	return rpc.NewClientWithCodec(newCodec(newMeteredConn(conn, p.meter), p.cfg, 0)), nil
}

// drop removes a connection from the pool and closes it, unless it was already
// removed.
func (p *Pool) drop(addr string, c *client) {
	p.mu.Lock()
	pooled := p.clients[addr] == c
	if pooled {
		delete(p.clients, addr)
	}
	p.mu.Unlock()
	if pooled {
		c.close()
	}
}

func (c *client) close() {
	<-c.ready
	if c.rpc != nil {
		_ = c.rpc.Close()
	}
}

// Drop closes the connection to an address, if there is one.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	c := p.clients[addr]
	p.mu.Unlock()
	if c != nil {
		p.drop(addr, c)
	}
}

// Close closes all connections; in-flight calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	clients := p.clients
	p.clients = nil
	p.mu.Unlock()
	for _, c := range clients {
		c.close()
	}
}
