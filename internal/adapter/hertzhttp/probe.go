package hertzhttp

import (
	"maps"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	http1req "github.com/cloudwego/hertz/pkg/protocol/http1/req"
	http1resp "github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"peardrift/internal/core/conn"
)

// Prober asks peers which calls they are processing. It is safe for concurrent
// use.
type Prober interface {
	// Tag returns the identifier by which the peer knows a call.
	Tag(h *protocol.RequestHeader) string
	// WriteProbe turns req into a query for the calls with tags.
	WriteProbe(req *protocol.Request, tags []string)
	// ParseReply reads the response: the tags of the calls being processed. ok is false if
	// the peer can't tell.
	ParseReply(resp *protocol.Response) (inHand []string, ok bool)
}

// probe asks the peer about silent calls over a new connection.
func (p *pool) probe(tags map[conn.ID]string) {
	results, reached := p.query(tags)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.client.now()
	for id, tag := range tags {
		c := p.conns[id]
		if c == nil || c.tag != tag {
			continue // closed, or it carries another call by now
		}
		if w, ok := results[id]; ok {
			p.core.RecordStatus(now, id, c.adjustStatus(w))
		} else if c.readerPauses() {
			p.core.RecordStatus(now, id, conn.Executing)
		}
	}
	p.core.ProbeDone(now, reached)
	p.armTimer()
}

// adjustStatus overrides the peer's result for a call that waits for local I/O: for
// more of the request body or for the reader of the response. Its silence doesn't
// indicate a dead connection.
func (c *clientConn) adjustStatus(w conn.CallStatus) conn.CallStatus {
	if c.waitingLocally.Load() {
		return conn.Executing
	}
	return w
}

// readerPauses reports whether the response is being passed on and its reader doesn't
// read. The call is silent for that reason alone, also if the peer can't be reached: it may
// be stopping, or have no connection left for the probe.
func (c *clientConn) readerPauses() bool { return c.streaming.Load() && c.waitingLocally.Load() }

// query returns the peer's result for each call, and whether the peer could be
// reached.
func (p *pool) query(tags map[conn.ID]string) (results map[conn.ID]conn.CallStatus, reached bool) {
	deadline := time.Now().Add(p.client.connConfig.ProbeTimeout)
	fresh, _, err := dial(p.addr, min(p.client.cfg.DialTimeout, p.client.connConfig.ProbeTimeout))
	if err != nil {
		return nil, false
	}
	defer fresh.Close()
	if p.client.cfg.Prober == nil {
		return wordsFor(tags, nil, false), true
	}
	if err := fresh.SetDeadline(deadline); err != nil {
		return nil, false
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	p.client.cfg.Prober.WriteProbe(req, slices.Collect(maps.Values(tags)))
	if err := roundTrip(fresh, req, resp); err != nil {
		return nil, false
	}
	inHand, ok := p.client.cfg.Prober.ParseReply(resp)
	return wordsFor(tags, inHand, ok), true
}

func roundTrip(c network.Conn, req *protocol.Request, resp *protocol.Response) error {
	if err := http1req.Write(req, c); err != nil {
		return err
	}
	if err := c.Flush(); err != nil {
		return err
	}
	return http1resp.Read(resp, c)
}

func wordsFor(tags map[conn.ID]string, inHand []string, ok bool) map[conn.ID]conn.CallStatus {
	results := make(map[conn.ID]conn.CallStatus, len(tags))
	for id, tag := range tags {
		switch {
		case !ok:
			results[id] = conn.CannotTell
		case slices.Contains(inHand, tag):
			results[id] = conn.Executing
		default:
			results[id] = conn.NotExecuting
		}
	}
	return results
}
