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

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Symptom: a caller gets the answer to an earlier request.
// Events: a peer's answer comes twice, at once; the connection isn't watched yet
// when the next call takes it. Cause: bytes that are here already are taken for the
// answer to the next request.
func TestSecondAnswerIsNotTheNextOne(t *testing.T) {
	is := is.New(t)
	addr := peer(t, func(n int, c net.Conn, _ *http.Request) {
		if n == 0 {
			write(c, okAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
			return
		}
		write(c, okAnswer)
	})
	cfg := DefaultClientConfig()
	cfg.WatchAfter = time.Hour
	cl := NewClient(cfg)
	defer cl.Close()
	for range 2 {
		var resp protocol.Response
		_, err := cl.Do(context.Background(), addr, get("/"), &resp)
		is.NoErr(err)
		is.Equal(string(resp.Body()), "ok")
	}
}

// Symptom: as above, rarely.
// Events: the bytes come after a call has taken the connection from the pool, and
// before it has ended the watch. Cause: only connections that are idle are dropped.
func TestBytesBetweenTakeAndSend(t *testing.T) {
	is := is.New(t)
	stray := make(chan struct{})
	addr := peer(t, func(_ int, c net.Conn, _ *http.Request) {
		write(c, okAnswer)
		<-stray
		write(c, okAnswer)
	})
	cfg := DefaultClientConfig()
	cfg.WatchAfter = 0 // at once
	cl := NewClient(cfg)
	defer cl.Close()
	var resp protocol.Response
	_, err := cl.Do(context.Background(), addr, get("/"), &resp)
	is.NoErr(err)
	p := cl.pool(addr)
	for !isWatched(p) { // the sweep runs on a goroutine of its own
		time.Sleep(time.Millisecond)
	}
	c, offer := p.take("")
	is.Equal(offer, conn.Reuse)
	close(stray)
	for len(c.watched) == 0 { // until the watch has seen the bytes
		time.Sleep(time.Millisecond)
	}
	is.True(!c.unwatch())
	p.end(c, conn.Aborted)
}

// isWatched reports whether the one connection of a pool is watched.
func isWatched(p *pool) bool {
	c := only(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.watching
}

// Symptom: a HEAD request hangs until its deadline, or takes the next answer's bytes
// for its body.
// Events: its answer states the length that a GET's body would have.
// Cause: the length is taken for that of bytes to come.
func TestHeadHasNoBody(t *testing.T) {
	is := is.New(t)
	addr := peer(t, func(n int, c net.Conn, r *http.Request) {
		if n > 0 {
			return // all on one connection
		}
		answer := okAnswer
		if r.Method == http.MethodHead {
			answer = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
		}
		write(c, answer)
	})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	head := get("/")
	head.Header.SetMethod(http.MethodHead)
	for _, req := range []*protocol.Request{head, get("/")} {
		var resp protocol.Response
		_, err := cl.Do(ctx, addr, req, &resp)
		is.NoErr(err)
		is.True(req.Header.IsHead() || string(resp.Body()) == "ok")
	}
}

// Symptom: a target is avoided, or blamed for a crash, that did nothing wrong.
// Events: a caller breaks off its upload. Cause: the connection, which is closed for
// it, is taken for broken by the peer.
func TestOwnBodysFailureIsNotThePeers(t *testing.T) {
	is := is.New(t)
	addr := peer(t, func(int, net.Conn, *http.Request) {})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	req := get("/")
	req.Header.SetMethod(http.MethodPost)
	const stated = 100_000
	req.SetBodyStream(strings.NewReader("half"), stated)
	_, err := cl.Do(context.Background(), addr, req, &protocol.Response{})
	is.Equal(status.CodeOf(err), status.CodeCanceled)
}
