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
	// turnPort is where a run of tests that has its turn listens.
	turnPort = 7001
	turnStep = awaitStep
)

// Turn waits until no other test binary of the same "go test" runs a fleet, and
// returns what ends the turn; the end of the process ends it too.
//
// go test runs the binaries of many packages at once. Three fleets on 12 cores
// had 46 runnable threads: an apply ran into its time-out, nodes learned of each
// other after 20 s, and the verdict depended on what else was running.
func Turn() (end func(), err error) {
	for {
		ln, err := takeTurn(os.Getppid())
		switch {
		case err == nil:
			return func() { _ = ln.Close() }, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return nil, status.Wrap(CodeHarness, err, "no turn")
		}
		time.Sleep(turnStep)
	}
}

// takeTurn takes the turn of a go test, told by its process id, if it is free.
func takeTurn(run int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(loopback(run, 0).String(), strconv.Itoa(turnPort)))
}
