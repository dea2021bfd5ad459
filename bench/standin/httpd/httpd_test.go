package httpd

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"peardrift/internal/status"
)

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s, err := Start(Config{Listen: "127.0.0.1:0", MaxConns: 1}, func(_ context.Context, c *app.RequestContext) {
		c.Status(204)
	})
	is.NoErr(err)
	first := dial(t, s)
	buf := make([]byte, 1)
	_, err = first.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	_, err = first.Read(buf)
	is.NoErr(err)

	// Dial may already see the reset, if the server is fast enough.
	second, err := net.Dial("tcp", s.Addr())
	if err == nil {
		defer second.Close()
		_, err = second.Read(buf)
	}
	is.True(errors.Is(err, syscall.ECONNRESET))
	is.Equal(s.Conns.Rejected(), int64(1))
	is.Equal(s.Conns.OpenCount(), 1)
	is.NoErr(s.Close())
	is.Equal(s.Conns.OpenCount(), 0)
}

func TestStartFailsIfPortInUse(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	_, err = Start(Config{Listen: ln.Addr().String()}, nil)
	is.Equal(status.CodeOf(err), status.CodeListen)
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}
