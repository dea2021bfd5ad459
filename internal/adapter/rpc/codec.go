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

// codec implements net/rpc's client and server codec: MessagePack with structs
// as arrays and integers in their shortest form. A request consists of sequence
// number, method and body; a reply of sequence number, error and body.
type codec struct {
	conn        net.Conn
	cfg         Config
	in          *limitedReader
	dec         *msgpack.Decoder
	out         *bufio.Writer
	enc         *msgpack.Encoder
	idleTimeout time.Duration // read deadline before each request; 0: none
}

func newCodec(conn net.Conn, cfg Config, idle time.Duration) *codec {
	c := &codec{conn: conn, cfg: cfg, idleTimeout: idle}
	c.in = &limitedReader{r: bufio.NewReader(conn)}
	c.dec = msgpack.NewDecoder(c.in)
	c.out = bufio.NewWriterSize(conn, maxSegmentBytes)
	c.enc = msgpack.NewEncoder(c.out)
	c.enc.UseArrayEncodedStructs(true)
	c.enc.UseCompactInts(true)
	return c
}

// limitedReader limits the bytes of one message, so that a faulty peer can't
// make the node buffer an unbounded amount.
type limitedReader struct {
	r         *bufio.Reader
	remaining int
}

func tooLarge() error {
	return status.New(status.CodeTooLarge, "control message exceeds the size limit")
}

func (l *limitedReader) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, tooLarge()
	}
	n, err := l.r.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

func (l *limitedReader) ReadByte() (byte, error) {
	if l.remaining <= 0 {
		return 0, tooLarge()
	}
	b, err := l.r.ReadByte()
	if err == nil {
		l.remaining--
	}
	return b, err
}

func (l *limitedReader) UnreadByte() error {
	l.remaining++
	return l.r.UnreadByte()
}

func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if c.idleTimeout > 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
			return err
		}
	}
	c.in.remaining = c.cfg.MaxMessage
	var err error
	if r.Seq, err = c.dec.DecodeUint64(); err != nil {
		return err
	}
	r.ServiceMethod, err = c.dec.DecodeString()
	return err
}

func (c *codec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c *codec) ReadResponseHeader(r *rpc.Response) error {
	c.in.remaining = c.cfg.MaxMessage
	var err error
	if r.Seq, err = c.dec.DecodeUint64(); err != nil {
		return err
	}
	r.Error, err = c.dec.DecodeString()
	return err
}

func (c *codec) ReadResponseBody(body any) error { return c.readBody(body) }

// readBody decodes into body, or skips the value if body is nil. On failure it
// closes the connection: net/rpc would otherwise continue and parse the rest of
// the body as the next message.
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

// decode decodes a body that was read completely. The library allocates as many
// elements as a list header announces: decoding directly from the connection, 47
// bytes from a peer requested 77 GB. In a complete body each element takes at
// least one byte.
func decode(raw []byte, body any) error { return msgpack.Unmarshal(raw, body) }

func (c *codec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.Seq, r.ServiceMethod, body)
}

func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(r.Seq, r.Error, body)
}

// write sends one message. It closes the connection on failure, since a partial
// message breaks the framing.
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
