package hertzhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/status"
)

// startPeer calls script for each request that it reads and returns its address.
func startPeer(t *testing.T, script func(n int, c net.Conn, r *http.Request)) string {
	return acceptEach(t, func(n int, c net.Conn) { serveScript(n, c, script) })
}

// acceptEach serves each connection on its own goroutine and returns the address.
func acceptEach(t *testing.T, serve func(n int, c net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(n, c)
		}
	}()
	return ln.Addr().String()
}

func serveScript(n int, c net.Conn, script func(int, net.Conn, *http.Request)) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		script(n, c, r)
	}
}

func newGet(path string) *protocol.Request {
	req := &protocol.Request{}
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI(path)
	req.Header.SetHost("svc")
	return req
}

func writeString(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

// The client must not repeat a request, not even an idempotent one, when the peer
// closes a pooled connection just after the request was written.
func TestNoRepeatOnConnectionClosedByPeer(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 10)
	addr := startPeer(t, func(n int, c net.Conn, r *http.Request) {
		seen <- r.URL.Path
		if r.URL.Path == "/first" {
			writeString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		_ = c.Close()
	})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	var resp protocol.Response
	_, err := cl.Do(context.Background(), addr, newGet("/first"), &resp)
	is.NoErr(err)
	res, err := cl.Do(context.Background(), addr, newGet("/second"), &resp)
	is.Equal(status.CodeOf(err), status.CodeConnectionLost)
	is.True(res.Sent && res.Reused)
	is.Equal(<-seen, "/first")
	is.Equal(<-seen, "/second")
	is.Equal(len(seen), 0) // not repeated
}

func TestNothingSentWithoutConnection(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	_ = ln.Close()
	cl := NewClient(DefaultClientConfig())
	res, err := cl.Do(context.Background(), addr, newGet("/"), &protocol.Response{})
	is.Equal(status.CodeOf(err), status.CodeConnectFailed)
	is.True(!res.Sent) // may be reported as not executed
}

// The listener of a dying process accepts connections until it is closed, and
// resets them. If they counted as reachable, crashes of targets would go uncounted
// and a request could crash more targets than it may.
func TestDyingPeerIsNotReachable(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		c, _ := ln.Accept()
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		_ = ln.Close()
	}()
	cl := NewClient(DefaultClientConfig())
	is.True(!cl.Reachable(ln.Addr().String()))
	is.True(cl.Reachable(startPeer(t, func(int, net.Conn, *http.Request) {})))
}

// A connection with unread bytes of a partly read or canceled response must not
// return to the pool, or the next call would read them.
func TestPartlyReadResponseClosesItsConnection(t *testing.T) {
	is := is.New(t)
	big := strings.Repeat("x", 1<<20)
	conns := make(chan int, 10)
	addr := startPeer(t, func(n int, c net.Conn, r *http.Request) {
		conns <- n
		if r.URL.Path == "/big" {
			writeString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n"+big)
			return
		}
		writeString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	var resp protocol.Response
	res, err := cl.Do(context.Background(), addr, newGet("/big"), &resp)
	is.NoErr(err)
	_, err = io.ReadFull(res.Stream, make([]byte, 1000))
	is.NoErr(err)
	is.NoErr(res.Stream.Close())
	is.True(!res.Stream.Complete())
	var next protocol.Response
	_, err = cl.Do(context.Background(), addr, newGet("/"), &next)
	is.NoErr(err)
	is.Equal(string(next.Body()), "ok")
	is.Equal(<-conns, 0)
	is.Equal(<-conns, 1) // a new connection
}

func TestCompleteStreamReturnsItsConnection(t *testing.T) {
	is := is.New(t)
	conns := make(chan int, 10)
	addr := startPeer(t, func(n int, c net.Conn, r *http.Request) {
		conns <- n
		writeString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	for range 3 {
		var resp protocol.Response
		res, err := cl.Do(context.Background(), addr, newGet("/"), &resp)
		is.NoErr(err)
		b, err := io.ReadAll(res.Stream)
		is.NoErr(err)
		is.Equal(string(b), "abc")
		is.NoErr(res.Stream.Close())
		is.Equal(<-conns, 0)
	}
}

// A response that is cut off when the peer dies must not pass for a complete one,
// also if it has no length.
func TestTruncatedResponsesAreDetected(t *testing.T) {
	for name, head := range map[string]string{
		"short":   "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n5\r\nde",
		"long":    "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nabc",
		"endless": "HTTP/1.1 200 OK\r\n\r\nabc",
		"head":    "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startPeer(t, func(_ int, c net.Conn, _ *http.Request) {
				writeString(c, head)
				_ = c.Close()
			})
			cl := NewClient(DefaultClientConfig())
			defer cl.Close()
			res, err := cl.Do(context.Background(), addr, newGet("/"), &protocol.Response{})
			if err == nil {
				_, err = io.ReadAll(res.Stream)
				is.NoErr(res.Stream.Close())
				is.True(!res.Stream.Complete())
			}
			is.True(err != nil) // the truncation is detected
		})
	}
}

