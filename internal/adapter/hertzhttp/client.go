package hertzhttp

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	http1req "github.com/cloudwego/hertz/pkg/protocol/http1/req"
	http1resp "github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"peardrift/internal/status"
)

// ClientConfig bounds a Client.
type ClientConfig struct {
	// MaxConns bounds the connections to one address, in use and idle
	// (default 1024). Lower protects the peer's connection slots; too low and
	// calls are refused although the peer has room.
	MaxConns int
	// MaxIdle bounds the idle connections kept to one address (default 256).
	// Higher saves dials (about 1 ms each) after a burst, and costs memory.
	MaxIdle int
	// IdleTimeout closes a connection that was idle that long (default 20 s).
	// It must stay below the servers' idle timeout: otherwise a call may be
	// sent on a connection that the peer is closing, and its outcome is unknown.
	IdleTimeout time.Duration
	// DialTimeout bounds a dial (default 1 s). Lower notices an unreachable
	// peer sooner; too low refuses peers that are merely busy.
	DialTimeout time.Duration
	// BufferBytes is the largest answer that is read whole before a byte of it
	// is passed on (default 64 KiB). Up to it a broken answer can still become
	// a typed failure or a retry; above it the answer is streamed.
	BufferBytes int
}

// DefaultClientConfig returns the defaults.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		MaxConns:    1024,
		MaxIdle:     256,
		IdleTimeout: 20 * time.Second,
		DialTimeout: time.Second,
		BufferBytes: 64 << 10,
	}
}

// Client calls peers by address over pooled connections. Safe for concurrent
// use.
type Client struct {
	cfg   ClientConfig
	mu    sync.RWMutex
	pools map[string]*pool
}

// NewClient returns a client; Close ends it.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, pools: make(map[string]*pool)}
}

// Result tells how far a call got.
type Result struct {
	// Sent reports that bytes of the request may have reached the peer. While
	// false, the peer has run nothing.
	Sent bool
	// Reused reports that the connection had carried calls before: a call that
	// fails on it at once may only have met a connection closed by the peer.
	Reused bool
	// Stream is the answer's body where it was not read whole; the caller
	// must close it. Nil when resp holds the whole body.
	Stream *Stream
	// Length is the stream's length in bytes, -1 if unknown.
	Length int
}

// Do sends req to addr and reads the answer into resp, whole if it is at most
// BufferBytes long. When ctx ends, the call ends at once and its connection is
// closed, so that the peer sees it. Do never repeats a request.
func (c *Client) Do(ctx context.Context, addr string, req *protocol.Request, resp *protocol.Response) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{}, endOf(ctx)
	}
	conn, err := c.pool(addr).get(remaining(ctx))
	if err != nil {
		return Result{}, err
	}
	res := Result{Reused: conn.calls > 0, Sent: true}
	// The dial may have outlasted the call; nothing has been written yet.
	if ctx.Err() != nil {
		conn.pool.drop(conn)
		return Result{}, endOf(ctx)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Conn.Close() })
	body := guardSource(req, conn)
	if err := c.exchange(conn, req, resp, &res, stop); err != nil {
		stop()
		conn.pool.drop(conn)
		if ctx.Err() != nil {
			return res, endOf(ctx)
		}
		if err := body.failure(); err != nil {
			return res, err
		}
		return res, status.Wrap(status.CodeConnectionLost, err, "call to %s broke", addr)
	}
	return res, nil
}

// exchange writes the request and reads the answer's head, and its body where
// it is short. On success the connection is back in the pool or owned by
// res.Stream.
func (c *Client) exchange(conn *clientConn, req *protocol.Request, resp *protocol.Response, res *Result, stop func() bool) error {
	if err := http1req.Write(req, conn); err != nil {
		return err
	}
	if err := conn.Flush(); err != nil {
		return err
	}
	resp.SkipBody = req.Header.IsHead()
	if err := http1resp.ReadHeaders(resp, conn); err != nil {
		return err
	}
	n := resp.Header.ContentLength()
	if n < -1 && !resp.MustSkipBody() {
		return status.New(status.CodeProtocol, "an answer of no stated length can't be told from a broken one")
	}
	if resp.MustSkipBody() || (n >= 0 && n <= c.cfg.BufferBytes) {
		return c.readWhole(conn, resp, stop)
	}
	if err := http1resp.ReadRespBodyStream(resp, conn, 0, nil); err != nil {
		return err
	}
	res.Stream = &Stream{r: resp.BodyStream(), conn: conn, stop: stop, keep: !resp.ConnectionClose()}
	res.Length = max(n, -1)
	return nil
}

