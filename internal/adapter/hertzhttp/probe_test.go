package hertzhttp

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/core/conn"
)

// nothingExecuting is a prober whose peers process none of the calls.
type nothingExecuting struct{}

func (nothingExecuting) Tag(*protocol.RequestHeader) string           { return "" }
func (nothingExecuting) WriteProbe(req *protocol.Request, _ []string) { newGet("/").CopyTo(req) }
func (nothingExecuting) ParseReply(*protocol.Response) ([]string, bool) {
	return nil, true
}

// A slow probe may return after its call has ended, when the connection carries
// another call and a second probe is pending. Its result must not fail the new
// call, which the peer is processing.
func TestLateProbeResultDoesNotApplyToNextCall(t *testing.T) {
	is := is.New(t)
	addr := startPeer(t, func(_ int, c net.Conn, _ *http.Request) { writeString(c, okResponse) })
	cfg := DefaultClientConfig()
	cfg.Prober = nothingExecuting{}
	cl := NewClient(cfg)
	defer cl.Close()
	p := cl.pool(addr)
	c, err := p.get("second", time.Second)
	is.NoErr(err)
	defer p.finish(c, conn.Aborted)
	runTick := func(after time.Duration) []conn.Action {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.core.Tick(cl.now()+after, nil)
	}
	is.Equal(runTick(cl.connConfig.SilentMax), []conn.Action{{Kind: conn.Probe, Conns: []conn.ID{c.id}}})
	p.probe(map[conn.ID]string{c.id: "first"})
	for _, a := range runTick(2 * cl.connConfig.Grace) {
		is.True(a.Kind != conn.Fail)
	}
}
