// Package harness runs fleets of real processes on the loopback address: the
// stand-in platform, and for each instance a stand-in target with its node.
//
// It is the only part of the project that starts processes. It ends each one by
// its process id, also when it is interrupted, and picks free ports.
//
// A Fleet is used from one goroutine, but for Close, which may be called from
// any and more than once.
package harness
