package rpc

import (
	"bufio"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"peardrift/internal/status"
)

// codec is both ends of net/rpc's codec: MessagePack with structs as arrays and
// integers in their shortest form. A request is its sequence number, method and
// body; a reply its sequence number, error and body.
type codec struct {
	conn net.Conn
	cfg  Config
	in   *limitedReader
	dec  *msgpack.Decoder
	out  *bufio.Writer
	enc  *msgpack.Encoder
	idle time.Duration // read deadline before each request; 0: none
}

func newCodec(conn net.Conn, cfg Config, idle time.Duration) *codec {
	c := &codec{conn: conn, cfg: cfg, idle: idle}
	c.in = &limitedReader{r: bufio.NewReader(conn)}
	c.dec = msgpack.NewDecoder(c.in)
	c.out = bufio.NewWriterSize(conn, packetData)
	c.enc = msgpack.NewEncoder(c.out)
	c.enc.UseArrayEncodedStructs(true)
	c.enc.UseCompactInts(true)
	return c
}

// limitedReader bounds the bytes of one message. Without the bound a faulty
// peer could make the node buffer without end.
type limitedReader struct {
	r    *bufio.Reader
	left int
}

func tooLarge() error { return status.New(status.CodeTooLarge, "control message exceeds the bound") }

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, tooLarge()
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

func (l *limitedReader) ReadByte() (byte, error) {
	if l.left <= 0 {
		return 0, tooLarge()
	}
	b, err := l.r.ReadByte()
	if err == nil {
		l.left--
	}
	return b, err
}

func (l *limitedReader) UnreadByte() error {
	l.left++
	return l.r.UnreadByte()
}

func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if c.idle > 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return err
		}
	}
	c.in.left = c.cfg.MaxMessage
	var err error
	if r.Seq, err = c.dec.DecodeUint64(); err != nil {
		return err
	}
	r.ServiceMethod, err = c.dec.DecodeString()
	return err
}

func (c *codec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c *codec) ReadResponseHeader(r *rpc.Response) error {
	c.in.left = c.cfg.MaxMessage
	var err error
	if r.Seq, err = c.dec.DecodeUint64(); err != nil {
		return err
	}
	r.Error, err = c.dec.DecodeString()
	return err
}

func (c *codec) ReadResponseBody(body any) error { return c.readBody(body) }

// readBody decodes into body, or skips it if body is nil. If that fails, the
// connection is closed: net/rpc would go on reading, and take what is left of
// the body for the next message.
func (c *codec) readBody(body any) error {
	raw, err := c.dec.DecodeRaw()
	if err == nil && body != nil {
		err = decode(raw, body)
	}
	if err != nil {
		_ = c.Close()
	}
	return err
}

// decode decodes a body that was read as a whole before. The library allocates
// as many elements as a list announces: read straight from the connection, a
// peer's 47 bytes were seen to ask for 77 GB. Of a body that is complete, each
// element has at least one byte.
func decode(raw []byte, body any) error { return msgpack.Unmarshal(raw, body) }

func (c *codec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.Seq, r.ServiceMethod, body)
}

func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(r.Seq, r.Error, body)
}

// write sends one message. A message that was written in part spoils the
// connection, so that is closed.
func (c *codec) write(seq uint64, text string, body any) error {
	err := c.conn.SetWriteDeadline(time.Now().Add(c.cfg.WriteTimeout))
	if err == nil {
		err = c.enc.EncodeUint(seq)
	}
	if err == nil {
		err = c.enc.EncodeString(text)
	}
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		_ = c.Close()
	}
	return err
}

func (c *codec) Close() error { return c.conn.Close() }

var (
	_ rpc.ServerCodec = (*codec)(nil)
	_ rpc.ClientCodec = (*codec)(nil)
	_ io.ByteScanner  = (*limitedReader)(nil)
)
