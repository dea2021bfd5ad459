// Package overload runs scenarios of the replay on real processes: with the same
// trace, slots and service times, through nodes and directly against targets without
// nodes. It compares the outcomes that callers saw with what the targets ran, and the
// measurements with the predictions of the replay.
//
// Deployments are scaled down and slowed (Size) until the targets' slots, not the
// machine's processors, are the bottleneck.
package overload
