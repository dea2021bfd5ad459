// Package porttest provides in-memory fakes of the platform for tests: a table and an
// object store that implement the contracts of package port and can fail in every way that
// the contracts allow.
//
// The fakes are safe for concurrent use. A Script chooses the fault of each call under the
// fake's lock, so a test with one goroutine and a seeded script is deterministic.
package porttest

// Fault is the fault injected into one call.
type Fault uint8

// The faults.
const (
	// None serves the call.
	None Fault = iota
	// Unavailable fails the call without any effect.
	Unavailable
	// LostResponse applies the write and loses its response.
	LostResponse
	// LostRequest drops the write; its writer can't tell.
	LostRequest
	// Delayed loses the response and delays the write until the next call of the fake or
	// of Flush.
	Delayed
)

// Op is the method of a call.
type Op string

// The methods of both fakes.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpPutAll Op = "put-all"
)

// Script chooses the fault of one call by its method and its first key. For reads every
// fault but None acts as Unavailable. A nil Script injects no faults.
type Script func(op Op, key string) Fault
