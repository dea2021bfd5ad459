package hertzhttp

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// dial connects to addr. It returns the codec's connection and the underlying
// socket, which alone can tell whether data has arrived.
func dial(addr string, timeout time.Duration) (network.Conn, *socket, error) {
	raw, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, nil, err
	}
	tcp := raw.(*net.TCPConn) // as for each dial of "tcp"
	s, err := newSocket(tcp)
	if err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	return wrapConn(&receivingConn{tcp, s}), s, nil
}

// receivingConn reports received bytes as they arrive. The codec's reads may return
// only when a whole body has arrived, and the connection would look silent until then.
type receivingConn struct {
	*net.TCPConn
	sock *socket
}

// Read implements io.Reader.
func (c *receivingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && c.sock.onReceive != nil {
		c.sock.onReceive()
	}
	return n, err
}

// wrapConn wraps a network connection in the codec's type. hertz's dialer does not
// expose the underlying connection, but its server transport accepts any listener,
// so wrapConn passes it a listener that returns this connection.
func wrapConn(raw net.Conn) (c network.Conn) {
	t := standard.NewTransporter(&config.Options{
		Listener: &singleConnListener{conn: raw, addr: raw.LocalAddr()},
		OnConnect: func(ctx context.Context, made network.Conn) context.Context {
			c = made
			return ctx
		},
	})
	_ = t.ListenAndServe(func(context.Context, any) error { return nil }) // returns when the listener is exhausted
	return c
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct {
	conn net.Conn // nil once accepted
	addr net.Addr
}

// Accept implements net.Listener.
func (l *singleConnListener) Accept() (net.Conn, error) {
	c := l.conn
	if c == nil {
		return nil, net.ErrClosed
	}
	l.conn = nil
	return c, nil
}

// Addr implements net.Listener.
func (l *singleConnListener) Addr() net.Addr { return l.addr }

// Close implements net.Listener.
func (l *singleConnListener) Close() error { return nil }
