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

func listen(t *testing.T, h Handler) string {
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

// Symptom: work goes on for callers that have gone. Events: a client closes its
// connection while its request is in the handler. Cause: nobody reads from the
// connection meanwhile.
func TestRequestEndsWhenItsClientGoesAway(t *testing.T) {
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan struct{}), make(chan struct{})
			addr := listen(t, func(ctx context.Context, _ *app.RequestContext) {
				close(begun)
				<-ctx.Done()
				close(ended)
			})
			c, err := net.Dial("tcp", addr)
			is.New(t).NoErr(err)
			write(c, request)
			<-begun
			_ = c.Close()
			<-ended
		})
	}
}

// Symptom: the next request on a connection fails or is not read. Events: a
// request runs long enough for its client to be watched, is answered, and
// another follows at once. Cause: the watching read took the connection's bytes
// or left its deadline behind.
func TestConnectionServesOnAfterItsClientWasWatched(t *testing.T) {
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := listen(t, func(_ context.Context, c *app.RequestContext) {
				time.Sleep(2 * watchAfter) // what the handler takes
				c.String(http.StatusOK, "ok")
			})
			c, err := net.Dial("tcp", addr)
			is.NoErr(err)
			defer c.Close()
			in := bufio.NewReader(c)
			write(c, request+request) // the second arrives while the first is watched
			for range 2 {
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				b, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(b), "ok")
			}
			write(c, request)
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, 200)
		})
	}
}
