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

// short is a listener whose first tries fail for want of descriptors.
type short struct {
	net.Listener
	fails int
	err   error // of the tries after that
}

func (s *short) Accept() (net.Conn, error) {
	if s.fails > 0 {
		s.fails--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return nil, s.err
}

func (s *short) Close() error { return nil }

// Symptom: a node looks ready and answers nobody. Events: it has no descriptor
// left for a moment; connections close. Cause: its server took the failed accept
// for the end of the listener.
func TestAcceptOutlastsAShortage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		other := errors.New("other")
		began := time.Now()
		_, err := Patient(&short{fails: 10, err: other}).Accept()
		is.Equal(err, other)                               // any other failure is told
		is.Equal(time.Since(began), 3275*time.Millisecond) // 5 ms, doubling to 1 s
	})
}

func TestCloseEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ln := Patient(&short{fails: 1 << 30})
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
