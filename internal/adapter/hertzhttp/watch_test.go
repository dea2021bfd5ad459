package hertzhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"
)

func startServer(t *testing.T, h Handler) string {
	t.Helper()
	s, err := Listen("127.0.0.1:0", DefaultServerConfig(), h)
	if err != nil {
		t.Fatal(err)
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.Addr()
}

var requests = map[string]string{
	"without a body": "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
	"with a body":    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
}

// The server must notice that a client disconnects while its request is in the
// handler, when nothing else reads from the connection.
func TestRequestEndsWhenClientDisconnects(t *testing.T) {
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			addr := startServer(t, func(ctx context.Context, _ *app.RequestContext) {
				close(started)
				<-ctx.Done()
				close(ended)
			})
			c, err := net.Dial("tcp", addr)
			is.New(t).NoErr(err)
			writeString(c, request)
			<-started
			_ = c.Close()
			<-ended
		})
	}
}

// Watching a client's connection must not consume bytes of the next request or
// leave a read deadline behind.
func TestConnectionStaysUsableAfterWatch(t *testing.T) {
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := startServer(t, func(_ context.Context, c *app.RequestContext) {
				time.Sleep(2 * watchDelay) // long enough for the client to be watched
				c.String(http.StatusOK, "ok")
			})
			c, err := net.Dial("tcp", addr)
			is.NoErr(err)
			defer c.Close()
			in := bufio.NewReader(c)
			writeString(c, request+request) // the second arrives while the first is watched
			for range 2 {
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				b, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(b), "ok")
			}
			writeString(c, request)
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, 200)
		})
	}
}

// Guards against cutting the response to a client that is still there: it has sent its
// next request early, and the watch takes these bytes for a close.
func TestNextRequestDoesNotEndContext(t *testing.T) {
	for name, early := range map[string]string{
		"whole": requests["without a body"],
		"begun": "G",
		"CRLF":  "\r\n", // allowed before a request
	} {
		for which, wait := range map[string]time.Duration{"before the watch": 0, "while watched": 3 * watchDelay / 2} {
			t.Run(name+" "+which, func(t *testing.T) {
				t.Parallel()
				started, ended := make(chan struct{}, 1), make(chan error, 1)
				addr := startServer(t, func(ctx context.Context, c *app.RequestContext) {
					select {
					case started <- struct{}{}:
					default:
						return // the next request
					}
					select {
					case <-ctx.Done():
					case <-time.After(3 * watchDelay):
					}
					select {
					case ended <- ctx.Err():
					default:
					}
				})
				c, err := net.Dial("tcp", addr)
				is.New(t).NoErr(err)
				defer c.Close()
				writeString(c, requests["without a body"])
				<-started
				time.Sleep(wait)
				writeString(c, early)
				is.New(t).NoErr(<-ended)
			})
		}
	}
}
