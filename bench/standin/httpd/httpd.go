// Package httpd runs one hertz listener for a stand-in: it opens the port
// before Start returns, keeps hold of every connection so that faults can be
// played on them, and leaves no goroutine behind after Close.
//
// A Server's methods may be called from any goroutine, handlers run on their
// connections' goroutines.
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

// hertz logs each broken connection, which is what a stand-in is for. The level
// is global and unguarded, so it can't be set once a server runs.
func init() { hlog.SetLevel(hlog.LevelFatal) }

// Config sets up a Server.
type Config struct {
	// Listen is the address, "127.0.0.1:0" for a free port.
	Listen string
	// MaxConns bounds the open connections; further ones are reset. 0: no bound.
	MaxConns int
	// ConnectCost delays the first read of each connection. 0: none.
	ConnectCost time.Duration
}

// Server is one HTTP/1.1 listener. Its methods may be called from any goroutine.
type Server struct {
	Conns *Conns
	h     *server.Hertz
	done  chan error
}

// Start listens and serves all requests with handler. The handler's context
// ends when its client disconnects; request bodies are streamed.
func Start(cfg Config, handler app.HandlerFunc) (*Server, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, status.Wrap(status.CodeListen, err, "listen on %s", cfg.Listen)
	}
	conns := newConns(ln, cfg.MaxConns, cfg.ConnectCost)
	h := server.New(
		server.WithListener(conns),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithStreamBody(true),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(closeTimeout),
	)
	h.NoRoute(handler)
	s := &Server{Conns: conns, h: h, done: make(chan error, 1)}
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

// Addr returns the address in use, with the port that was picked.
func (s *Server) Addr() string { return s.Conns.Addr().String() }

// Close breaks all connections and waits for the handlers to end.
func (s *Server) Close() error {
	// hertz closes the listener itself: a shutdown after that would not wait.
	s.Conns.refuse.Store(true)
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
