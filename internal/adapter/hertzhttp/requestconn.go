package hertzhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"peardrift/internal/status"
)

// transporter gives the codec requestConns.
type transporter struct {
	network.Transporter
	limits *clientLimits
}

func newTransporter(limits *clientLimits) func(*config.Options) network.Transporter {
	return func(o *config.Options) network.Transporter {
		return &transporter{Transporter: standard.NewTransporter(o), limits: limits}
	}
}

// ListenAndServe implements network.Transporter.
func (t *transporter) ListenAndServe(onData network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, conn any) error {
		sc := serverConnOf(ctx)
		sc.request = &requestConn{Conn: conn.(network.Conn), sock: sc, limits: t.limits}
		defer sc.request.buf.free()
		return onData(ctx, sc.request)
	})
}

// requestConn is the connection that the codec reads requests from. The codec buffers a head
// of any size, and copies what it has of it with each part that arrives; it also reads the
// rest of a body as the next request if it misunderstands the body's length. Therefore
// requestConn collects and checks a head before the codec sees any of it, and knows where the
// message ends.
type requestConn struct {
	network.Conn // writes the responses
	sock         *serverConn
	limits       *clientLimits

	buf     inputBuffer
	part    part
	head    requestHead // the current one
	left    int         // unread bytes of the head or of a body of known length
	unsent  int         // bytes of a response that aren't flushed
	started bool        // a request has begun on the connection
	// sinceProgress is how much of a body has arrived since progress was recorded.
	sinceProgress int
}

// part is what the codec reads next.
type part uint8

const (
	partNextHead part = iota
	partHead
	partBody
	partChunks
)

// Peek implements network.Reader.
func (c *requestConn) Peek(n int) ([]byte, error) {
	if c.part == partNextHead {
		if err := c.receiveHead(); err != nil {
			return nil, err
		}
	}
	if c.part == partChunks {
		return nil, errUnreadChunks
	}
	most := min(n, c.left)
	for c.buf.len() < most {
		if err := c.receiveBody(most); err != nil {
			return nil, err
		}
	}
	if most < n {
		return c.buf.bytes()[:most], io.EOF
	}
	return c.buf.bytes()[:n], nil
}

// errUnreadChunks ends a connection on which the handler has left a body in chunks.
var errUnreadChunks = status.New(status.CodeMalformed, "the request's body has not been read")

// Len implements network.Reader.
func (c *requestConn) Len() int { return min(c.left, c.buf.len()) }

// Skip implements network.Reader.
func (c *requestConn) Skip(n int) error {
	if n > c.Len() {
		return io.ErrShortBuffer
	}
	c.consume(n)
	return nil
}

// consume advances the reader within the message.
func (c *requestConn) consume(n int) {
	c.buf.skip(n)
	if c.left -= n; c.left > 0 {
		return
	}
	switch {
	case c.part == partBody || c.head.length == 0 && !c.head.chunked:
		c.part = partNextHead
	case c.head.chunked:
		c.part = partChunks
	default:
		c.part, c.left = partBody, c.head.length
	}
}

// Read implements io.Reader. It reads the request's body.
func (c *requestConn) Read(p []byte) (int, error) {
	switch {
	case c.part == partChunks:
	case c.part != partBody:
		return 0, io.EOF
	default:
		p = p[:min(len(p), c.left)]
	}
	if len(p) == 0 {
		return 0, nil
	}
	if c.buf.len() == 0 && len(p) >= minBufferBytes {
		n, err := c.read(p)
		if c.part == partBody {
			c.consumeRead(n)
		}
		return n, err
	}
	if c.buf.len() == 0 {
		if err := c.receiveBody(1); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.buf.bytes())
	if c.part == partBody {
		c.consume(n)
	} else {
		c.buf.skip(n)
	}
	return n, nil
}

// consumeRead counts bytes of a body that weren't buffered.
func (c *requestConn) consumeRead(n int) {
	if c.left -= n; c.left == 0 {
		c.part = partNextHead
	}
}

// endChunks ends a body in chunks. rest is what was read behind it.
func (c *requestConn) endChunks(rest []byte) {
	c.buf.unread(rest)
	c.part = partNextHead
}

// Release implements network.Reader.
func (c *requestConn) Release() error {
	c.buf.shrink()
	return nil
}

// ReadByte implements network.Reader.
func (c *requestConn) ReadByte() (byte, error) {
	b, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	v := b[0]
	c.consume(1)
	return v, nil
}

// ReadBinary implements network.Reader.
func (c *requestConn) ReadBinary(n int) ([]byte, error) {
	b, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	b = append([]byte(nil), b...)
	c.consume(n)
	return b, nil
}

// Malloc implements network.Writer.
func (c *requestConn) Malloc(n int) ([]byte, error) {
	c.unsent += n
	return c.Conn.Malloc(n)
}

// WriteBinary implements network.Writer. The codec's connection would keep a large b, which it
// doesn't copy, until the next response is written.
func (c *requestConn) WriteBinary(b []byte) (int, error) {
	if len(b) < minBufferBytes {
		c.unsent += len(b)
		return c.Conn.WriteBinary(b)
	}
	if err := c.Flush(); err != nil {
		return 0, err
	}
	c.sock.limit.holdAnyway(c.sock, int64(len(b)))
	return c.sock.Write(b)
}

// Flush implements network.Writer.
func (c *requestConn) Flush() error {
	c.sock.limit.holdAnyway(c.sock, int64(c.unsent))
	c.unsent = 0
	return c.Conn.Flush()
}

