package dataplane

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/textproto"
	"strings"
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
	if fault := framing(c, n); fault != nil {
		return body{}, fault
	}
	if int64(n) > most {
		return body{}, tooLarge(most)
	}
	if !c.Request.IsBodyStream() || (n >= 0 && n <= hold) {
		b, err := c.Request.BodyE()
		if err != nil {
			return body{}, unreadable(c, err)
		}
		return body{whole: b}, nil
	}
	// A sender that stops in the middle would hold the call past its deadline:
	// ending the onward connection does not wake a read that waits for it.
	until := min(deadline, e.now()+e.cfg.UploadTimeout)
	_ = c.GetConn().SetReadDeadline(e.epoch.Add(until))
	in := &bounded{r: c.RequestBodyStream(), left: most}
	if n >= 0 {
		return body{stream: in, length: n}, nil
	}
	return unstated(c, in, hold)
}

// unstated takes a body of no stated length: whole if it turns out short, so
// that it may be tried again and be part of an at-most-once request.
func unstated(c *app.RequestContext, in *bounded, hold int) (body, *status.Error) {
	head, err := io.ReadAll(io.LimitReader(in, int64(hold)+1))
	if err != nil {
		return body{}, unreadable(c, err)
	}
	if len(head) <= hold {
		return body{whole: head}, nil
	}
	return body{stream: io.MultiReader(bytes.NewReader(head), in), length: -1}, nil
}

// unreadable types why a body could not be read to its end. Where the next
// request on the connection begins can't be known then.
func unreadable(c *app.RequestContext, err error) *status.Error {
	c.SetConnectionClose()
	var e *status.Error
	if errors.As(err, &e) && e.Code == status.CodeTooLarge {
		return e
	}
	f := status.Refuse(status.CodeMalformed, 0, "the request's body ended early or is not framed as it says")
	f.Cause = err
	return f
}

// framing refuses a request with more than one statement of its body's length
// (RFC 9112, 6.3). The codec would believe one of them; a proxy in front that
// believes the other takes the rest of the body for a request of its own, and
// so hands its answer to another caller. The connection ends with the answer,
// as nobody knows where the next request on it begins.
func framing(c *app.RequestContext, n int) *status.Error {
	if n == noBody {
		return nil
	}
	raw := bytes.NewReader(c.Request.Header.RawHeaders())
	h, err := textproto.NewReader(bufio.NewReader(raw)).ReadMIMEHeader()
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	clear := len(lengths)+len(codings) == 1 && (len(codings) == 0 || strings.EqualFold(codings[0], "chunked"))
	if err == nil && clear {
		return nil
	}
	c.SetConnectionClose()
	return status.Refuse(status.CodeMalformed, 0, "the request's body length is stated %d times", len(lengths)+len(codings))
}

// noBody is the codec's length of a request that states none.
const noBody = -2

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
