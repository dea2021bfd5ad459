package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// envGC is the environment variable with which operators set the percentage.
	envGC = "GOGC"
	// boundedGCPercent is gcPercent's counterpart for processes with a memory limit,
	// where memory is scarce.
	boundedGCPercent = 100
	// gcPercent is the heap growth between two collections, in percent. A node's heap
	// is small: at the runtime's default of 100 a busy node collects several times per
	// second, and calls in flight then wait for a processor or assist the collector.
	// docs/decisions/garbage-collection.md has the figures.
	gcPercent = 400
)

// memoryLimitFraction is the fraction of the process's memory limit that is set as the
// runtime's soft memory limit. The rest is for memory outside the heap: system stacks, and
// bytes received but not yet read.
const memoryLimitFraction = 0.6

// tuneGC sets the garbage collector's parameters for a memory limit in bytes; 0: unknown.
// With a limit it sets the soft memory limit; without one it lets the heap grow more
// between collections, unless GOGC is set.
func tuneGC(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(memory)))
		debug.SetGCPercent(boundedGCPercent)
		return
	}
	if os.Getenv(envGC) == "" {
		debug.SetGCPercent(gcPercent)
	}
}
