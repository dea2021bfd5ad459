package hertzhttp

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	http1resp "github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"peardrift/internal/core/conn"
	"peardrift/internal/status"
)

// ClientConfig bounds a Client.
type ClientConfig struct {
	// MaxConns limits the connections to one address, in use and idle (default
	// 1024). A lower value protects the peer's connection slots; if it is too low,
	// calls are refused although the peer has capacity.
	MaxConns int
	// MaxIdle limits the idle connections kept to one address (default 256). A
	// higher value saves dials (about 1 ms each) after a burst, and costs memory.
	MaxIdle int
	// IdleTimeout closes a connection that has been idle this long (default 20 s).
	// It must stay below the servers' idle timeout: otherwise a call may be sent on
	// a connection that the peer is closing, and its outcome is unknown.
	IdleTimeout time.Duration
	// UsePeerIdleTimeout uses the timeout in the peer's Keep-Alive response header in place
	// of IdleTimeout.
	UsePeerIdleTimeout bool
	// DialTimeout limits a dial (default 1 s). A lower value detects an unreachable
	// peer sooner; if it is too low, dials to peers that are merely busy fail.
	DialTimeout time.Duration
	// SilenceTimeout is how long a call waits without traffic when it is unknown whether
	// the peer is processing it (default 5 s with a Prober, else 30 s). A lower value
	// frees callers of dead connections sooner; if it is too low, calls that merely take
	// long fail.
	SilenceTimeout time.Duration
	// Prober asks peers whether they are processing calls that have gone silent; nil
	// if peers can't be asked.
	Prober Prober
	// MatchResponse decides from the headers whether a response belongs to the request; nil
	// accepts all responses. It relies on what the peer sends, so it detects
	// duplicate responses but doesn't replace giving each call its own connection.
	MatchResponse func(req *protocol.RequestHeader, resp *protocol.ResponseHeader) Match
	// CompressHeaders compresses request headers for peers whose servers decompress them.
	// It saves traffic between zones, where each byte is charged; on one machine it only
	// costs CPU time.
	CompressHeaders bool
	// AllowUnframed accepts responses that have no length and end when the connection
	// closes. By default they are refused: one that the peer truncates looks
	// complete unless the connection is reset.
	AllowUnframed bool
	// WatchAfter is how long a connection is idle before a goroutine starts to wait
	// for it to close (default 1 s). Each call also checks its connection for a
	// close and for unsolicited bytes before it starts. A lower value closes
	// connections that peers have closed sooner; below the usual time between two
	// calls, each call pays for starting and stopping the goroutine.
	WatchAfter time.Duration
	// BufferBytes is the largest response that is read completely before any of it
	// is passed on (default 64 KiB). Up to this size a truncated response can still
	// become a typed error or a retry; larger responses are streamed.
	BufferBytes int
}

// DefaultClientConfig returns the default settings.
func DefaultClientConfig() ClientConfig {
	return ClientConfig{
		MaxConns:    1024,
		MaxIdle:     256,
		IdleTimeout: 20 * time.Second,
		DialTimeout: time.Second,
		WatchAfter:  time.Second,
		BufferBytes: 64 << 10,
	}
}

// Client calls peers by address over pooled connections. It is safe for concurrent
// use.
type Client struct {
	cfg        ClientConfig
	connConfig conn.Config
	epoch      time.Time
	mu         sync.RWMutex
	pools      map[string]*pool
}

// NewClient returns a client; call Close when it is no longer needed.
func NewClient(cfg ClientConfig) *Client {
	cc := conn.DefaultConfig()
	cc.MaxConns, cc.MaxIdle, cc.IdleTimeout = cfg.MaxConns, cfg.MaxIdle, cfg.IdleTimeout
	switch {
	case cfg.SilenceTimeout > 0:
		cc.GiveUp = cfg.SilenceTimeout
	case cfg.Prober == nil:
		cc.GiveUp = giveUpWithoutProber
	}
	return &Client{cfg: cfg, connConfig: cc, epoch: time.Now(), pools: make(map[string]*pool)}
}

// giveUpWithoutProber is the default of ClientConfig.SilenceTimeout without a Prober. A
// target sends nothing while it processes a call, so this must exceed the targets'
// processing time.
const giveUpWithoutProber = 30 * time.Second

func (c *Client) now() time.Duration { return time.Since(c.epoch) }

// tag returns the identifier by which the peer knows a call, or "" without a
// Prober.
func (c *Client) tag(req *protocol.Request) string {
	if c.cfg.Prober == nil {
		return ""
	}
	return c.cfg.Prober.Tag(&req.Header)
}

