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

// Prober asks peers which calls they have in hand. Safe for concurrent use.
type Prober interface {
	// Tag returns what the peer knows a call by.
	Tag(h *protocol.RequestHeader) string
	// Ask makes req the question for the calls with tags.
	Ask(req *protocol.Request, tags []string)
	// Told reads the answer: the tags of those in hand; false if the peer
	// can't tell.
	Told(resp *protocol.Response) (inHand []string, ok bool)
}

// probe asks the peer for silent calls over a fresh connection.
func (p *pool) probe(tags map[conn.ID]string) {
	words, reached := p.ask(tags)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.client.now()
	for id, c := range p.conns {
		if w, ok := words[id]; ok && c.tag == tags[id] { // else another call's by now
			p.core.Told(now, id, c.correct(w))
		}
	}
	p.core.Probed(now, reached)
	p.arm()
}

// correct overrides the peer's word on a call that waits for its own side, for
// more of the request's body or for the answer's reader: its silence is not the
// connection's.
func (c *clientConn) correct(w conn.Word) conn.Word {
	if c.ours.Load() {
		return conn.InHand
	}
	return w
}

// ask returns the peer's word on each call, and whether it could be reached.
func (p *pool) ask(tags map[conn.ID]string) (words map[conn.ID]conn.Word, reached bool) {
	until := time.Now().Add(p.client.conns.ProbeTimeout)
	fresh, _, err := dial(p.addr, min(p.client.cfg.DialTimeout, p.client.conns.ProbeTimeout))
	if err != nil {
		return nil, false
	}
	defer fresh.Close()
	if p.client.cfg.Prober == nil {
		return wordsOf(tags, nil, false), true
	}
	if err := fresh.SetDeadline(until); err != nil {
		return nil, false
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	p.client.cfg.Prober.Ask(req, slices.Collect(maps.Values(tags)))
	if err := question(fresh, req, resp); err != nil {
		return nil, false
	}
	inHand, ok := p.client.cfg.Prober.Told(resp)
	return wordsOf(tags, inHand, ok), true
}

func question(c network.Conn, req *protocol.Request, resp *protocol.Response) error {
	if err := http1req.Write(req, c); err != nil {
		return err
	}
	if err := c.Flush(); err != nil {
		return err
	}
	return http1resp.Read(resp, c)
}

func wordsOf(tags map[conn.ID]string, inHand []string, ok bool) map[conn.ID]conn.Word {
	words := make(map[conn.ID]conn.Word, len(tags))
	for id, tag := range tags {
		switch {
		case !ok:
			words[id] = conn.CannotTell
		case slices.Contains(inHand, tag):
			words[id] = conn.InHand
		default:
			words[id] = conn.NotInHand
		}
	}
	return words
}
