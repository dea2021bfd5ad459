// Package harness runs fleets of real processes on loopback addresses: the
// platform stand-in and, for each instance, a stand-in target with its node.
//
// It is the only part of the project that starts processes. It kills each of
// them by process id, also when it is interrupted, and chooses free ports.
//
// A Fleet must be used from one goroutine, except for Close, which is idempotent
// and may be called from any goroutine.
package harness
