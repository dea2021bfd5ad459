// Package suspect finds the request that crashes each target that runs it, and
// bounds how many targets it takes.
//
// A node outlives its target and knows what was in flight when it died. It
// reports the fingerprints of these requests, under an id of the crash, to the
// service's other nodes. Each of them is then suspected once:
//
//   - A fingerprint in flight at one crash runs as before; almost all are
//     innocent. One whole answer clears it.
//   - One in flight at IsolateAfter crashes (2) is run alone: a target runs at
//     most one such at a time, so that the next crash tells them apart.
//   - One in flight at MaxCrashes crashes (3), or at two crashes with nothing
//     beside it, is refused; but not if another was in flight at all of these too:
//     nothing tells the two apart until one has run alone. Refused is with
//     status.CodeSuspect. The crashes it was in are then explained, and no longer
//     count against those that were beside it.
//
// The bound: with reports that reach the service's nodes within D, attempts that
// begin later than D after the third crash run alone, and no target is taken by an
// attempt that begins later than D after the first crash of these; without one
// that was beside it each time, later than D after the third. So many copies at the
// same moment take three targets, what they were in flight at when the third report
// came, and if a popular request was beside each, what they are in flight at when
// one is tried alone: at most 3 + 2 x targets, where targets restart more slowly
// than reports travel. A caller that sends again only after
// it saw the failure, and after D, takes three in all, over all nodes. It holds as
// long as the fingerprint is seen again within Remember.
//
// Reports are idempotent and commute: a crash counts once for a fingerprint
// however often and in whatever order reports of it arrive, also if several
// nodes each saw a part of what was in flight.
//
// Who calls what: the target's node calls Check before it runs a request, then
// Started and, when it ended, Ended; Crashed when its target died unplanned
// (never for a planned stop), and sends the report on; Up when the target takes
// connections again; Merge for reports of others; Known to tell a node that has
// just joined.
//
// Not safe for concurrent use.
package suspect
