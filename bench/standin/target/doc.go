// Package target is a stand-in for one target instance of a service. It executes
// requests in a fixed number of slots, calls other services through its node, and
// can inject faults: crashes, slow runs, silent connections, stale or false health
// and load reports, ignored deadlines and cancellations.
//
// A target does not register anywhere; its node's settings contain its address.
// Any path that matches a route executes a run. Further endpoints are GET /healthz,
// GET /load and, for tests, POST /control/{drain,slow,silence} and
// GET /control/counters.
//
// A Server is safe for concurrent use. Close stops all its runs and goroutines.
package target
