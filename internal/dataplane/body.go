package dataplane

import (
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/status"
)

// body is an incoming request's body.
type body struct {
	whole  []byte    // valid until the handler returns
	stream io.Reader // nil if whole
	length int       // of the stream; -1 unknown
}

// takeBody reads a body of up to BufferBytes and leaves a longer one a stream.
// Either is bounded by most bytes, and a stream must arrive by the deadline.
func (e *Engine) takeBody(c *app.RequestContext, most int64, deadline time.Duration) (body, *status.Error) {
	hold, most := e.cfg.BufferBytes, min(most, e.cfg.MaxBody)
	n := c.Request.Header.ContentLength()
	if int64(n) > most {
		return body{}, tooLarge(most)
	}
	if !c.Request.IsBodyStream() || (n >= 0 && n <= hold) {
		b, err := c.Request.BodyE()
		if err != nil {
			e := status.Wrap(status.CodeMalformed, err, "the request's body ended early")
			return body{}, e
		}
		return body{whole: b}, nil
	}
	// A sender that stops in the middle would hold the call past its deadline:
	// ending the onward connection does not wake a read that waits for it.
	until := min(deadline, e.now()+e.cfg.UploadTimeout)
	_ = c.GetConn().SetReadDeadline(e.epoch.Add(until))
	return body{stream: &bounded{r: c.RequestBodyStream(), left: most}, length: max(n, -1)}, nil
}

func tooLarge(most int64) *status.Error {
	return status.Refuse(status.CodeTooLarge, 0, "the request's body exceeds %d bytes", most)
}

// attach makes the body that of an outgoing request.
func (b *body) attach(req *protocol.Request) {
	if b.stream != nil {
		req.SetBodyStream(b.stream, b.length)
		return
	}
	req.SetBodyRaw(b.whole)
}

// bounded fails a body of unstated length that turns out too long.
type bounded struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, tooLarge(0)
	}
	return n, err
}

// maxRecorded bounds an at-most-once request's answer in memory.
const maxRecorded = 1 << 20

// readAll reads a stream to its end, up to maxRecorded bytes.
func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxRecorded+1))
	if err != nil {
		return nil, status.Wrap(status.CodeConnectionLost, err, "an answer broke off")
	}
	if len(b) > maxRecorded {
		return nil, status.New(status.CodeTooLarge, "an answer of more than %d bytes", maxRecorded)
	}
	return b, nil
}
