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

// A caller can't tell a call whose connection went silent from one that takes long.
// The calling node therefore probes, over a new connection, which of its calls the
// callee's node is still processing. See internal/core/conn.

// maxStall is how long a call may block on its own connection, to read the request or
// to write the answer, and still be reported as in progress. After that, the bytes
// that the peer has sent or waits for are considered lost.
const maxStall = 500 * time.Millisecond

// nodeCall is one call from another node that this node is processing.
type nodeCall struct {
	now          func() time.Duration
	blockedSince atomic.Int64 // when it began to block on its connection; 0 if it is not blocked

	abandon abandonTimer
}

// beginIO and endIO enclose each operation that blocks on the call's connection.
func (h *nodeCall) beginIO() {
	h.blockedSince.Store(int64(h.now()))
	if h.abandon.timer != nil {
		h.abandon.timer.Reset(h.abandon.timeout)
	}
}

func (h *nodeCall) endIO() {
	h.blockedSince.Store(0)
	if h.abandon.timer != nil {
		h.abandon.timer.Stop()
	}
}

func (h *nodeCall) isStalled() bool {
	since := h.blockedSince.Load()
	return since > 0 && h.now()-time.Duration(since) > maxStall
}

// nodeCalls is the set of calls from other nodes in progress, by the span of the
// attempt. Safe for concurrent use.
type nodeCalls struct {
	now   func() time.Duration
	mu    sync.Mutex
	calls map[SpanID]*nodeCall
}

func (i *nodeCalls) add(span SpanID, h *nodeCall) {
	i.mu.Lock()
	defer i.mu.Unlock()
	h.now = i.now
	i.calls[span] = h
}

func (i *nodeCalls) remove(span SpanID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.calls, span)
}

// active reports whether the call with the span, in the form of SpanID.String, is in
// progress.
func (i *nodeCalls) active(tag string) bool {
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
	h.abandon.lastProbe.Store(int64(h.now()))
	return !h.isStalled()
}

// requestReader tracks reads of a request's body from the call's connection.
func (h *nodeCall) requestReader(r io.Reader) io.Reader {
	return &trackedRequestBody{r: r, h: h}
}

type trackedRequestBody struct {
	r io.Reader
	h *nodeCall
}

// Read implements io.Reader.
func (r *trackedRequestBody) Read(p []byte) (int, error) {
	r.h.beginIO()
	defer r.h.endIO()
	return r.r.Read(p)
}

// answerBody tracks writes of an answer's body to the call's connection. The writer
// reads the next chunk when it has written the last.
type answerBody struct {
	io.Reader
	h       *nodeCall
	onClose func()
}

// Read implements io.Reader.
func (r *answerBody) Read(p []byte) (int, error) {
	r.h.endIO()
	defer r.h.beginIO()
	return r.Reader.Read(p)
}

// Close implements io.Closer.
func (r *answerBody) Close() error {
	defer r.onClose()
	r.h.endIO() // another call may use the connection next
	if c, ok := r.Reader.(io.Closer); ok {
		return c.Close()
	}
	return nil
}

// untrack stops tracking a call once its answer has been written.
func (e *Engine) untrack(s *inboundCall) {
	if s.tracked.now == nil {
		return // never added
	}
	resp := &s.c.Response
	if !resp.IsBodyStream() {
		e.nodeCalls.remove(s.trace.span)
		return
	}
	end := func() { e.nodeCalls.remove(s.trace.span) }
	s.tracked.armAbandon(s.c.GetConn(), e.cfg.AbandonAfter)
	resp.SetBodyStreamNoReset(&answerBody{resp.BodyStream(), &s.tracked, end}, resp.Header.ContentLength())
}

// answerProbe answers a probe of another node, and reports whether c was a probe.
func (i *nodeCalls) answerProbe(c *app.RequestContext) bool {
	tags := c.Request.Header.Peek(wire.HeaderProbe)
	if len(tags) == 0 {
		return false
	}
	var activeTags []string
	for tag := range strings.SplitSeq(string(tags), ",") {
		if i.active(tag) {
			activeTags = append(activeTags, tag)
		}
	}
	c.Response.Header.Set(wire.HeaderProbeReply, strings.Join(activeTags, ","))
	c.SetStatusCode(consts.StatusNoContent)
	return true
}

// Prober lets a client probe other nodes for silent calls.
type Prober struct{}

// Tag implements hertzhttp.Prober; it returns the span of the attempt.
func (Prober) Tag(h *protocol.RequestHeader) string {
	return spanIn(h)
}

// WriteProbe implements hertzhttp.Prober.
func (Prober) WriteProbe(req *protocol.Request, tags []string) {
	req.Header.SetMethod(consts.MethodGet)
	req.Header.SetRequestURI("/")
	req.Header.SetHost("node")
	req.Header.Set(wire.HeaderProbe, strings.Join(tags, ","))
}

// ParseReply implements hertzhttp.Prober. A node that doesn't support probes answers with
// another status.
func (Prober) ParseReply(resp *protocol.Response) (tags []string, ok bool) {
	if resp.StatusCode() != consts.StatusNoContent {
		return nil, false
	}
	return strings.Split(string(resp.Header.Peek(wire.HeaderProbeReply)), ","), true
}
