package hertzhttp

import (
	"bytes"
	"io"
	"math"

	"github.com/cloudwego/hertz/pkg/protocol"
	http1resp "github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"golang.org/x/net/http/httpguts"

	"peardrift/internal/status"
)

// The codec accepts heads that HTTP/1.1 rules out, and buffers a head of any size. Heads of
// responses are therefore read and checked here before the codec parses them: bytes that
// another parser reads differently must not reach a caller.

// maxHeadBytes limits the heads of all responses that one call reads, interim and stale ones
// included.
const maxHeadBytes = 64 << 10

// responseHead is what a response's head says of its framing and its connection.
type responseHead struct {
	status int
	length int // of the body; chunkedLength or noLength
	closes bool
}

// Lengths of bodies as the codec represents them.
const (
	chunkedLength = -1
	noLength      = -2
)

// isInterim reports whether another response to the same request follows.
func (h *responseHead) isInterim() bool { return h.status < 200 }

// hasNoBody reports whether the status alone rules a body out (RFC 9112, 6.3).
func (h *responseHead) hasNoBody() bool { return h.isInterim() || h.status == 204 || h.status == 304 }

// readHead reads a response's head of at most limit bytes into resp. It returns the size of
// the head.
func (c *clientConn) readHead(resp *protocol.Response, limit int) (responseHead, int, error) {
	b, err := c.nextHead(limit)
	if err != nil {
		return responseHead{}, 0, err
	}
	h, err := parseHead(b)
	if err != nil {
		return responseHead{}, 0, err
	}
	if err := http1resp.ReadHeader(&resp.Header, &headReader{b}); err != nil {
		return responseHead{}, 0, status.Wrap(status.CodeProtocol, err, "invalid response head")
	}
	if h.closes {
		resp.SetConnectionClose()
	}
	return h, len(b), nil
}

// nextHead consumes the next head, which is valid until the next read. It doesn't use Peek
// for a head that arrives in parts: each Peek across the codec's buffers allocates a copy
// that is kept until the head is complete.
func (c *clientConn) nextHead(limit int) ([]byte, error) {
	var head []byte // parts that are consumed
	for {
		if _, err := c.Peek(1); err != nil {
			return nil, err
		}
		part, err := c.Peek(c.Len())
		if err != nil {
			return nil, err
		}
		read := len(head)
		all := part
		if read > 0 {
			head = append(head, part...)
			all = head
		}
		if !hasHeadPrefix(all) {
			return nil, status.New(status.CodeProtocol, "the response doesn't begin with a status line")
		}
		n := headEnd(all, max(read-len("\n\r"), 0))
		if n > limit || n == 0 && len(all) >= limit {
			return nil, status.New(status.CodeProtocol, "the response's head exceeds the limit of %d bytes", maxHeadBytes)
		}
		if n > 0 {
			return all[:n], c.Skip(n - read)
		}
		if read == 0 {
			head = append(head, part...)
		}
		if err := c.Skip(len(part)); err != nil {
			return nil, err
		}
		if err := c.Release(); err != nil {
			return nil, err
		}
	}
}

const headPrefix = "HTTP/1."

// hasHeadPrefix reports whether b may begin a head. It lets a call fail at once if its peer
// sends other bytes.
func hasHeadPrefix(b []byte) bool {
	n := min(len(b), len(headPrefix))
	return string(b[:n]) == headPrefix[:n]
}

// headEnd returns the size of the head that begins b, 0 if it isn't complete. It searches
// from the given offset for an empty line, whose end may be a single LF (RFC 9112, 2.2).
func headEnd(b []byte, from int) int {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		switch rest := b[from:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return from + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return from + 2
		}
	}
}

// parseHead checks a complete head (RFC 9112, 4 to 6). Its error is a status error with
// CodeProtocol.
func parseHead(b []byte) (responseHead, error) {
	line, rest := cutLine(b)
	h := responseHead{length: noLength}
	var err error
	if h.status, err = parseStatusLine(line); err != nil {
		return h, err
	}
	var f framing
	for {
		if line, rest = cutLine(rest); len(line) == 0 {
			break
		}
		if err := f.addLine(line); err != nil {
			return h, err
		}
	}
	http10 := b[len(headPrefix)] == '0'
	h.closes = f.closes || http10 && !f.keepsAlive
	switch {
	case h.status == 101:
		return h, status.New(status.CodeProtocol, "the response switches to a protocol that the request didn't ask for")
	case f.chunked && (f.lengths > 0 || http10):
		return h, status.New(status.CodeProtocol, "the length of the response's body is ambiguous")
	case (h.isInterim() || h.status == 204) && (f.chunked || f.length > 0):
		return h, status.New(status.CodeProtocol, "a response of status %d states the length of a body", h.status)
	case f.chunked:
		h.length = chunkedLength
	case f.lengths > 0 && !h.hasNoBody():
		h.length = f.length
	}
	return h, nil
}

