package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/settings"
)

// Guards against a stopping node that closes its listeners while it still streams an
// answer of its target to another node. The target may yet make calls through its node,
// and without an answer to its probes each of the two nodes cuts an answer whose reader
// pauses.
func TestListenersStayOpenWhileAnswerIsStreamed(t *testing.T) {
	is := is.New(t)
	cfg := settings.Default()
	cfg.Logs.File = filepath.Join(t.TempDir(), "log")
	l := &cfg.Listen // the target shares the callers' listener
	l.Callers, l.Nodes, l.Target, l.Ops, l.Control = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	n, err := New(cfg, nil)
	is.NoErr(err)
	defer n.close()
	answer, target := io.Pipe()
	n.servers.nodes.Close()
	n.servers.nodes, err = hertzhttp.Listen("127.0.0.1:0", hertzhttp.DefaultServerConfig(), func(_ context.Context, c *app.RequestContext) {
		c.SetBodyStream(answer, -1)
	})
	is.NoErr(err)
	for _, s := range n.servers.all() {
		s.Start()
	}
	go func() { _, _ = io.WriteString(target, "the first, ") }()
	resp, err := http.Get("http://" + n.servers.nodes.Addr())
	is.NoErr(err)
	defer resp.Body.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	drained := make(chan struct{})
	go func() {
		n.waitDrained(ctx)
		close(drained)
	}()
	for range 10 {
		time.Sleep(drainPollInterval)
		for _, s := range []*hertzhttp.Server{n.servers.callers, n.servers.nodes} {
			c, err := net.Dial("tcp", s.Addr())
			is.NoErr(err)
			_ = c.Close()
		}
	}
	go func() {
		_, _ = io.WriteString(target, "the rest")
		_ = target.Close()
	}()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(b), "the first, the rest")
	<-drained
	_, err = net.Dial("tcp", n.servers.callers.Addr())
	is.True(err != nil)
}
