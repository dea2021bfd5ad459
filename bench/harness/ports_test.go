package harness

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Symptom: a node ends with "address in use", or a target is missing for a
// whole run. Events: a fleet frees a port for the process that it starts; before
// that binds it, another fleet or an outgoing connection takes it. Cause: both
// on 127.0.0.1.
func TestFleetsShareNoAddress(t *testing.T) {
	is := is.New(t)
	const maxPid = 1<<pidBits - 1
	seen := make(map[string]bool)
	for _, pid := range []int{1, 2, 3, 4, 63, 64, 255, 256, 32767, 32768, maxPid - 1, maxPid} {
		for n := range uint32(fleetsApart) {
			ip := loopback(pid, n)
			is.True(!seen[ip.String()])
			seen[ip.String()] = true
			is.True(ip.IsLoopback())
			is.True(!ip.Equal(net.IPv4(127, 0, 0, 1)))       // where outgoing connections start
			is.True(!ip.Equal(net.IPv4(127, 255, 255, 255))) // the broadcast address
		}
	}
}

// Symptom: the same, between two fleets of one process.
func TestFreedPortIsNotHandedToAnotherFleet(t *testing.T) {
	is := is.New(t)
	a, b := newPorts(), newPorts()
	defer a.releaseAll()
	defer b.releaseAll()
	freed, err := a.take()
	is.NoErr(err)
	a.release(freed)
	host, _, err := net.SplitHostPort(freed)
	is.NoErr(err)
	other, err := b.take()
	is.NoErr(err)
	otherHost, _, err := net.SplitHostPort(other)
	is.NoErr(err)
	is.True(host != otherHost)
}

// Symptom: one package's fleet starts while another's runs. Cause: a turn that
// two hold at a time.
func TestOneTurnAtATime(t *testing.T) {
	is := is.New(t)
	run := os.Getpid()
	first, err := takeTurn(run)
	is.NoErr(err)
	_, err = takeTurn(run)
	is.True(errors.Is(err, syscall.EADDRINUSE)) // taken
	is.NoErr(first.Close())
	next, err := takeTurn(run)
	is.NoErr(err) // free again
	is.NoErr(next.Close())
}
