package hertzhttp

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	listener "peardrift/internal/adapter/listen"
	"peardrift/internal/status"
)

// hertz logs through a process-wide logger that bypasses the limit on log lines;
// its errors are logged as typed errors instead. Setting the level later would be
// a data race.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// ServerConfig configures a Server.
type ServerConfig struct {
	// IdleTimeout closes a connection without a request for this long (default 60
	// s). It must stay above the clients' idle timeouts; see
	// ClientConfig.IdleTimeout.
	IdleTimeout time.Duration
	// HeaderTimeout limits the time from the first byte of a request to the end of its
	// headers (default 30 s); a later request is answered with 408. A lower value frees
	// connections of slow senders sooner.
	HeaderTimeout time.Duration
	// ReadTimeout limits the time for a body whose handler sets no read deadline, and the
	// time for the rest of a body after the response to it (default 30 s). A lower value
	// frees connections of stalled senders sooner; if it is too low, slow uploads fail.
	ReadTimeout time.Duration
	// MaxHeaderBytes limits the size of a request's headers, and separately of its request
	// line (default 32 KiB); a larger request is answered with 431 and its connection is
	// closed.
	MaxHeaderBytes int
	// BufferBytes is how much of a body the handler buffers (default 64 KiB); as much is
	// counted towards Conns.MemoryBytes.
	BufferBytes int
	// MaxBodyBytes limits a body whose handler doesn't limit it (default 0: no limit).
	// Reading a larger body fails.
	MaxBodyBytes int
	// NoDate omits the Date header from responses; nodes don't use it.
	NoDate bool
	// CompressHeaders accepts compressed headers and compresses the headers of the
	// responses to them.
	CompressHeaders bool
	// Conns limits the open connections of all servers that share it; nil means no
	// limit.
	Conns *ConnLimit
}

// DefaultServerConfig returns the default settings.
func DefaultServerConfig() ServerConfig {
	return ServerConfig{
		IdleTimeout: time.Minute, HeaderTimeout: 30 * time.Second, ReadTimeout: 30 * time.Second, MaxHeaderBytes: 32 << 10,
		BufferBytes: 64 << 10,
	}
}

// Handler serves one request on the connection's goroutine. ctx ends when the
// client disconnects. The handler must not retain any part of c, except a response
// body stream, which is closed when the response has been written or has failed.
type Handler func(ctx context.Context, c *app.RequestContext)

// Server is an HTTP/1.1 listener with one handler for all paths. Request bodies
// longer than hertz's prefetch (8 KiB) are streams.
type Server struct {
	h      *server.Hertz
	ln     net.Listener
	done   chan error
	active atomic.Int64
	watch  disconnectWatcher
	limits clientLimits
	conns  *ConnLimit
	bodies bodyConfig
}

// Listen binds addr and returns a server that doesn't accept yet. Binding first
// lets a process detect a port in use before it announces itself.
func Listen(addr string, cfg ServerConfig, handle Handler) (*Server, error) {
	ln, err := listener.Open(addr)
	if err != nil {
		return nil, err
	}
	conns := cfg.Conns
	if conns == nil {
		conns = NewConnLimit(math.MaxInt)
	}
	s := &Server{done: make(chan error, 1), conns: conns}
	s.bodies = bodyConfig{skipTime: cfg.ReadTimeout, buffered: cfg.BufferBytes, most: cfg.MaxBodyBytes}
	s.limits.bodyTimeout = cfg.ReadTimeout
	s.SetLimits(Limits{HeaderBytes: cfg.MaxHeaderBytes, HeaderTimeout: cfg.HeaderTimeout, IdleTimeout: cfg.IdleTimeout})
	s.ln = &limitedListener{Listener: ln, limit: conns, active: &s.active}
	s.h = server.New(options(s.ln, cfg, &s.limits)...)
	s.h.NoHijackConnPool = true
	s.h.AddProtocol(suite.HTTP1, newProtocolFactory(s.h, cfg))
	s.h.NoRoute(func(ctx context.Context, c *app.RequestContext) { s.serve(ctx, c, handle) })
	return s, nil
}

func options(ln net.Listener, cfg ServerConfig, limits *clientLimits) []config.Option {
	opts := []config.Option{ // see also newProtocolFactory
		server.WithTransport(newTransporter(limits)),
		server.WithListener(ln),
		server.WithOnAccept(withServerConn),
		server.WithRedirectTrailingSlash(false),
		server.WithHandleMethodNotAllowed(false),
		server.WithDisablePrintRoute(true),
		server.WithMaxKeepBodySize(freeBytes), // each connection keeps as much of both bodies
	}
	if cfg.CompressHeaders {
		opts = append(opts, server.WithOnConnect(withPacker))
	}
	return opts
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Active returns the number of requests that are in the handler or whose response is not
// yet written, and of connections whose clients have yet to receive their last response.
func (s *Server) Active() int { return int(s.active.Load()) }

// Start accepts connections until Shutdown.
func (s *Server) Start() {
	go func() { s.done <- s.h.Run() }()
}

// Shutdown stops accepting and waits for active requests until ctx ends. It
// doesn't wait for idle connections.
func (s *Server) Shutdown(ctx context.Context) error {
	_ = s.ln.Close()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for s.Active() > 0 {
		select {
		case <-ctx.Done():
			return status.Wrap(status.CodeDeadlineExceeded, ctx.Err(), "%d requests still running", s.Active())
		case <-tick.C:
		}
	}
	quick, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_ = s.h.Shutdown(quick)
	return nil
}

func (s *Server) serve(ctx context.Context, c *app.RequestContext, handle Handler) {
	conn := serverConnOf(ctx)
	conn.beginRequest()
	valid := checkFraming(c)
	body := guardIncomingBody(ctx, c, &s.bodies)
	ctx, w := s.watch.begin(ctx, c)
	streams, last := false, false
	unwatch := func() bool { return true }
	done := func() {
		unwatch()
		w.end()
		conn.endHandler(last)
	}
	defer func() {
		conn.request.trimHeader(c)
		if !valid || body != nil && body.failed {
			c.SetConnectionClose() // the start of the next request is unknown
		}
		last = s.isLast(c) // hertz decides it now, not when a stream ends
		if !streams {
			done()
		}
	}()
	packed, err := unpackRequest(ctx, c)
	if err != nil {
		rejectPacked(c, err)
		return
	}
	handle(ctx, c)
	if packed {
		packResponse(ctx, c)
	}
	// A streamed response is written after this function returns; a shutdown must
	// wait for it too, or it would be truncated.
	if streams = guardResponseBody(c, done); streams {
		unwatch = AfterFunc(ctx, func() { conn.cutResponse(ctx) })
	}
}

// isLast reports whether hertz closes the connection after the response.
func (s *Server) isLast(c *app.RequestContext) bool {
	return c.Response.ConnectionClose() || c.Request.Header.ConnectionClose() || !s.h.IsRunning()
}

// Close stops listening without waiting. It also works on a server that was never
// started.
func (s *Server) Close() { _ = s.ln.Close() }
