package hertzhttp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// dial connects to addr. It returns the codec's connection, and the system's
// below it, which alone can say whether something has come in.
func dial(addr string, timeout time.Duration) (network.Conn, *socket, error) {
	raw, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, nil, err
	}
	s, err := newSocket(raw.(syscall.Conn)) // as all of TCP are
	if err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	return coded(raw), s, nil
}

// coded makes the codec's connection of the system's. hertz's dialer keeps the
// latter to itself; its server's transport takes that of any listener, so here
// it gets a listener with this one.
func coded(raw net.Conn) (c network.Conn) {
	t := standard.NewTransporter(&config.Options{
		Listener: &single{conn: raw, addr: raw.LocalAddr()},
		OnConnect: func(ctx context.Context, made network.Conn) context.Context {
			c = made
			return ctx
		},
	})
	_ = t.ListenAndServe(func(context.Context, any) error { return nil }) // ends with the listener
	return c
}

// single is a listener that accepts one connection.
type single struct {
	conn net.Conn // nil once accepted
	addr net.Addr
}

// Accept implements net.Listener.
func (s *single) Accept() (net.Conn, error) {
	c := s.conn
	if c == nil {
		return nil, net.ErrClosed
	}
	s.conn = nil
	return c, nil
}

// Addr implements net.Listener.
func (s *single) Addr() net.Addr { return s.addr }

// Close implements net.Listener.
func (s *single) Close() error { return nil }
