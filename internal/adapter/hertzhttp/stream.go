package hertzhttp

import (
	"io"
	"sync/atomic"

	"peardrift/internal/core/conn"
)

// Stream is a response body that is still being read from its connection. Read it
// from one goroutine. Closing it more than once is harmless.
type Stream struct {
	reader   bodyReader
	conn     *clientConn
	stop     func() bool
	reusable bool
	complete bool
	failed   bool
	closed   atomic.Bool
	onClose  []func()
}

// OnClose registers f to run when the stream is closed. It must not be called
// concurrently with Close.
func (s *Stream) OnClose(f func()) { s.onClose = append(s.onClose, f) }

// Read implements io.Reader. It returns io.EOF only after the complete response.
func (s *Stream) Read(p []byte) (int, error) {
	s.conn.waitingLocally.Store(false)
	n, err := s.reader.Read(p)
	s.conn.waitingLocally.Store(true)
	s.complete = s.complete || err == io.EOF
	s.failed = s.failed || err != nil && err != io.EOF
	return n, err
}

// Failed reports whether reading failed before the end of the response.
func (s *Stream) Failed() bool { return s.failed }

// Complete reports whether the response was read to its end.
func (s *Stream) Complete() bool { return s.complete }

// Close returns the connection to the pool after a complete response. Otherwise it
// closes the connection: the unread rest would be taken for the next call's
// response.
func (s *Stream) Close() error {
	if s.closed.Swap(true) {
		return nil
	}
	s.finish()
	for _, f := range s.onClose {
		f()
	}
	return nil
}

func (s *Stream) finish() {
	excess := s.reader.release() || s.conn.Len() > 0
	if !s.complete {
		s.stop()
		s.conn.pool.finish(s.conn, conn.Aborted)
		return
	}
	s.conn.returnToPool(s.stop, s.reusable && !excess)
}
