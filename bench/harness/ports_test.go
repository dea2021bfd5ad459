package harness

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a node failing with "address in use", or a target missing for a
// whole run: if fleets share 127.0.0.1, another fleet or an outgoing connection
// can take a released port before the process being started binds it.
func TestFleetsHaveDistinctAddresses(t *testing.T) {
	is := is.New(t)
	const maxPid = 1<<pidBits - 1
	seen := make(map[string]bool)
	for _, pid := range []int{1, 2, 3, 4, 63, 64, 255, 256, 32767, 32768, maxPid - 1, maxPid} {
		for n := range uint32(fleetsPerProcess) {
			ip := loopback(pid, n)
			is.True(!seen[ip.String()])
			seen[ip.String()] = true
			is.True(ip.IsLoopback())
			is.True(!ip.Equal(net.IPv4(127, 0, 0, 1)))       // source address of outgoing connections
			is.True(!ip.Equal(net.IPv4(127, 255, 255, 255))) // the broadcast address
		}
	}
}

// Guards against the same conflict between two fleets of one process.
func TestReleasedPortIsNotReusedByAnotherFleet(t *testing.T) {
	is := is.New(t)
	a, b := newPorts(), newPorts()
	defer a.releaseAll()
	defer b.releaseAll()
	freed, err := a.reserve()
	is.NoErr(err)
	a.release(freed)
	host, _, err := net.SplitHostPort(freed)
	is.NoErr(err)
	other, err := b.reserve()
	is.NoErr(err)
	otherHost, _, err := net.SplitHostPort(other)
	is.NoErr(err)
	is.True(host != otherHost)
}

// Guards against two test binaries holding the run lock at the same time, which
// lets their fleets run concurrently.
func TestRunLockIsExclusive(t *testing.T) {
	is := is.New(t)
	testRunPID := os.Getpid()
	first, err := tryRunLock(testRunPID)
	is.NoErr(err)
	_, err = tryRunLock(testRunPID)
	is.True(errors.Is(err, syscall.EADDRINUSE)) // held
	is.NoErr(first.Close())
	next, err := tryRunLock(testRunPID)
	is.NoErr(err) // released
	is.NoErr(next.Close())
}
