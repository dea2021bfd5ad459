// Package listen opens listeners that outlast a shortage of file descriptors.
//
// Callers accept from one goroutine each, as with any net.Listener; Close may be
// called from another one.
package listen

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"peardrift/internal/status"
)

// Pauses between two tries to accept while there is a shortage.
const (
	firstPause = 5 * time.Millisecond
	lastPause  = time.Second
)

// Open listens on a TCP address; it fails with status.CodeListen.
func Open(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, status.Wrap(status.CodeListen, err, "cannot listen on %s", addr)
	}
	return Patient(ln), nil
}

// Patient returns ln with an Accept that waits while the process or the machine
// is short of what a connection takes.
//
// A server takes a failed Accept for the end of its listener. After one moment
// without a free descriptor the node would then look ready for good, and answer
// nobody: connections wait in the kernel until they time out. The shortage passes
// as soon as connections close.
func Patient(ln net.Listener) net.Listener {
	return &patient{Listener: ln, closed: make(chan struct{})}
}

type patient struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (p *patient) Accept() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		c, err := p.Listener.Accept()
		if !shortage(err) {
			return c, err
		}
		select {
		case <-p.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// Close implements net.Listener; it may be called more than once.
func (p *patient) Close() error {
	p.once.Do(func() { close(p.closed) })
	return p.Listener.Close()
}

func shortage(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