// Result describes how far a call got.
type Result struct {
	// Sent reports that bytes of the request may have reached the peer. While it is
	// false, the peer has executed nothing.
	Sent bool
	// Reused reports that the connection had carried earlier calls. A call that
	// fails on it at once may only have used a connection that the peer had already
	// closed.
	Reused bool
	// Stream is the response body if it was not read completely; the caller must
	// close it. It is nil when resp holds the whole body.
	Stream *Stream
	// Length is the stream's length in bytes, -1 if unknown.
	Length int
}

// Do sends req to addr and reads the response into resp, completely if its body
// has at most BufferBytes bytes. When ctx ends, the call ends at once and its
// connection is closed, so that the peer notices. A call also fails if its
// connection goes silent and the peer is reachable but doesn't know the call. Do
// never repeats a request.
func (c *Client) Do(ctx context.Context, addr string, req *protocol.Request, resp *protocol.Response) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{}, contextError(ctx)
	}
	cc, err := c.pool(addr).get(c.tag(req), timeLeft(ctx))
	if err != nil {
		return Result{}, err
	}
	res := Result{Reused: cc.completed > 0, Sent: true}
	// The dial may have outlasted ctx; nothing has been written yet.
	if ctx.Err() != nil {
		cc.pool.finish(cc, conn.Aborted)
		return Result{}, contextError(ctx)
	}
	stop := AfterFunc(ctx, cc.abort)
	body := guardRequestBody(req, cc)
	if err := c.exchange(cc, req, resp, &res, stop); err != nil {
		stop()
		cc.pool.finish(cc, conn.Aborted)
		return res, exchangeError(ctx, cc, body, err)
	}
	return res, nil
}

// errProtocol matches the errors of responses that HTTP/1.1 rules out.
var errProtocol = status.New(status.CodeProtocol, "")

// exchangeError returns the typed error of a failed exchange according to its
// cause.
func exchangeError(ctx context.Context, c *clientConn, body *requestBody, err error) error {
	switch {
	case ctx.Err() != nil:
		return contextError(ctx)
	case body.cause() != nil:
		return body.cause()
	case c.lost.Load():
		return status.New(status.CodeConnectionLost, "connection to %s went silent", c.pool.addr)
	case errors.Is(err, errProtocol):
		return err
	default:
		return status.Wrap(status.CodeConnectionLost, err, "call to %s failed", c.pool.addr)
	}
}

// exchange writes the request and reads the response header, and the body if it is
// short. On success the connection is back in the pool or owned by res.Stream.
func (c *Client) exchange(cc *clientConn, req *protocol.Request, resp *protocol.Response, res *Result, stop func() bool) error {
	sent := cc.send(req)
	if sent != nil {
		// A peer that rejects a long body may respond and close before the body is
		// sent. Its response is more useful than the write error.
		_ = cc.SetReadDeadline(time.Now().Add(earlyResponseWait))
	}
	head, err := c.readHead(cc, req, resp)
	if err != nil {
		return cmp.Or(sent, err)
	}
	if err := cc.unpackResponse(req, resp); err != nil {
		return err
	}
	n := head.length
	if n == noLength && !resp.MustSkipBody() {
		if sent != nil {
			return sent // a write that fails consumes a reset, which then reads like an end
		}
		return c.readUnframed(cc, resp)
	}
	if resp.MustSkipBody() || (n >= 0 && n <= c.cfg.BufferBytes) {
		return c.readBuffered(cc, resp, stop, sent == nil)
	}
	if sent != nil {
		return sent // a response this long is not read after a failed write
	}
	cc.waitingLocally.Store(true) // until the caller reads
	cc.streaming.Store(true)
	res.Stream = &Stream{reader: newBodyReader(cc, n), conn: cc, stop: stop, reusable: !resp.ConnectionClose()}
	res.Length = n
	return nil
}

// Match tells how a response relates to a request.
type Match uint8

const (
	// MatchesRequest is the response to the request.
	MatchesRequest Match = iota
	// MatchesEarlierRequest is a duplicate response to an earlier request; the response
	// to this request may follow.
	MatchesEarlierRequest
	// MatchesNone did not come from the peer; nothing that follows on the connection can
	// be trusted.
	MatchesNone
)

// maxStaleResponses is how many responses to earlier requests a call skips.
const maxStaleResponses = 2

