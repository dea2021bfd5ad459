package hertzhttp

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	listener "peardrift/internal/adapter/listen"
	"peardrift/internal/status"
)

// hertz logs through a process-wide logger, past the bound on log lines; what
// it would say reaches the log as typed failures instead. Its level can't be
// set later without a race.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// ServerConfig bounds a Server.
type ServerConfig struct {
	// IdleTimeout closes a connection with no request for that long (default
	// 60 s). It must stay above the clients' idle timeouts; see
	// ClientConfig.IdleTimeout.
	IdleTimeout time.Duration
	// ReadTimeout bounds the wait for the next bytes of a request (default
	// 30 s). Lower frees connections of stuck senders sooner; too low breaks
	// slow uploads.
	ReadTimeout time.Duration
	// MaxHeaderBytes bounds a request's head (default 32 KiB); above it the
	// request is answered 431 or 400 and its connection closed.
	MaxHeaderBytes int
	// NoDate leaves the field Date out of answers: between nodes nobody reads it.
	NoDate bool
	// Packed takes packed heads, and packs the answers to them.
	Packed bool
	// Conns bounds the open connections of all servers that share it; nil: no
	// bound.
	Conns *ConnLimit
}

// DefaultServerConfig returns the defaults.
func DefaultServerConfig() ServerConfig {
	return ServerConfig{IdleTimeout: time.Minute, ReadTimeout: 30 * time.Second, MaxHeaderBytes: 32 << 10}
}

// Handler serves one request on the connection's goroutine. ctx ends when the
// client goes away. Nothing of c may be kept after the handler returns, except
// a response body stream, which is closed when the answer has been written or
// has failed.
type Handler func(ctx context.Context, c *app.RequestContext)

// Server is one face: an HTTP/1.1 listener with one handler for all paths.
// Request bodies longer than hertz's prefetch (8 KiB) are streams.
type Server struct {
	h      *server.Hertz
	ln     net.Listener
	done   chan error
	active atomic.Int64
	watch  watcher
}

// Listen binds addr and returns a server that doesn't accept yet. Binding
// first lets a process find a busy port before it has announced anything.
func Listen(addr string, cfg ServerConfig, handle Handler) (*Server, error) {
	ln, err := listener.Open(addr)
	if err != nil {
		return nil, err
	}
	if cfg.Conns != nil {
		ln = &limitedListener{Listener: ln, limit: cfg.Conns}
	}
	s := &Server{ln: ln, done: make(chan error, 1)}
	s.h = server.New(options(ln, cfg)...)
	s.h.NoHijackConnPool = true
	s.h.NoRoute(func(ctx context.Context, c *app.RequestContext) { s.serve(ctx, c, handle) })
	return s, nil
}

func options(ln net.Listener, cfg ServerConfig) []config.Option {
	opts := []config.Option{
		server.WithTransport(standard.NewTransporter),
		server.WithListener(ln),
		server.WithIdleTimeout(cfg.IdleTimeout),
		server.WithReadTimeout(cfg.ReadTimeout),
		server.WithMaxHeaderBytes(cfg.MaxHeaderBytes),
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
		server.WithHandleMethodNotAllowed(false),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultContentType(true),
		server.WithDisableDefaultDate(cfg.NoDate),
	}
	if cfg.Packed {
		opts = append(opts, server.WithOnConnect(withPacker), config.Option{F: noServerName})
	}
	return opts
}

// noServerName keeps the codec from naming itself in each answer, where only nodes
// read them.
func noServerName(o *config.Options) { o.NoDefaultServerHeader = true }

// Addr returns the bound address.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Active returns the number of requests in the handler, or whose streamed answer
// is not yet written.
func (s *Server) Active() int { return int(s.active.Load()) }

// Start accepts connections until Shutdown.
func (s *Server) Start() {
	go func() { s.done <- s.h.Run() }()
}

// Shutdown stops accepting and waits for requests until ctx ends. Idle
// connections are not waited for.
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
	s.active.Add(1)
	ctx, w := s.watch.begin(ctx, c)
	streams := false
	done := func() {
		w.end()
		s.active.Add(-1)
	}
	defer func() {
		if !streams {
			done()
		}
	}()
	packed, err := unpackRequest(ctx, c)
	if err != nil {
		refusePacked(c, err)
		return
	}
	handle(ctx, c)
	if packed {
		packAnswer(ctx, c)
	}
	// A streamed answer is written after this: a shutdown that didn't wait for
	// it would cut it.
	streams = guardAnswer(c, done)
}

// Close stops listening without waiting; a server that was never started too.
func (s *Server) Close() { _ = s.ln.Close() }