// A call that is canceled while the peer processes it, with or without a body,
// must end at the peer too, or abandoned work fills the targets.
func TestCanceledCallEndsAtPeer(t *testing.T) {
	for _, body := range []string{"", "a small body"} {
		t.Run("body "+body, func(t *testing.T) {
			is := is.New(t)
			started := make(chan struct{})
			ended := make(chan struct{})
			s, err := Listen("127.0.0.1:0", DefaultServerConfig(), func(ctx context.Context, c *app.RequestContext) {
				close(started)
				<-ctx.Done()
				close(ended)
			})
			is.NoErr(err)
			s.Start()
			defer func() { _ = s.Shutdown(context.Background()) }()
			cl := NewClient(DefaultClientConfig())
			defer cl.Close()
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-started
				cancel()
			}()
			req := newGet("/")
			if body != "" {
				req.Header.SetMethod("POST")
				req.SetBodyString(body)
			}
			res, err := cl.Do(ctx, s.Addr(), req, &protocol.Response{})
			is.Equal(status.CodeOf(err), status.CodeCanceled)
			is.True(res.Sent) // may have been executed
			<-ended           // the peer noticed
		})
	}
}

func TestDeadlineEndsCallOnSilentConnection(t *testing.T) {
	is := is.New(t)
	addr := startPeer(t, func(int, net.Conn, *http.Request) { select {} })
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := cl.Do(ctx, addr, newGet("/"), &protocol.Response{})
	is.Equal(status.CodeOf(err), status.CodeDeadlineExceeded)
}

