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
	"github.com/matryer/is"
)

// Guards against a process that ends in the middle of a response: a shutdown did not wait
// for one that is written as a whole and whose client reads slowly.
func TestShutdownWaitsForBufferedResponse(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 16<<20) // more than the buffers of both ends hold
	s, err := Listen("127.0.0.1:0", DefaultServerConfig(), func(_ context.Context, c *app.RequestContext) {
		c.SetBodyString(body)
	})
	is.NoErr(err)
	s.Start()
	c, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	defer c.Close()
	writeString(c, requests["without a body"])
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	is.True(s.Shutdown(ctx) != nil) // the response is not written yet
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(b), len(body))
	is.NoErr(s.Shutdown(context.Background()))
}
