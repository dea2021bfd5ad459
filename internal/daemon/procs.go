package daemon

import (
	"os"
	"runtime"
)

const (
	// envProcs is by which operators set the number themselves.
	envProcs = "GOMAXPROCS"
	// maxProcs is on how many processors a node's own code runs at once. By
	// itself the runtime takes all of the machine's. A node has a few hundred
	// calls a second, so that most of them find it idle; with many processors
	// each then wakes further threads to look for work that isn't there, and
	// takes them from the target. docs/decisions/processors.md has the figures.
	maxProcs = 2
)

// tuneProcs bounds the processors, unless the environment says how many.
func tuneProcs() {
	if os.Getenv(envProcs) == "" && runtime.GOMAXPROCS(0) > maxProcs {
		runtime.GOMAXPROCS(maxProcs)
	}
}
