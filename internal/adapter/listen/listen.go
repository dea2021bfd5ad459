// Package listen opens TCP listeners that keep accepting after a temporary
// shortage of file descriptors.
//
// As with any net.Listener, one goroutine calls Accept; Close may be called from
// another one.
package listen

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"peardrift/internal/status"
)

// Delays between two attempts to accept during a shortage.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Open listens on a TCP address. It fails with status.CodeListen.
func Open(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, status.Wrap(status.CodeListen, err, "cannot listen on %s", addr)
	}
	return RetryAccept(ln), nil
}

// RetryAccept returns ln with an Accept that retries while the process or the machine
// lacks the resources for a connection.
//
// A server treats an error from Accept as the end of its listener. After a brief
// lack of file descriptors the node would look ready but never respond again:
// connections would wait in the kernel until they time out. The shortage ends as
// soon as connections close.
func RetryAccept(ln net.Listener) net.Listener {
	return &retryListener{Listener: ln, closed: make(chan struct{})}
}

type retryListener struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *retryListener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		c, err := l.Listener.Accept()
		if !isResourceShortage(err) {
			return c, err
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(delay):
		}
	}
}

// Close implements net.Listener; it may be called more than once.
func (l *retryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func isResourceShortage(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
