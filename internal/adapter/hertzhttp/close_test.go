package hertzhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
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

// Guards against a shutdown that doesn't wait for the response to a refused upload: the
// rest of the upload is read after the response is written, and hid it from the count.
func TestShutdownWaitsForClosingConnectionOfUpload(t *testing.T) {
	for name, size := range map[string]int{"a body that is read at once": 100, "a stream": 20_000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := Listen("127.0.0.1:0", DefaultServerConfig(), func(_ context.Context, c *app.RequestContext) {
				c.SetConnectionClose()
				c.SetStatusCode(http.StatusServiceUnavailable)
			})
			is.NoErr(err)
			s.Start()
			conn, err := net.Dial("tcp", s.Addr())
			is.NoErr(err)
			writeString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("x", size))
			_, err = io.ReadAll(conn) // until the server closes its sending side
			is.NoErr(err)
			is.Equal(s.Active(), 1)
			_ = conn.Close()
			is.NoErr(s.Shutdown(context.Background()))
		})
	}
}

// Guards against a connection that is drained in the middle of a response: it carries on
// after a response that was being streamed when the server began to stop, and the next
// response breaks off.
func TestConnectionIsDrainedOnlyAfterItsLastResponse(t *testing.T) {
	is := is.New(t)
	bodies := make(chan *io.PipeReader, 2)
	first, writeFirst := io.Pipe()
	second, writeSecond := io.Pipe()
	bodies <- first
	bodies <- second
	s, err := Listen("127.0.0.1:0", DefaultServerConfig(), func(_ context.Context, c *app.RequestContext) {
		c.SetBodyStream(<-bodies, -1)
	})
	is.NoErr(err)
	s.Start()
	conn, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer conn.Close()
	in := bufio.NewReader(conn)
	respond := func(w *io.PipeWriter) *http.Response {
		writeString(conn, requests["without a body"])
		go func() { _, _ = io.WriteString(w, "the start") }()
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = io.ReadFull(resp.Body, make([]byte, len("the start")))
		is.NoErr(err)
		return resp
	}
	resp := respond(writeFirst)
	_ = s.ln.Close() // as a shutdown does first
	time.Sleep(50 * time.Millisecond)
	_ = writeFirst.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	resp = respond(writeSecond)
	_ = writeSecond.CloseWithError(io.ErrUnexpectedEOF)
	_, err = io.Copy(io.Discard, resp.Body)
	is.True(err != nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(s.Shutdown(ctx)) // the client keeps its connection open
}
