package rpc

import (
	"errors"
	"net"
	"net/rpc"
	"sync"

	"peardrift/internal/status"
)

// Server serves control calls of other processes.
type Server struct {
	cfg   Config
	meter *Meter
	rpc   *rpc.Server

	mu     sync.Mutex
	closed bool
	ln     net.Listener
	conns  map[net.Conn]struct{}
	wg     sync.WaitGroup
}

// NewServer returns a server without services.
func NewServer(cfg Config, meter *Meter) *Server {
	return &Server{cfg: cfg, meter: meter, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Register adds a service under name: the methods of rcvr that net/rpc accepts.
// Call it before Serve.
func (s *Server) Register(name string, rcvr any) error {
	if err := s.rpc.RegisterName(name, rcvr); err != nil {
		return status.Wrap(status.CodeInternal, err, "register control service %s", name)
	}
	return nil
}

// Serve accepts connections until Close is called, then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	for {
		conn, err := ln.Accept()
		if err != nil {
			if s.isClosed() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return status.Wrap(status.CodeListen, err, "accept control connections")
		}
		s.serve(newMeteredConn(conn, s.meter))
	}
}

func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.cfg.MaxConns {
		_ = conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.rpc.ServeCodec(newCodec(conn, s.cfg, s.cfg.IdleTimeout))
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close stops accepting, closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}
