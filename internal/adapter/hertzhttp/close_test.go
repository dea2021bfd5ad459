package hertzhttp

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"
)

const largeResponse = 1 << 20

// pipeline sends a request for a large response, one after which the server closes the
// connection, and more than the server reads at once. The client receives little before
// it reads.
func pipeline(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	const get = " HTTP/1.1\r\nHost: x\r\n\r\n"
	writeString(conn, "GET /large"+get+"GET /last"+get+strings.Repeat("GET /large"+get, 300))
	return conn
}

// serveLarge is the handler for pipeline's requests.
func serveLarge(_ context.Context, c *app.RequestContext) {
	if string(c.Path()) == "/last" {
		c.SetConnectionClose()
		c.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	c.SetBodyStream(bytes.NewReader(make([]byte, largeResponse)), largeResponse)
}

// receive reads the responses to pipeline's first two requests slowly. It returns the
// number of bytes of the first one, and the status of the second one.
func receive(conn net.Conn) (first, second int) {
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	for buf := make([]byte, 16<<10); err == nil; time.Sleep(time.Millisecond) {
		var n int
		n, err = resp.Body.Read(buf)
		first += n
	}
	if resp, err = http.ReadResponse(in, nil); err == nil {
		second = resp.StatusCode
	}
	return first, second
}

// Guards against responses that are cut when the server closes their connection: unread
// requests reset it, and with it goes what the client has not received yet.
func TestClosePreservesResponsesOfPipelinedRequests(t *testing.T) {
	is := is.New(t)
	conn := pipeline(t, startServer(t, serveLarge))
	first, second := receive(conn)
	is.Equal(first, largeResponse)
	is.Equal(second, http.StatusServiceUnavailable)
}

// Guards against a shutdown that returns while a client still receives the responses of
// a connection that the server has closed: the end of the process would reset it.
func TestShutdownWaitsForClosingConnections(t *testing.T) {
	is := is.New(t)
	closing := make(chan struct{}, 1)
	s, err := Listen("127.0.0.1:0", DefaultServerConfig(), func(ctx context.Context, c *app.RequestContext) {
		serveLarge(ctx, c)
		if c.Response.StatusCode() == http.StatusServiceUnavailable {
			closing <- struct{}{}
		}
	})
	is.NoErr(err)
	s.Start()
	conn := pipeline(t, s.Addr())
	<-closing
	var received atomic.Bool
	go func() {
		_, _ = receive(conn)
		received.Store(true)
		_ = conn.Close()
	}()
	is.NoErr(s.Shutdown(context.Background()))
	is.True(received.Load())
}
