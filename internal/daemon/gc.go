package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// envGC is by which operators set the percentage themselves.
	envGC = "GOGC"
	// smallGCPercent is the same where memory is bounded, and so has its price.
	smallGCPercent = 100
	// gcPercent is by how much the heap grows between two collections. A node's
	// heap is small, so at the runtime's own 100 a busy one collects several
	// times a second, and calls that are under way then wait for a processor or
	// help to collect. docs/decisions/garbage-collection.md has the figures.
	gcPercent = 400
)

// memoryShare is the part of the process's memory from which on the collector
// works harder. The rest is for what isn't on the heap: stacks of the system,
// bytes received and not yet read.
const memoryShare = 0.6

// tuneGC lets the heap grow more between collections, unless the environment
// says by how much, and less as it nears the memory that the process may use; 0:
// not known.
func tuneGC(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(memory)))
		debug.SetGCPercent(smallGCPercent)
		return
	}
	if os.Getenv(envGC) == "" {
		debug.SetGCPercent(gcPercent)
	}
}
