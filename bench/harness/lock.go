package harness

import (
	"errors"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"peardrift/internal/status"
)

const (
	// runLockPort is the port that the holder of the run lock listens on.
	runLockPort         = 7001
	runLockPollInterval = pollInterval
)

// AcquireRunLock acquires a lock shared by all test binaries of the same "go test", so that
// only one of them runs a fleet at a time. It blocks until the lock is free and
// returns a function that releases it; process exit releases it too.
//
// go test runs the binaries of several packages concurrently. Three fleets on 12
// cores had 46 runnable threads: an apply timed out, nodes discovered each other
// after 20 s, and test results depended on what else was running.
func AcquireRunLock() (release func(), err error) {
	for {
		ln, err := tryRunLock(os.Getppid())
		switch {
		case err == nil:
			return func() { _ = ln.Close() }, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return nil, status.Wrap(CodeHarness, err, "acquire the run lock")
		}
		time.Sleep(runLockPollInterval)
	}
}

// tryRunLock acquires the run lock of the go test process with the given id by
// binding its port. It fails with EADDRINUSE if the lock is held.
func tryRunLock(testRunPID int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(loopback(testRunPID, 0).String(), strconv.Itoa(runLockPort)))
}