// cutLine returns the line that begins b, without its end, and what follows.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// parseStatusLine checks a status line and returns the status.
func parseStatusLine(line []byte) (int, error) {
	const (
		minor  = len(headPrefix)
		code   = minor + len("1 ")
		reason = code + len("200 ")
	)
	if len(line) < reason || !hasHeadPrefix(line) || !isDigit(line[minor]) || line[code-1] != ' ' || line[reason-1] != ' ' || !isText(line[reason:]) {
		return 0, status.New(status.CodeProtocol, "the response has an invalid status line")
	}
	n := 0
	for _, c := range line[code : reason-1] {
		if !isDigit(c) {
			return 0, status.New(status.CodeProtocol, "the response has an invalid status line")
		}
		n = 10*n + int(c-'0')
	}
	if n < 100 || n > 599 {
		return 0, status.New(status.CodeProtocol, "the response has the invalid status %d", n)
	}
	return n, nil
}

// framing is what a head's fields say of the body's framing and the connection.
type framing struct {
	chunked    bool
	lengths    int // number of lengths stated
	length     int
	closes     bool
	keepsAlive bool
}

// addLine checks a field line and reads it if it bears on the framing.
func (f *framing) addLine(line []byte) error {
	name, value, err := parseFieldLine(line)
	if err != nil {
		return err
	}
	switch {
	case isName(name, "Content-Length"):
		return f.addLength(value)
	case isName(name, "Transfer-Encoding"):
		if f.chunked || !isName(value, "chunked") {
			return status.New(status.CodeProtocol, "the response has an unknown transfer coding")
		}
		f.chunked = true
	case isName(name, "Connection"):
		for more := true; more; {
			var option []byte
			option, value, more = bytes.Cut(value, []byte{','})
			option = trimSpace(option)
			f.closes = f.closes || isName(option, "close")
			f.keepsAlive = f.keepsAlive || isName(option, "keep-alive")
		}
	}
	return nil
}

// addLength reads a Content-Length. It may be repeated if all values are equal (RFC 9112,
// 6.3); a list of values is not accepted.
func (f *framing) addLength(value []byte) error {
	n, ok := parseLength(value)
	if !ok || f.lengths > 0 && n != f.length {
		return status.New(status.CodeProtocol, "the response has an invalid or ambiguous Content-Length")
	}
	f.length = n
	f.lengths++
	return nil
}

// parseFieldLine checks a field line and returns its name and value. A line that continues
// the one before (obs-fold) is invalid.
func parseFieldLine(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	ok = ok && len(name) > 0
	for _, c := range name {
		ok = ok && httpguts.IsTokenRune(rune(c))
	}
	if !ok || !isText(value) {
		return nil, nil, status.New(status.CodeProtocol, "the response has an invalid field line")
	}
	return name, trimSpace(value), nil
}

func parseLength(b []byte) (n int, ok bool) {
	for _, c := range b {
		if !isDigit(c) || n > (math.MaxInt-9)/10 {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, len(b) > 0
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isText reports whether b has no control characters but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isName(b []byte, name string) bool {
	return len(b) == len(name) && bytes.EqualFold(b, []byte(name))
}

func trimSpace(b []byte) []byte { return bytes.Trim(b, " \t") }

// headReader passes a complete head to the codec. It implements network.Reader.
type headReader struct{ b []byte }

// Peek implements network.Reader.
func (r *headReader) Peek(n int) ([]byte, error) {
	if n > len(r.b) {
		return r.b, io.EOF
	}
	return r.b[:n], nil
}

// Skip implements network.Reader.
func (r *headReader) Skip(n int) error {
	if n > len(r.b) {
		return io.EOF
	}
	r.b = r.b[n:]
	return nil
}

// Release implements network.Reader.
func (r *headReader) Release() error { return nil }

// Len implements network.Reader.
func (r *headReader) Len() int { return len(r.b) }

// ReadByte implements network.Reader.
func (r *headReader) ReadByte() (byte, error) {
	b, err := r.Peek(1)
	if err != nil {
		return 0, err
	}
	return b[0], r.Skip(1)
}

// ReadBinary implements network.Reader.
func (r *headReader) ReadBinary(n int) ([]byte, error) {
	b, err := r.Peek(n)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(b), r.Skip(n)
}
