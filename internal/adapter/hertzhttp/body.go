package hertzhttp

import (
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/status"
)

// hertz writes the terminating chunk of a chunked message even when its body
// reader fails, so the receiver would take a truncated response or upload for a
// complete one. The two readers below close the connection before the codec sees
// the error, so that the terminating chunk can't be written.

// requestBody is the body of an outgoing request.
type requestBody struct {
	reader    io.Reader
	conn      io.Closer
	remaining int // bytes not yet read; negative if unknown
	err       error
}

// guardRequestBody closes the connection if the request's body stream fails.
func guardRequestBody(req *protocol.Request, conn io.Closer) *requestBody {
	if !req.IsBodyStream() {
		return nil
	}
	n := req.Header.ContentLength()
	b := &requestBody{reader: req.BodyStream(), conn: conn, remaining: n}
	req.ConstructBodyStream(nil, b) // SetBodyStream would close the current stream
	return b
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.remaining >= 0 {
		b.remaining -= n
	}
	if err == io.EOF && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && err != io.EOF {
		b.err = err
		_ = b.conn.Close()
	}
	return n, err
}

// cause returns the error that ended the body early, or nil. Such an error is not
// the peer's fault.
func (b *requestBody) cause() error {
	if b == nil || b.err == nil {
		return nil
	}
	if status.CodeOf(b.err) == status.CodeTooLarge {
		return b.err
	}
	return status.Wrap(status.CodeCanceled, b.err, "reading the request body failed")
}

// responseBody is the body of a response being sent.
type responseBody struct {
	io.Reader
	conn    io.Closer
	onClose func()
}

// guardResponseBody closes the connection if the response's body stream fails, and
// calls onClose when the stream is closed. It reports whether the response has a
// body stream.
func guardResponseBody(c *app.RequestContext, onClose func()) bool {
	if !c.Response.IsBodyStream() {
		return false
	}
	b := &responseBody{Reader: c.Response.BodyStream(), conn: c.GetConn(), onClose: onClose}
	c.Response.SetBodyStreamNoReset(b, c.Response.Header.ContentLength())
	return true
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && err != io.EOF {
		_ = b.conn.Close()
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	defer b.onClose()
	if c, ok := b.Reader.(io.Closer); ok {
		return c.Close()
	}
	return nil
}
