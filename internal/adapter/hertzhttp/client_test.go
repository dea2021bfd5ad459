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

// peer serves each connection with script, which gets each request read.
func peer(t *testing.T, script func(n int, c net.Conn, r *http.Request)) string {
	return accepting(t, func(n int, c net.Conn) { serveScript(n, c, script) })
}

// accepting serves each connection on a goroutine of its own and returns the
// address.
func accepting(t *testing.T, serve func(n int, c net.Conn)) string {
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

func get(path string) *protocol.Request {
	req := &protocol.Request{}
	req.Header.SetMethod("GET")
	req.Header.SetRequestURI(path)
	req.Header.SetHost("svc")
	return req
}

func write(c net.Conn, s string) { _, _ = io.WriteString(c, s) }

// Symptom: a GET runs twice although nobody retried it.
// Events: a pooled connection is closed by the peer just after the second call
// was written on it.
// Cause: an HTTP client repeats idempotent calls on its own.
func TestNoRepeatOnAConnectionClosedByThePeer(t *testing.T) {
	is := is.New(t)
	seen := make(chan string, 10)
	addr := peer(t, func(n int, c net.Conn, r *http.Request) {
		seen <- r.URL.Path
		if r.URL.Path == "/first" {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		_ = c.Close()
	})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	var resp protocol.Response
	_, err := cl.Do(context.Background(), addr, get("/first"), &resp)
	is.NoErr(err)
	res, err := cl.Do(context.Background(), addr, get("/second"), &resp)
	is.Equal(status.CodeOf(err), status.CodeConnectionLost)
	is.True(res.Sent && res.Reused)
	is.Equal(<-seen, "/first")
	is.Equal(<-seen, "/second")
	is.Equal(len(seen), 0) // not sent again
}

func TestNothingSentWithoutAConnection(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	_ = ln.Close()
	cl := NewClient(DefaultClientConfig())
	res, err := cl.Do(context.Background(), addr, get("/"), &protocol.Response{})
	is.Equal(status.CodeOf(err), status.CodeConnectFailed)
	is.True(!res.Sent) // the call may be refused as not run
}

// Symptom: a request crashes more targets than it may, as some crashes are not
// counted.
// Events: a target dies; its node looks at once whether it still takes
// connections. Cause: a dying process's listener takes some until it is closed,
// and resets them.
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
	is.True(cl.Reachable(peer(t, func(int, net.Conn, *http.Request) {})))
}

// Symptom: a caller gets the end of another call's answer.
// Events: an answer is left half read, or its call is canceled; its connection
// carries the next call.
// Cause: the connection went back to the pool with bytes of the old answer.
func TestHalfReadAnswerEndsItsConnection(t *testing.T) {
	is := is.New(t)
	big := strings.Repeat("x", 1<<20)
	conns := make(chan int, 10)
	addr := peer(t, func(n int, c net.Conn, r *http.Request) {
		conns <- n
		if r.URL.Path == "/big" {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n"+big)
			return
		}
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	var resp protocol.Response
	res, err := cl.Do(context.Background(), addr, get("/big"), &resp)
	is.NoErr(err)
	_, err = io.ReadFull(res.Stream, make([]byte, 1000))
	is.NoErr(err)
	is.NoErr(res.Stream.Close())
	is.True(!res.Stream.Whole())
	var next protocol.Response
	_, err = cl.Do(context.Background(), addr, get("/"), &next)
	is.NoErr(err)
	is.Equal(string(next.Body()), "ok")
	is.Equal(<-conns, 0)
	is.Equal(<-conns, 1) // a new connection
}

func TestWholeStreamGivesItsConnectionBack(t *testing.T) {
	is := is.New(t)
	conns := make(chan int, 10)
	addr := peer(t, func(n int, c net.Conn, r *http.Request) {
		conns <- n
		write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	for range 3 {
		var resp protocol.Response
		res, err := cl.Do(context.Background(), addr, get("/"), &resp)
		is.NoErr(err)
		b, err := io.ReadAll(res.Stream)
		is.NoErr(err)
		is.Equal(string(b), "abc")
		is.NoErr(res.Stream.Close())
		is.Equal(<-conns, 0)
	}
}

// Symptom: a truncated answer passes for a whole one.
// Events: the peer dies in the middle of an answer.
// Cause: an answer that ends with its connection has no length to miss.
func TestCutAnswersAreSeen(t *testing.T) {
	for name, head := range map[string]string{
		"short":   "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n5\r\nde",
		"long":    "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nabc",
		"endless": "HTTP/1.1 200 OK\r\n\r\nabc",
		"head":    "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := peer(t, func(_ int, c net.Conn, _ *http.Request) {
				write(c, head)
				_ = c.Close()
			})
			cl := NewClient(DefaultClientConfig())
			defer cl.Close()
			res, err := cl.Do(context.Background(), addr, get("/"), &protocol.Response{})
			if err == nil {
				_, err = io.ReadAll(res.Stream)
				is.NoErr(res.Stream.Close())
				is.True(!res.Stream.Whole())
			}
			is.True(err != nil) // the cut is seen
		})
	}
}

// Symptom: work for callers that have gone fills the targets.
// Events: the caller cancels while the peer works, with or without a body.
// Cause: the client did not end the call, or the server did not look.
func TestCanceledCallEndsAtThePeer(t *testing.T) {
	for _, body := range []string{"", "a small body"} {
		t.Run("body "+body, func(t *testing.T) {
			is := is.New(t)
			begun := make(chan struct{})
			ended := make(chan struct{})
			s, err := Listen("127.0.0.1:0", DefaultServerConfig(), func(ctx context.Context, c *app.RequestContext) {
				close(begun)
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
				<-begun
				cancel()
			}()
			req := get("/")
			if body != "" {
				req.Header.SetMethod("POST")
				req.SetBodyString(body)
			}
			res, err := cl.Do(ctx, s.Addr(), req, &protocol.Response{})
			is.Equal(status.CodeOf(err), status.CodeCanceled)
			is.True(res.Sent) // may have run
			<-ended           // the peer saw it
		})
	}
}

func TestDeadlineEndsACallOnASilentConnection(t *testing.T) {
	is := is.New(t)
	addr := peer(t, func(int, net.Conn, *http.Request) { select {} })
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := cl.Do(ctx, addr, get("/"), &protocol.Response{})
	is.Equal(status.CodeOf(err), status.CodeDeadlineExceeded)
}

func TestBusyPortIsATypedFailure(t *testing.T) {
	is := is.New(t)
	s, err := Listen("127.0.0.1:0", DefaultServerConfig(), nil)
	is.NoErr(err)
	defer s.ln.Close()
	_, err = Listen(s.Addr(), DefaultServerConfig(), nil)
	is.Equal(status.CodeOf(err), status.CodeListen)
}

func TestIdleConnectionsAreReaped(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr := peer(t, func(_ int, c net.Conn, _ *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	cl := NewClient(DefaultClientConfig())
	_, err := cl.Do(context.Background(), addr, get("/"), &protocol.Response{})
	is.NoErr(err)
	p := cl.pool(addr)
	p.tick()
	is.Equal(p.open(), 1)
	p.mu.Lock()
	cl.epoch = cl.epoch.Add(-time.Minute)
	p.mu.Unlock()
	p.tick()
	is.Equal(p.open(), 0)
	<-closed
}

func TestConnectionsAboveTheBoundAreClosed(t *testing.T) {
	is := is.New(t)
	cfg := DefaultServerConfig()
	cfg.Conns = NewConnLimit(1)
	s, err := Listen("127.0.0.1:0", cfg, func(_ context.Context, c *app.RequestContext) { c.String(200, "ok") })
	is.NoErr(err)
	s.Start()
	defer func() { _ = s.Shutdown(context.Background()) }()
	first, second := NewClient(DefaultClientConfig()), NewClient(DefaultClientConfig())
	defer second.Close()
	_, err = first.Do(context.Background(), s.Addr(), get("/"), &protocol.Response{})
	is.NoErr(err)
	_, err = second.Do(context.Background(), s.Addr(), get("/"), &protocol.Response{})
	is.Equal(status.CodeOf(err), status.CodeConnectionLost) // closed at once
	first.Close()
	for cfg.Conns.Open() > 0 {
		time.Sleep(time.Millisecond) // the server sees the close on its own goroutine
	}
	_, err = second.Do(context.Background(), s.Addr(), get("/"), &protocol.Response{})
	is.NoErr(err)
}

// Symptom: a call gets what was meant for nobody as its answer, or ends as
// unknown although its peer runs. Events: after a whole answer the peer sends
// bytes that nobody asked for, or closes the connection, and at once another
// call follows. Cause: what came in on the idle connection isn't looked at.
func TestIdleConnectionThatIsNotSilentCarriesNoCall(t *testing.T) {
	for name, stray := range map[string]string{
		"another answer": "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		"its end":        "",
	} {
		for which, after := range map[string]time.Duration{"before it is watched": time.Hour, "while it is watched": 0} {
			t.Run(name+" "+which, func(t *testing.T) {
				is := is.New(t)
				strays := make(chan struct{})
				addr := peer(t, func(n int, c net.Conn, _ *http.Request) {
					write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					if n > 0 {
						return
					}
					<-strays
					write(c, stray)
					_ = c.Close()
				})
				cfg := DefaultClientConfig()
				cfg.WatchAfter = after
				cl := NewClient(cfg)
				t.Cleanup(cl.Close)
				_, err := cl.Do(context.Background(), addr, get("/"), &protocol.Response{})
				is.NoErr(err)
				p := cl.pool(addr)
				came := func() bool { return p.open() == 0 } // the watcher has seen it
				if after > 0 {
					sock := only(p).sock
					is.True(sock.untouched())
					came = func() bool { return !sock.untouched() }
				}
				close(strays)
				for !came() {
					time.Sleep(time.Millisecond)
				}
				var resp protocol.Response
				res, err := cl.Do(context.Background(), addr, get("/"), &resp)
				is.NoErr(err)
				is.Equal(resp.StatusCode(), http.StatusOK)
				is.True(!res.Reused)
			})
		}
	}
}

// only returns the one connection of a pool.
func only(p *pool) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		return c
	}
	return nil
}

// Symptom: a node accepts more connections than it may.
// Events: a connection is closed twice, by its request's end and by its server.
// Cause: its place is given back each time.
func TestPlaceIsGivenBackOnce(t *testing.T) {
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

// Guards against two answers that are read through one reader: the codec pools readers,
// and gives one that was closed twice to two calls.
func TestAStreamThatWasReleasedWithItsAnswerServesNoOther(t *testing.T) {
	is := is.New(t)
	addr := peer(t, func(_ int, c net.Conn, r *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n"+r.URL.Path+"\r\n0\r\n\r\n")
	})
	cl := NewClient(DefaultClientConfig())
	defer cl.Close()
	stream := func(path string) (*Stream, *protocol.Response) {
		resp := protocol.AcquireResponse()
		res, err := cl.Do(context.Background(), addr, get(path), resp)
		is.NoErr(err)
		is.True(res.Stream != nil)
		return res.Stream, resp
	}
	for range 100 { // the pool may forget, and then proves nothing
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
