package hertzhttp

import (
	"io"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/status"
)

// hertz ends a message in chunks in order also when the source of its body
// fails. Its receiver would take the first part of an answer, or of an upload,
// for the whole. The two readers here close the connection before the failure
// gets to the codec, so that the end can't be written.

// source is the body of an outgoing request.
type source struct {
	r    io.Reader
	conn io.Closer
	left int // bytes still to come; negative if unknown
	err  error
}

// guardSource makes a request's body stream break the connection when it fails.
func guardSource(req *protocol.Request, conn io.Closer) *source {
	if !req.IsBodyStream() {
		return nil
	}
	n := req.Header.ContentLength()
	s := &source{r: req.BodyStream(), conn: conn, left: n}
	req.ConstructBodyStream(nil, s) // SetBodyStream would close the present one
	return s
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if s.left >= 0 {
		s.left -= n
	}
	if err == io.EOF && s.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	if err != nil && err != io.EOF {
		s.err = err
		_ = s.conn.Close()
	}
	return n, err
}

// failure returns why the body failed, nil if it didn't. The peer is not to
// blame for it.
func (s *source) failure() error {
	if s == nil || s.err == nil {
		return nil
	}
	if status.CodeOf(s.err) == status.CodeTooLarge {
		return s.err
	}
	return status.Wrap(status.CodeCanceled, s.err, "the request's body broke off")
}

// sink is the body of an answer on its way out.
type sink struct {
	io.Reader
	conn io.Closer
	end  func()
}

// guardAnswer makes an answer's body stream break the connection when it fails,
// and calls end when it is closed. It reports whether there is such a stream.
func guardAnswer(c *app.RequestContext, end func()) bool {
	if !c.Response.IsBodyStream() {
		return false
	}
	s := &sink{Reader: c.Response.BodyStream(), conn: c.GetConn(), end: end}
	c.Response.SetBodyStreamNoReset(s, c.Response.Header.ContentLength())
	return true
}

// Read implements io.Reader.
func (s *sink) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if err != nil && err != io.EOF {
		_ = s.conn.Close()
	}
	return n, err
}

// Close implements io.Closer.
func (s *sink) Close() error {
	defer s.end()
	if c, ok := s.Reader.(io.Closer); ok {
		return c.Close()
	}
	return nil
}