func (c *Client) readWhole(conn *clientConn, resp *protocol.Response, stop func() bool) error {
	if err := http1resp.ReadRespBody(resp, conn, 0); err != nil {
		return err
	}
	if err := conn.Release(); err != nil {
		return err
	}
	conn.giveBack(stop, !resp.ConnectionClose())
	return nil
}

// giveBack returns the connection after a whole answer. If the call's context
// ended meanwhile, its AfterFunc is closing the connection, or soon will: it
// must not reach another call, which would lose its answer to that close.
func (c *clientConn) giveBack(stop func() bool, keep bool) {
	if !stop() || !keep {
		c.pool.drop(c)
		return
	}
	c.pool.put(c, time.Now())
}

// Reachable reports whether a new connection to addr can be made.
func (c *Client) Reachable(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, c.cfg.DialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Reap closes connections that were idle too long. Call it every few seconds.
func (c *Client) Reap(now time.Time) {
	c.mu.RLock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	c.mu.RUnlock()
	for _, p := range pools {
		p.reap(now.Add(-c.cfg.IdleTimeout))
	}
}

// Forget closes the idle connections to addr: for a peer that has left, or one
// whose open connections have gone silent.
func (c *Client) Forget(addr string) {
	c.mu.RLock()
	p := c.pools[addr]
	c.mu.RUnlock()
	if p != nil {
		p.flush(false)
	}
}

// Close closes idle connections; those in use close when their call ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.flush(true)
	}
}

func (c *Client) pool(addr string) *pool {
	c.mu.RLock()
	p := c.pools[addr]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[addr]; p == nil {
		p = newPool(addr, &c.cfg)
		c.pools[addr] = p
	}
	return p
}

// Stream is the rest of an answer on its connection. Read it from one
// goroutine; Close exactly once is enough, more does no harm.
type Stream struct {
	r      io.Reader
	conn   *clientConn
	stop   func() bool
	keep   bool
	whole  bool
	broken bool
	closed atomic.Bool
	after  []func()
}

// OnClose registers f to run when the stream is closed; not safe for
// concurrent use with Close.
func (s *Stream) OnClose(f func()) { s.after = append(s.after, f) }

// Read implements io.Reader; io.EOF comes only after the whole answer.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	s.whole = s.whole || err == io.EOF
	s.broken = s.broken || err != nil && err != io.EOF
	return n, err
}

// Broken reports whether reading failed before the answer's end.
func (s *Stream) Broken() bool { return s.broken }

// Whole reports whether the answer was read to its end.
func (s *Stream) Whole() bool { return s.whole }

// Close gives the connection back after a whole answer. Otherwise it closes it:
// the rest of a half-read answer would be taken for the next call's.
func (s *Stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	s.end()
	for _, f := range s.after {
		f()
	}
	return nil
}

func (s *Stream) end() {
	if !s.whole {
		s.stop()
		s.conn.pool.drop(s.conn)
		s.release()
		return
	}
	s.release()
	s.conn.giveBack(s.stop, s.keep)
}

// release returns the codec's reader; on a closed connection its attempt to
// skip the rest ends at once.
func (s *Stream) release() {
	if cl, ok := s.r.(io.Closer); ok {
		_ = cl.Close()
	}
}

// remaining returns the time left for ctx, a long time if it has no deadline.
func remaining(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return max(time.Until(d), time.Millisecond)
}

// endOf types the end of a context.
func endOf(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return status.Wrap(status.CodeDeadlineExceeded, ctx.Err(), "the deadline passed")
	}
	return status.Wrap(status.CodeCanceled, ctx.Err(), "the caller went away")
}