// SetReadTimeout implements network.Conn. The codec's timeouts are not used: they limit the
// wait for the next bytes rather than for a head.
func (c *requestConn) SetReadTimeout(time.Duration) error { return nil }

// receiveHead waits for the next request and receives its head. Its error is one for which
// the codec sends no response.
func (c *requestConn) receiveHead() error {
	c.endRequest()
	err := c.collectHead()
	if err == nil {
		c.started = true
		c.part, c.left = partHead, c.head.size
		c.sock.begin(awaitNothing)
		if c.head.length > 0 || c.head.chunked {
			err = c.sock.SetReadDeadline(time.Now().Add(c.limits.bodyTimeout))
		}
	}
	if err == nil {
		return nil
	}
	var refused *headError
	if errors.As(err, &refused) {
		c.refuse(refused)
	}
	return hertzerrors.New(hertzerrors.ErrNothingRead, hertzerrors.ErrorTypePrivate, err.Error())
}

// endRequest releases what the request before has taken.
func (c *requestConn) endRequest() {
	c.sock.hold(0)
	c.buf.shrink()
}

// trimHeader drops the storage of a large request's head, which the codec would keep for
// later requests on the connection. What it still needs of the request is kept.
func (c *requestConn) trimHeader(rc *app.RequestContext) {
	if c.head.memory() <= freeBytes {
		return
	}
	h := &rc.Request.Header
	method, version, last := string(h.Method()), h.GetProtocol(), h.ConnectionClose()
	rc.Request.Header = protocol.RequestHeader{}
	h.SetMethod(method)
	h.SetProtocol(version)
	h.SetConnectionClose(last)
}

// collectHead reads until the buffer begins with a complete head.
func (c *requestConn) collectHead() error {
	var scan headScan
	state := headIdle
	for {
		done, err := scan.next(c.buf.bytes(), int(c.limits.headerBytes.Load()))
		if err != nil {
			return err
		}
		if done {
			c.buf.skip(scan.begin)
			c.head = scan.head
			if !c.sock.hold(c.head.memory()) {
				return errMemory
			}
			return nil
		}
		if c.buf.full() {
			if !c.sock.hold(c.buf.grown()) {
				return errMemory
			}
			c.buf.grow()
		}
		if err := c.receiveHeadPart(&state); err != nil {
			return err
		}
	}
}

// headState is the state of a head that is received.
type headState uint8

const (
	headIdle headState = iota
	headWaits
	headBegun
	headLate
)

// receiveHeadPart reads once.
func (c *requestConn) receiveHeadPart(s *headState) error {
	var wait time.Duration
	switch {
	case c.buf.len() > 0 && *s < headBegun:
		*s, wait = headBegun, c.limits.header()
		c.sock.begin(awaitHead)
	case *s == headIdle:
		*s, wait = headWaits, c.limits.idle()
		if c.started {
			c.sock.begin(awaitNext)
		}
	}
	if wait > 0 {
		if err := c.sock.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return err
		}
	}
	err := c.buf.fill(c.sock)
	if !errors.Is(err, os.ErrDeadlineExceeded) || *s < headBegun {
		return err
	}
	if *s == headLate {
		return errSlowHead
	}
	// A deadline that passes before the read hides what has arrived.
	*s = headLate
	return c.sock.SetReadDeadline(time.Now().Add(lateReadTime))
}

// lateReadTime is how long a read after the deadline may take. What it reads has arrived
// before; the time covers scheduling delay only.
const lateReadTime = 50 * time.Millisecond

// refuse responds to a request whose head is not accepted, and lets the connection close.
func (c *requestConn) refuse(e *headError) {
	c.sock.hold(0)
	c.buf.free()
	text := "HTTP/1.1 " + strconv.Itoa(e.status) + " " + http.StatusText(e.status) + "\r\n" +
		"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"
	if e.retryAfter > 0 {
		text += "Retry-After: " + strconv.Itoa(int(e.retryAfter.Seconds())) + "\r\n"
	}
	text += "Content-Length: " + strconv.Itoa(len(e.text)) + "\r\n\r\n" + e.text
	c.sock.last.Store(true) // the client may still be sending
	_, _ = c.sock.Write([]byte(text))
}

// receiveBody reads more of a body, of which most bytes are needed at once.
func (c *requestConn) receiveBody(most int) error {
	if c.buf.full() || c.buf.size() < most {
		c.buf.reserve(most)
	}
	c.sock.resume(awaitBody)
	defer c.sock.end()
	before := c.buf.len()
	err := c.buf.fill(c.sock)
	c.received(c.buf.len() - before)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// read reads bytes of a body past the buffer.
func (c *requestConn) read(p []byte) (int, error) {
	c.sock.resume(awaitBody)
	defer c.sock.end()
	n, err := c.sock.Read(p)
	c.received(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// received records progress of a body.
func (c *requestConn) received(n int) {
	if c.sinceProgress += n; c.sinceProgress >= progressBytes {
		c.sinceProgress = 0
		c.sock.progress()
	}
}

// peekNext waits until bytes of a later request arrive, or the connection ends. Nothing else
// may read meanwhile.
func (c *requestConn) peekNext() error {
	if c.buf.len() > 0 {
		return nil
	}
	return c.buf.fill(c.sock)
}

var _ net.Conn = (*requestConn)(nil)
