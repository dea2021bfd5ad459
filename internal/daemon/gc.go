package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// envGC is by which operators set the percentage themselves.
	envGC = "GOGC"
	// gcPercent is by how much the heap grows between two collections. A node's
	// heap is small, so at the runtime's own 100 a busy one collects several
	// times a second, and calls that are under way then wait for a processor or
	// help to collect. docs/decisions/garbage-collection.md has the figures.
	gcPercent = 400
)

// tuneGC lets the heap grow more between collections, unless the environment
// says by how much.
func tuneGC() {
	if os.Getenv(envGC) == "" {
		debug.SetGCPercent(gcPercent)
	}
}
