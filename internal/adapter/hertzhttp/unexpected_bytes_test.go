package hertzhttp

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/core/conn"
	"peardrift/internal/status"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// A duplicate response may be in the receive buffer before the idle connection is
// watched. The next call must not take it for its own response.
func TestDuplicateResponseIsNotUsedForNextCall(t *testing.T) {
	is := is.New(t)
	addr := startPeer(t, func(n int, c net.Conn, _ *http.Request) {
		if n == 0 {
			writeString(c, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
			return
		}
		writeString(c, okResponse)
	})
	cfg := DefaultClientConfig()
	cfg.WatchAfter = time.Hour
	cl := NewClient(cfg)
	defer cl.Close()
	for range 2 {
		var resp protocol.Response
		_, err := cl.Do(context.Background(), addr, newGet("/"), &resp)
		is.NoErr(err)
		is.Equal(string(resp.Body()), "ok")
	}
}

// Unsolicited bytes may arrive after a call has acquired the connection and before
// it has stopped the watch, when the connection no longer counts as idle. They
// must still be detected.
func TestUnexpectedBytesBetweenAcquireAndSend(t *testing.T) {
	is := is.New(t)
	stray := make(chan struct{})
	addr := startPeer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeString(c, okResponse)
		<-stray
		writeString(c, okResponse)
	})
	cfg := DefaultClientConfig()
	cfg.WatchAfter = 0 // watch immediately
	cl := NewClient(cfg)
	defer cl.Close()
	var resp protocol.Response
	_, err := cl.Do(context.Background(), addr, newGet("/"), &resp)
	is.NoErr(err)
	p := cl.pool(addr)
	for !isWatched(p) { // the sweep runs asynchronously
		time.Sleep(time.Millisecond)
	}
	c, result := p.acquire("")
	is.Equal(result, conn.Reuse)
	close(stray)
	for len(c.watchResult) == 0 { // until the watch has detected the bytes
		time.Sleep(time.Millisecond)
	}
	is.True(!c.stopWatch())
	p.finish(c, conn.Aborted)
}

// isWatched reports whether the single connection of a pool is watched.
func isWatched(p *pool) bool {
	c := onlyConn(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.watching
}

// The Content-Length of a response to HEAD is that of the GET response. Waiting
// for that many bytes would block the request until its deadline or consume the
// next response.
func TestHeadResponseHasNoBody(t *testing.T) {
	is := is.New(t)
	addr := startPeer(t, func(n int, c net.Conn, r *http.Request) {
		if n > 0 {
			return // all requests use one connection
		}
		answer := okResponse
		if r.Method == http.MethodHead {
			answer = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
		}
		writeString(c, answer)
	})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	head := newGet("/")
	head.Header.SetMethod(http.MethodHead)
	for _, req := range []*protocol.Request{head, newGet("/")} {
		var resp protocol.Response
		_, err := cl.Do(ctx, addr, req, &resp)
		is.NoErr(err)
		is.True(req.Header.IsHead() || string(resp.Body()) == "ok")
	}
}

// If a caller aborts its upload, the client closes the connection. That must not
// count as a failure of the peer, or a healthy target is avoided or blamed for a
// crash.
func TestRequestBodyFailureIsNotThePeers(t *testing.T) {
	is := is.New(t)
	addr := startPeer(t, func(int, net.Conn, *http.Request) {})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	req := newGet("/")
	req.Header.SetMethod(http.MethodPost)
	const stated = 100_000
	req.SetBodyStream(strings.NewReader("half"), stated)
	_, err := cl.Do(context.Background(), addr, req, &protocol.Response{})
	is.Equal(status.CodeOf(err), status.CodeCanceled)
}
