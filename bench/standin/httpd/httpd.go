// Package httpd runs a hertz HTTP server for a stand-in. The port is open when
// Start returns, every connection is tracked for fault injection, and no
// goroutine is left after Close.
//
// A Server's methods may be called from any goroutine; handlers run on the
// goroutines of their connections.
package httpd

import (
	"context"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"peardrift/internal/status"
)

const (
	startPoll    = time.Millisecond
	closeTimeout = 5 * time.Second
)

// hertz logs each broken connection, and stand-ins break connections on purpose.
// The log level is global and unsynchronised, so it can't be set once a server
// runs.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// Config sets up a Server.
type Config struct {
	// Listen is the address, "127.0.0.1:0" for a free port.
	Listen string
	// MaxConns bounds the open connections; those above it are reset. 0: no bound.
	MaxConns int
	// ConnectDelay delays the first read of each connection. 0: none.
	ConnectDelay time.Duration
}

// Server is one HTTP/1.1 listener. Its methods may be called from any goroutine.
type Server struct {
	Conns *TrackedListener
	h     *server.Hertz
	done  chan error
}

// Start listens and serves all requests with handler. The handler's context is
// cancelled when its client disconnects; request bodies are streamed.
func Start(cfg Config, handler app.HandlerFunc) (*Server, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, status.Wrap(status.CodeListen, err, "listen on %s", cfg.Listen)
	}
	listener := newTrackedListener(ln, cfg.MaxConns, cfg.ConnectDelay)
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithStreamBody(true),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(closeTimeout),
	)
	h.NoRoute(handler)
	s := &Server{Conns: listener, h: h, done: make(chan error, 1)}
	go func() { s.done <- h.Run() }()
	for !h.IsRunning() {
		select {
		case err := <-s.done:
			return nil, status.Wrap(status.CodeListen, err, "serve on %s", cfg.Listen)
		case <-time.After(startPoll):
		}
	}
	return s, nil
}

// Addr returns the listen address, with the port that was chosen for port 0.
func (s *Server) Addr() string { return s.Conns.Addr().String() }

// Close resets all connections and waits for the handlers to return.
func (s *Server) Close() error {
	// The listener stays open, as hertz closes it itself: Shutdown would not wait
	// if it were closed before. New connections are reset instead.
	s.Conns.resetNew.Store(true)
	s.Conns.Reset()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.h.Shutdown(ctx)
	<-s.done
	if err != nil {
		return status.Wrap(status.CodeInternal, err, "shut down %s", s.Addr())
	}
	return nil
}
