// Package suspect identifies requests that crash the targets that run them, and bounds
// how many targets such a request crashes.
//
// A node outlives its target and knows which requests were in flight when it crashed. It
// reports their fingerprints, with an ID of the crash, to the other nodes of the service.
// Each fingerprint is then a suspect:
//
//   - One in flight at one crash runs without restriction, as almost all of them are
//     innocent. One complete answer clears it.
//   - One in flight at IsolateAfter crashes (2) runs in isolation: a target runs at most
//     one of them at a time, so that the next crash identifies the culprit.
//   - One in flight at MaxCrashes crashes (3), or at two crashes with nothing else in
//     flight, is refused with status.CodeSuspect, unless another one was in flight at all
//     of these crashes too: the two are indistinguishable until one has run in isolation.
//     The crashes of a refused fingerprint are explained and no longer count against the
//     others that were in flight.
//
// The bound: if reports reach the service's nodes within D, attempts that start later
// than D after the third crash run in isolation, and no target is crashed by an attempt
// that starts later than D after the first crash of an isolated attempt. If no other
// request was in flight at all crashes, none is crashed by an attempt that starts later
// than D after the third crash. Many simultaneous copies therefore crash three targets,
// those that run a copy when the third report arrives, and, if a popular request was in
// flight at each crash, those that run a copy when one is tried in isolation: at most
// 3 + 2 x targets, if targets restart more slowly than reports travel. A caller that
// resends only after it saw the failure, and after D, crashes three targets over all
// nodes. The bound holds as long as the fingerprint is seen again within RefusedTTL.
//
// Reports are idempotent and commutative: a crash counts once for a fingerprint for any
// number and order of reports, also if several nodes each saw a part of what was in
// flight.
//
// The target's node calls Check before it runs a request, then Started and, when it
// ended, Ended. It calls Crashed on an unplanned crash of its target (never for a planned
// stop) and sends the report to the others, Up when the target accepts connections again,
// Merge for reports of other nodes, and Reports to inform a node that joins.
//
// Not safe for concurrent use.
package suspect
