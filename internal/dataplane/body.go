package dataplane

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/adapter/hertzhttp"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// body is an incoming request's body.
type body struct {
	whole  []byte    // valid until the handler returns
	stream io.Reader // nil if whole
	length int       // of the stream; -1 if unknown
}

// readBody reads a body of up to BufferBytes into memory and leaves a longer one as a
// stream. Either may have at most limit bytes, and a stream must arrive by the
// deadline.
func (e *Engine) readBody(c *app.RequestContext, limit int64, deadline time.Duration) (body, *status.Error) {
	bufferLimit, limit := e.cfg.BufferBytes, min(limit, e.cfg.MaxBody)
	n := c.Request.Header.ContentLength()
	if fault := hertzhttp.FramingError(c); fault != nil {
		return body{}, fault
	}
	if int64(n) > limit {
		return body{}, tooLarge(limit)
	}
	// A sender that stops halfway would hold the call past its deadline: closing the
	// onward connection does not unblock a read from the sender.
	if c.Request.IsBodyStream() {
		until := min(deadline, e.now()+e.cfg.UploadTimeout)
		_ = c.GetConn().SetReadDeadline(e.epoch.Add(until))
	}
	if !c.Request.IsBodyStream() || (n >= 0 && n <= bufferLimit) {
		b, err := c.Request.BodyE()
		if err != nil {
			return body{}, bodyError(c, err)
		}
		return body{whole: b}, nil
	}
	in := &limitedReader{r: c.RequestBodyStream(), left: limit}
	if n >= 0 {
		return body{stream: in, length: n}, nil
	}
	return readUnknownLength(c, in, bufferLimit)
}

// readUnknownLength reads a body of unknown length. A body within the buffer limit is
// kept whole, so that it can be retried and can belong to an at-most-once request.
func readUnknownLength(c *app.RequestContext, in *limitedReader, bufferLimit int) (body, *status.Error) {
	head, err := io.ReadAll(io.LimitReader(in, int64(bufferLimit)+1))
	if err != nil {
		return body{}, bodyError(c, err)
	}
	if len(head) <= bufferLimit {
		return body{whole: head}, nil
	}
	return body{stream: io.MultiReader(bytes.NewReader(head), in), length: -1}, nil
}

// bodyError converts a body's read error to a typed failure. It closes the connection,
// because the start of the next request on it is unknown.
func bodyError(c *app.RequestContext, err error) *status.Error {
	c.SetConnectionClose()
	var e *status.Error
	if errors.As(err, &e) && (e.Code == status.CodeTooLarge || e.Outcome == request.Refused) {
		return e
	}
	f := status.Refuse(status.CodeMalformed, 0, "the request's body ended early or its framing is invalid")
	f.Cause = err
	return f
}

func tooLarge(limit int64) *status.Error {
	return status.Refuse(status.CodeTooLarge, 0, "the request's body exceeds %d bytes", limit)
}

// attach sets the body on an outgoing request.
func (b *body) attach(req *protocol.Request) {
	if b.stream != nil {
		req.SetBodyStream(b.stream, b.length)
		return
	}
	req.SetBodyRaw(b.whole)
}

// limitedReader fails a body of unknown length that exceeds the limit.
type limitedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, tooLarge(0)
	}
	return n, err
}

// maxRecorded limits the size in bytes of an at-most-once request's answer in memory.
const maxRecorded = 1 << 20

// readAll reads a stream to its end, up to maxRecorded bytes.
func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxRecorded+1))
	if err != nil {
		return nil, status.Wrap(status.CodeConnectionLost, err, "the answer ended early")
	}
	if len(b) > maxRecorded {
		return nil, status.New(status.CodeTooLarge, "an answer of more than %d bytes", maxRecorded)
	}
	return b, nil
}