func TestPortInUseIsATypedError(t *testing.T) {
	is := is.New(t)
	s, err := Listen("127.0.0.1:0", DefaultServerConfig(), nil)
	is.NoErr(err)
	defer s.ln.Close()
	_, err = Listen(s.Addr(), DefaultServerConfig(), nil)
	is.Equal(status.CodeOf(err), status.CodeListen)
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr := startPeer(t, func(_ int, c net.Conn, _ *http.Request) {
		writeString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	cl := NewClient(DefaultClientConfig())
	_, err := cl.Do(context.Background(), addr, newGet("/"), &protocol.Response{})
	is.NoErr(err)
	p := cl.pool(addr)
	p.tick()
	is.Equal(p.openCount(), 1)
	p.mu.Lock()
	cl.epoch = cl.epoch.Add(-time.Minute)
	p.mu.Unlock()
	p.tick()
	is.Equal(p.openCount(), 0)
	<-closed
}

func TestConnectionsAboveLimitAreClosed(t *testing.T) {
	is := is.New(t)
	cfg := DefaultServerConfig()
	cfg.Conns = NewConnLimit(1)
	s, err := Listen("127.0.0.1:0", cfg, func(_ context.Context, c *app.RequestContext) { c.String(200, "ok") })
	is.NoErr(err)
	s.Start()
	defer func() { _ = s.Shutdown(context.Background()) }()
	first, second := NewClient(DefaultClientConfig()), NewClient(DefaultClientConfig())
	defer second.Close()
	_, err = first.Do(context.Background(), s.Addr(), newGet("/"), &protocol.Response{})
	is.NoErr(err)
	_, err = second.Do(context.Background(), s.Addr(), newGet("/"), &protocol.Response{})
	is.Equal(status.CodeOf(err), status.CodeConnectionLost) // closed by the limit
	first.Close()
	for cfg.Conns.Open() > 0 {
		time.Sleep(time.Millisecond) // the server notices the close asynchronously
	}
	_, err = second.Do(context.Background(), s.Addr(), newGet("/"), &protocol.Response{})
	is.NoErr(err)
}

// A peer may send unsolicited bytes or close the connection after a complete
// response. The next call must not take those bytes for its response or end with
// an unknown outcome.
func TestIdleConnectionWithInputIsNotReused(t *testing.T) {
	for name, stray := range map[string]string{
		"unsolicited response": "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		"end of stream":        "",
	} {
		for which, after := range map[string]time.Duration{"before it is watched": time.Hour, "while it is watched": 0} {
			t.Run(name+" "+which, func(t *testing.T) {
				is := is.New(t)
				sendStray := make(chan struct{})
				addr := startPeer(t, func(n int, c net.Conn, _ *http.Request) {
					writeString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					if n > 0 {
						return
					}
					<-sendStray
					writeString(c, stray)
					_ = c.Close()
				})
				cfg := DefaultClientConfig()
				cfg.WatchAfter = after
				cl := NewClient(cfg)
				t.Cleanup(cl.Close)
				_, err := cl.Do(context.Background(), addr, newGet("/"), &protocol.Response{})
				is.NoErr(err)
				p := cl.pool(addr)
				detected := func() bool { return p.openCount() == 0 } // the watcher has removed it
				if after > 0 {
					sock := onlyConn(p).sock
					is.True(sock.receiveBufferEmpty())
					detected = func() bool { return !sock.receiveBufferEmpty() }
				}
				close(sendStray)
				for !detected() {
					time.Sleep(time.Millisecond)
				}
				var resp protocol.Response
				res, err := cl.Do(context.Background(), addr, newGet("/"), &resp)
				is.NoErr(err)
				is.Equal(resp.StatusCode(), http.StatusOK)
				is.True(!res.Reused)
			})
		}
	}
}

// onlyConn returns the single connection of a pool.
func onlyConn(p *pool) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		return c
	}
	return nil
}

// A connection may be closed twice, by the end of its request and by its server.
// It must release its slot once, or the node accepts more connections than the
// limit.
func TestConnLimitSlotIsReleasedOnce(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	limit := NewConnLimit(2)
	limited := &limitedListener{Listener: ln, limit: limit}
	defer limited.Close()
	out, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer out.Close()
	c, err := limited.Accept()
	is.NoErr(err)
	is.Equal(limit.Open(), 1)
	_ = c.Close()
	_ = c.Close()
	is.Equal(limit.Open(), 0)
}

// The codec pools its response readers. A reader that is released twice would be
// handed to two calls at once.
func TestStreamReaderIsReleasedOnce(t *testing.T) {
	is := is.New(t)
	addr := startPeer(t, func(_ int, c net.Conn, r *http.Request) {
		writeString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n"+r.URL.Path+"\r\n0\r\n\r\n")
	})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	stream := func(path string) (*Stream, *protocol.Response) {
		resp := protocol.AcquireResponse()
		res, err := cl.Do(context.Background(), addr, newGet(path), resp)
		is.NoErr(err)
		is.True(res.Stream != nil)
		return res.Stream, resp
	}
	for range 100 { // repeat, since sync.Pool may drop the reader
		s, resp := stream("/0")
		is.NoErr(s.Close())
		protocol.ReleaseResponse(resp)
		a, _ := stream("/a")
		b, _ := stream("/b")
		for _, x := range []struct {
			s    *Stream
			want string
		}{{a, "/a"}, {b, "/b"}} {
			got, err := io.ReadAll(x.s)
			is.NoErr(err)
			is.Equal(string(got), x.want)
			is.NoErr(x.s.Close())
		}
	}
}
