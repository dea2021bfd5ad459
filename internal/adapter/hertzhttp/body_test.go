package hertzhttp

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

// Symptom: a planned stop cuts long downloads.
// Events: a server is told to stop while an answer is being streamed, after its
// handler has returned.
// Cause: only requests in the handler are waited for.
func TestShutdownWaitsForAStreamedAnswer(t *testing.T) {
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
	res, err := cl.Do(context.Background(), s.Addr(), get("/"), &protocol.Response{})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.True(s.Shutdown(ctx) != nil) // still writing
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
