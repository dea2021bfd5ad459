package hertzhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/textproto"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"peardrift/internal/status"
)

// incomingBody is the body of a request being served. The codec reads beyond the end of a
// body of known length, and when it skips what a handler left of a body in chunks, it takes
// the middle of a chunk for the start of one: the rest of a body would run as a request.
// incomingBody ends with the body, and reads the rest of it before the next request.
//
// Closing the connection instead would be cheaper where much of a refused body is left. It
// is not done: unread bytes reset the connection, and a client that reads only after it has
// sent its body would lose the promise that its request has not run.
type incomingBody struct {
	io.Reader
	conn     *serverConn
	cfg      *bodyConfig
	received int  // bytes
	counted  int  // bytes of memory
	long     bool // longer than what the handler buffers
	left     int  // unread bytes; negative in chunks
	ended    bool
	failed   bool // where the next request begins is unknown
}

// bodyConfig bounds the bodies of a server's requests.
type bodyConfig struct {
	skipTime time.Duration // for the reading of the rest
	buffered int           // see ServerConfig.BufferBytes
	most     int           // see ServerConfig.MaxBodyBytes
}

// guardIncomingBody makes the request's body stream an incomingBody. It returns nil if
// the request has no body stream.
func guardIncomingBody(ctx context.Context, c *app.RequestContext, cfg *bodyConfig) *incomingBody {
	if !c.Request.IsBodyStream() {
		return nil
	}
	n := c.Request.Header.ContentLength()
	b := &incomingBody{Reader: c.RequestBodyStream(), conn: serverConnOf(ctx), cfg: cfg, left: n, ended: n == 0, long: n > cfg.buffered}
	if n == chunkedLength {
		b.Reader = newRequestChunks(b.conn.request)
	}
	c.Request.ConstructBodyStream(c.Request.BodyBuffer(), b) // the buffer holds what the codec has read of the body
	return b
}

// Read implements io.Reader.
func (b *incomingBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.left >= 0 {
		p = p[:min(len(p), b.left)]
	}
	n, err := b.Reader.Read(p)
	if b.left >= 0 {
		b.left -= n
	}
	b.received += n
	if b.cfg.most > 0 && max(b.received, b.received+b.left) > b.cfg.most {
		b.failed = true
		return 0, status.Refuse(status.CodeTooLarge, 0, "the request's body exceeds %d bytes", b.cfg.most)
	}
	if !b.hold() {
		b.failed = true
		return 0, status.Refuse(status.CodeOverloaded, memoryRetryAfter, "%s", errMemory.text)
	}
	switch {
	case err == io.EOF || b.left == 0:
		b.ended, err = true, io.EOF
	case err != nil:
		b.failed = true
	}
	return n, err
}

// hold counts the memory for what has been received, up to what the handler buffers. It
// reports false if others take too much. A longer body of known length is streamed: its
// memory is counted with its first bytes, before any of them is sent on.
func (b *incomingBody) hold() bool {
	bytes := min(b.received, b.cfg.buffered)
	if b.long {
		bytes = streamBufferBytes
	}
	if bytes == b.counted {
		return true
	}
	b.counted = bytes
	return b.conn.hold(b.conn.request.head.memory() + bytes + bytes/2) // buffers grow by copies
}

// Close reads the rest of the body. The codec calls it before the next request on the
// connection, after it has sent the response. Where there is no such request it does
// nothing; the connection is drained when it is closed.
func (b *incomingBody) Close() error {
	if b.ended || b.failed || b.conn.last.Load() {
		return nil
	}
	err := b.conn.SetReadDeadline(time.Now().Add(b.cfg.skipTime))
	if err == nil {
		_, err = io.Copy(io.Discard, b)
	}
	if err != nil {
		b.failed = true
		_ = b.conn.Close()
	}
	return err
}

// framingKey is the key of a request context under which framingError stores its result.
const framingKey = "framing"

// FramingError returns the error of a request whose body's length is ambiguous or invalid;
// nil if it is valid.
func FramingError(c *app.RequestContext) *status.Error {
	v, ok := c.Get(framingKey)
	if !ok {
		return nil
	}
	return v.(*status.Error)
}

// checkFraming finds a request that states its body's length more than once (RFC 9112,
// 6.3), also for a handler that doesn't read the body. The codec uses one of the statements;
// a proxy in front that uses the other would treat the rest of the body as a separate
// request and deliver its answer to another caller (request smuggling). It reports whether
// the connection can carry another request.
func checkFraming(c *app.RequestContext) bool {
	n := c.Request.Header.ContentLength()
	if n == noLength {
		return true
	}
	raw := bytes.NewReader(c.Request.Header.RawHeaders())
	h, err := textproto.NewReader(bufio.NewReader(raw)).ReadMIMEHeader()
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	stated := len(lengths) + len(codings)
	var valid bool
	switch stated {
	case 0:
		valid = n == 0 // a request that states no length has no body
	case 1:
		valid = len(codings) == 0 || strings.EqualFold(codings[0], "chunked")
	}
	if err == nil && valid {
		return true
	}
	c.Set(framingKey, status.Refuse(status.CodeMalformed, 0, "the request's body length is stated %d times", stated))
	return false
}

// requestChunks reads a request's body in chunks. The codec's own reader rejects chunk
// extensions, accepts trailers of any size, and waits for a chunk as a whole.
type requestChunks struct {
	body *chunkedBody
	conn *requestConn
}

func newRequestChunks(conn *requestConn) *requestChunks {
	b := newChunkedBody(conn)
	b.trailers = int(conn.limits.headerBytes.Load())
	return &requestChunks{body: b, conn: conn}
}

// Read implements io.Reader.
func (r *requestChunks) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && r.body.in != nil {
		rest, _ := r.body.in.Peek(r.body.in.Buffered()) // the next request
		r.conn.endChunks(rest)
	}
	if r.body.in != nil {
		r.body.release()
		r.body.err = err
	}
	return n, err
}
