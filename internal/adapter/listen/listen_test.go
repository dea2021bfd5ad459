package listen

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// failingListener is a listener whose first Accept calls fail with EMFILE.
type failingListener struct {
	net.Listener
	failures int
	err      error // returned after the failures
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return nil, l.err
}

func (l *failingListener) Close() error { return nil }

// A server treats an error from Accept as the end of its listener. If a brief lack
// of descriptors reached it, the node would look ready but never respond again.
func TestAcceptRetriesDuringShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		other := errors.New("other")
		start := time.Now()
		_, err := RetryAccept(&failingListener{failures: 10, err: other}).Accept()
		is.Equal(err, other)                               // any other error is returned
		is.Equal(time.Since(start), 3275*time.Millisecond) // 5 ms, doubling to 1 s
	})
}

func TestCloseEndsRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ln := RetryAccept(&failingListener{failures: 1 << 30})
		done := make(chan error)
		go func() {
			_, err := ln.Accept()
			done <- err
		}()
		synctest.Wait()
		is.NoErr(ln.Close())
		is.Equal(<-done, net.ErrClosed)
		is.NoErr(ln.Close())
	})
}
