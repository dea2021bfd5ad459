package dataplane

import (
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"peardrift/internal/wire"
)

// A call whose connection went silent looks to its caller like one that takes
// long. So the calling node asks, over a fresh connection, which of its calls
// the callee's node has in hand. See internal/core/conn.

// maxStall is how long a call may wait for its own connection, to read the
// request or to write the answer, and still count as in hand. Beyond it, the
// bytes that the other end has sent, or waits for, are lost on the way.
const maxStall = 500 * time.Millisecond

// handled is one call that this node has in hand.
type handled struct {
	now   func() time.Duration
	since atomic.Int64 // when it began to wait for its connection, 0 if it doesn't

	abandon abandonment
}

// waits and goes bracket what waits for the call's connection.
func (h *handled) waits() {
	h.since.Store(int64(h.now()))
	if h.abandon.timer != nil {
		h.abandon.timer.Reset(h.abandon.after)
	}
}

func (h *handled) goes() {
	h.since.Store(0)
	if h.abandon.timer != nil {
		h.abandon.timer.Stop()
	}
}

func (h *handled) stalled() bool {
	since := h.since.Load()
	return since > 0 && h.now()-time.Duration(since) > maxStall
}

// inHand is the calls of other nodes that this one has in hand, by the span of
// the attempt. Safe for concurrent use.
type inHand struct {
	now   func() time.Duration
	mu    sync.Mutex
	calls map[SpanID]*handled
}

func (i *inHand) add(span SpanID, h *handled) {
	i.mu.Lock()
	defer i.mu.Unlock()
	h.now = i.now
	i.calls[span] = h
}

func (i *inHand) remove(span SpanID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.calls, span)
}

// has reports whether the call with the span, in the form of SpanID.String, is
// in hand.
func (i *inHand) has(tag string) bool {
	span, ok := parseSpan(tag)
	if !ok {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	h := i.calls[span]
	if h == nil {
		return false
	}
	h.abandon.asked.Store(int64(h.now()))
	return !h.stalled()
}

// requestOf watches a request's body that is read from the call's connection.
func (h *handled) requestOf(r io.Reader) io.Reader {
	return &incoming{r: r, h: h}
}

type incoming struct {
	r io.Reader
	h *handled
}

// Read implements io.Reader.
func (r *incoming) Read(p []byte) (int, error) {
	r.h.waits()
	defer r.h.goes()
	return r.r.Read(p)
}

// departing is an answer's body that is written to the call's connection. The
// writer reads the next part when it has written the last.
type departing struct {
	io.Reader
	h   *handled
	end func()
}

// Read implements io.Reader.
func (r *departing) Read(p []byte) (int, error) {
	r.h.goes()
	defer r.h.waits()
	return r.Reader.Read(p)
}

// Close implements io.Closer.
func (r *departing) Close() error {
	defer r.end()
	r.h.goes() // the connection may soon be another call's
	if c, ok := r.Reader.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// letGo ends what may be told of a call, when its answer has been written.
func (e *Engine) letGo(s *serving) {
	if s.hand.now == nil {
		return // it was never added
	}
	resp := &s.c.Response
	if !resp.IsBodyStream() {
		e.inHand.remove(s.trace.span)
		return
	}
	end := func() { e.inHand.remove(s.trace.span) }
	s.hand.abandonable(s.c.GetConn(), e.cfg.AbandonAfter)
	resp.SetBodyStreamNoReset(&departing{resp.BodyStream(), &s.hand, end}, resp.Header.ContentLength())
}

// tell answers a node that asks for calls, and reports whether c was such a
// question.
func (i *inHand) tell(c *app.RequestContext) bool {
	asked := c.Request.Header.Peek(wire.HeaderProbe)
	if len(asked) == 0 {
		return false
	}
	var have []string
	for tag := range strings.SplitSeq(string(asked), ",") {
		if i.has(tag) {
			have = append(have, tag)
		}
	}
	c.Response.Header.Set(wire.HeaderInHand, strings.Join(have, ","))
	c.SetStatusCode(consts.StatusNoContent)
	return true
}

// Prober lets a client ask other nodes for silent calls.
type Prober struct{}

// Tag implements hertzhttp.Prober: the span of the attempt.
func (Prober) Tag(h *protocol.RequestHeader) string {
	return spanIn(h)
}

// Ask implements hertzhttp.Prober.
func (Prober) Ask(req *protocol.Request, tags []string) {
	req.Header.SetMethod(consts.MethodGet)
	req.Header.SetRequestURI("/")
	req.Header.SetHost("node")
	req.Header.Set(wire.HeaderProbe, strings.Join(tags, ","))
}

// Told implements hertzhttp.Prober. A node that doesn't know the question
// answers otherwise.
func (Prober) Told(resp *protocol.Response) (tags []string, ok bool) {
	if resp.StatusCode() != consts.StatusNoContent {
		return nil, false
	}
	return strings.Split(string(resp.Header.Peek(wire.HeaderInHand)), ","), true
}
