package daemon

import (
	"os"
	"runtime"
)

const (
	// envProcs is the environment variable with which operators set the number.
	envProcs = "GOMAXPROCS"
	// maxProcs is the maximum number of processors that run a node's Go code at once;
	// the runtime's default is all of the machine's. At a few hundred calls per second
	// most calls find the node idle; with many processors each call then wakes further
	// threads that spin in search of work and take processors from the target.
	// docs/decisions/processors.md has the figures.
	maxProcs = 2
)

// tuneProcs bounds GOMAXPROCS by maxProcs unless the environment sets it.
func tuneProcs() {
	if os.Getenv(envProcs) == "" && runtime.GOMAXPROCS(0) > maxProcs {
		runtime.GOMAXPROCS(maxProcs)
	}
}
