// Package limit determines how many requests a target can usefully run at once.
//
// The target declares its slots, which are the upper bound of the limit;
// whether all of them are real is measured. Once per window an Algorithm is
// given what went through the target (Window) and updates its limit.
//
// A longer time in the target does not by itself justify a cut: a slot that
// waits for a slow disk is as busy as before, and one slot fewer is one request
// fewer per service time. It justifies a cut only if requests queue inside the
// target, in which case a lower limit costs no throughput. Probe therefore
// tries a lower limit and keeps it only if the throughput holds.
//
// The gate in package admission owns one Algorithm and calls it from its own
// methods; nothing here is safe for concurrent use.
package limit
