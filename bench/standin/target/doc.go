// Package target is a stand-in for one target instance of a service: it runs
// work in slots, makes calls to further services through its node, and can be
// made to misbehave in each way that the brief names.
//
// It announces itself by nothing; its node's settings name it. Work is any path
// that matches a route. Beside it there are GET /healthz, GET /load and the
// test bench's own POST /control/{drain,slow,silence} and GET /control/counters.
//
// A Server is safe for concurrent use. Close ends all its work and goroutines.
package target
