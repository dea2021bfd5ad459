package hertzhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

// A shutdown must wait for a response that is still streamed after its handler has
// returned, not only for requests in the handler.
func TestShutdownWaitsForStreamedResponse(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	s, err := Listen("127.0.0.1:0", DefaultServerConfig(), func(_ context.Context, c *app.RequestContext) {
		c.SetBodyStream(r, -1)
	})
	is.NoErr(err)
	s.Start()
	go func() { _, _ = io.WriteString(w, "the first, ") }()
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	res, err := cl.Do(context.Background(), s.Addr(), newGet("/"), &protocol.Response{})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(s.Shutdown(ctx) != nil) // still streaming
	stopped := make(chan error)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	go func() {
		_, _ = io.WriteString(w, "the rest")
		_ = w.Close()
	}()
	b, err := io.ReadAll(res.Stream)
	is.NoErr(err)
	is.Equal(string(b), "the first, the rest")
	is.NoErr(res.Stream.Close())
	is.NoErr(<-stopped)
}

// A target may answer 503 and close the connection while the body is being sent.
// The write error must not hide that response, or the outcome of the upload would
// be unknown.
func TestResponseBeforeBodyIsSent(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 100))
			writeString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy")
			_ = c.Close() // resets the connection, since much is unread
		}
	}()
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	for range 20 {
		req := newGet("/")
		req.Header.SetMethod("POST")
		req.SetBodyStream(bytes.NewReader(make([]byte, 8<<20)), 8<<20)
		var resp protocol.Response
		res, err := cl.Do(context.Background(), ln.Addr().String(), req, &resp)
		is.NoErr(err)
		is.True(res.Stream == nil)
		is.Equal(resp.StatusCode(), 503)
		is.Equal(string(resp.Body()), "busy")
		is.Equal(cl.pool(ln.Addr().String()).openCount(), 0)
	}
}
