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

// nothingInHand is a prober whose peers know none of the calls.
type nothingInHand struct{}

func (nothingInHand) Tag(*protocol.RequestHeader) string    { return "" }
func (nothingInHand) Ask(req *protocol.Request, _ []string) { get("/").CopyTo(req) }
func (nothingInHand) Told(*protocol.Response) ([]string, bool) {
	return nil, true
}

// Symptom: a call that its peer works on is failed as lost.
// Events: a probe takes longer than it may; meanwhile the call that it asks for has
// ended and another one runs on its connection, which a second probe asks for; then
// the first one's answer comes. Cause: the answer was taken for a word on whatever
// call the connection carries.
func TestLateWordIsNotOnTheNextCall(t *testing.T) {
	is := is.New(t)
	addr := peer(t, func(_ int, c net.Conn, _ *http.Request) { write(c, okAnswer) })
	cfg := DefaultClientConfig()
	cfg.Prober = nothingInHand{}
	cl := NewClient(cfg)
	defer cl.Close()
	p := cl.pool(addr)
	c, err := p.get("second", time.Second)
	is.NoErr(err)
	defer p.end(c, conn.Aborted)
	tick := func(after time.Duration) []conn.Action {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.core.Tick(cl.now()+after, nil)
	}
	is.Equal(tick(cl.conns.SilentMax), []conn.Action{{Kind: conn.Probe, Conns: []conn.ID{c.id}}})
	p.probe(map[conn.ID]string{c.id: "first"})
	for _, a := range tick(2 * cl.conns.Grace) {
		is.True(a.Kind != conn.Fail)
	}
}
