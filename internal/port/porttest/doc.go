// Package porttest holds in-memory fakes of the platform for tests: a table and
// an object store that keep the contracts of package port and can be made to
// fail in each way that the contracts allow.
//
// They are safe for concurrent use. A Script decides about each call under the
// fake's lock, so a test with one goroutine and a seeded script is deterministic.
package porttest

// Fault is what happens to one call.
type Fault uint8

// The faults.
const (
	// None: the call is served.
	None Fault = iota
	// Unavailable: the platform can't be reached; nothing happens.
	Unavailable
	// LostAnswer: the write takes effect, its answer is lost.
	LostAnswer
	// LostRequest: the write has no effect, but its writer can't know.
	LostRequest
	// Late: the writer learns nothing, and the write is tried when the fake is
	// next called or Flush is called.
	Late
)

// Op names the method of a call.
type Op string

// The methods of both fakes.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpPutAll Op = "put-all"
)

// Script decides about one call by its method and its (first) key. For reads
// every fault but None means Unavailable. A nil Script lets all pass.
type Script func(op Op, key string) Fault
