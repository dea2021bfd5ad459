// Package limit finds how many requests may usefully run at once in a target.
//
// The target declares its slots, which bound the limit from above; whether all
// of them are real is measured. An Algorithm is told once per window what went
// through the target (Window) and answers with a limit.
//
// A longer time in the target is no reason to cut by itself: a slot that waits
// for a slow disk is as busy as before, and one slot fewer is one request fewer
// per service time. It is a reason only if requests queue inside the target, and
// then a lower limit costs no throughput. Probe therefore tries a lower limit
// and keeps it only if the throughput held.
//
// The gate in package admission owns one Algorithm and calls it from its own
// methods; nothing here is safe for concurrent use.
package limit