// readHead reads the header of the response to req. It skips interim responses, which the
// request didn't ask for, and late responses to earlier requests: returning one would give
// a caller another caller's response, and shift every later response on the connection as
// well.
func (c *Client) readHead(cc *clientConn, req *protocol.Request, resp *protocol.Response) (responseHead, error) {
	resp.ResetBody()
	resp.SkipBody = req.Header.IsHead()
	for stale, left := 0, maxHeadBytes; ; {
		head, size, err := cc.readHead(resp, left)
		if err != nil {
			return head, err
		}
		left -= size
		if !head.isInterim() {
			if c.cfg.UsePeerIdleTimeout && cc.completed == 0 {
				cc.pool.setPeerIdleTimeout(keepAliveTimeout(resp.Header.Peek("Keep-Alive")))
			}
			if c.cfg.MatchResponse == nil {
				return head, nil
			}
			m := c.cfg.MatchResponse(&req.Header, &resp.Header)
			if m == MatchesRequest {
				return head, nil
			}
			if m == MatchesNone || stale == maxStaleResponses || head.length < 0 || head.length > c.cfg.BufferBytes {
				return head, status.New(status.CodeTargetFailed, "%s sent a response that does not match the request", cc.pool.addr)
			}
			if err := http1resp.ReadRespBody(resp, cc, 0); err != nil {
				return head, err
			}
			stale++
		}
		resp.Reset()
		resp.SkipBody = req.Header.IsHead()
	}
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, or 0 if
// it has none.
func keepAliveTimeout(field []byte) time.Duration {
	for part := range strings.SplitSeq(string(field), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && s > 0 && s <= maxKeepAliveSeconds {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// maxKeepAliveSeconds is the largest idle timeout accepted from a peer, in
// seconds.
const maxKeepAliveSeconds = 3600

// maxUnframed limits a response without a length, in bytes. Such a response is
// buffered completely, since only the end of the connection shows that it is
// complete.
const maxUnframed = 4 << 20

// readUnframed reads a response that ends when the connection closes. If the
// connection is reset, the response is incomplete. The request must have been written
// without an error.
func (c *Client) readUnframed(cc *clientConn, resp *protocol.Response) error {
	if !c.cfg.AllowUnframed {
		return status.New(status.CodeProtocol, "a response without a length can't be distinguished from a truncated one")
	}
	body, err := io.ReadAll(io.LimitReader(cc, maxUnframed+1))
	if err != nil {
		return err
	}
	if len(body) > maxUnframed {
		return status.New(status.CodeProtocol, "a response without a length exceeds %d bytes", maxUnframed)
	}
	resp.SetBody(body)
	resp.Header.SetContentLength(len(body))
	cc.pool.finish(cc, conn.CompleteAndClose)
	return nil
}

// earlyResponseWait is how long to wait for a response after the peer stopped
// accepting the request. The response is already in the receive buffer or never
// comes; the time covers scheduling delay only. A read whose deadline passes
// before it starts fails without looking at the buffer, and the outcome of a
// rejected upload would be unknown. With 10 ms this happened in 4 of 400 runs on a
// loaded machine, with 250 ms in none.
const earlyResponseWait = 250 * time.Millisecond

func (c *Client) readBuffered(cc *clientConn, resp *protocol.Response, stop func() bool, reusable bool) error {
	if err := http1resp.ReadRespBody(resp, cc, 0); err != nil {
		return err
	}
	if err := cc.Release(); err != nil {
		return err
	}
	// Bytes behind the response belong to no request.
	cc.returnToPool(stop, reusable && !resp.ConnectionClose() && cc.Len() == 0)
	return nil
}

// reachableHold is how long a new connection must stay open to count as
// established. The kernel closes the sockets of a dying process one by one,
// including its listener: a connection accepted in between is reset at once.
const reachableHold = 50 * time.Millisecond

// Reachable reports whether a new connection to addr can be established and stays
// open.
func (c *Client) Reachable(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, c.cfg.DialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(reachableHold))
	_, err = conn.Read(make([]byte, 1))
	nerr, ok := err.(net.Error)
	return err == nil || ok && nerr.Timeout()
}

// CloseIdle closes the idle connections to addr. Use it for a peer that has left, or
// one whose open connections have gone silent.
func (c *Client) CloseIdle(addr string) {
	c.mu.RLock()
	p := c.pools[addr]
	c.mu.RUnlock()
	if p != nil {
		p.closeIdle(false)
	}
}

// Close closes idle connections; those in use close when their call ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdle(true)
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
		p = newPool(c, addr)
		c.pools[addr] = p
	}
	return p
}

// timeLeft returns the time until ctx's deadline, or an hour if it has none.
func timeLeft(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return max(time.Until(d), time.Millisecond)
}

// contextError returns the typed error for a context that has ended.
func contextError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return status.Wrap(status.CodeDeadlineExceeded, ctx.Err(), "deadline exceeded")
	}
	return status.Wrap(status.CodeCanceled, ctx.Err(), "canceled by the caller")
}
