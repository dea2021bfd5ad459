// Package route picks the target of a service that gets the next call.
//
// A Table holds one callee service as one caller sees it: a bounded subset of
// the service's targets, what the caller measured of each, and what each
// reported of its load. Pick compares two random targets of the caller's zone
// and takes the cheaper one. Other zones are looked at only if that one is
// loaded above Floor, and taken where they are cheaper by more than ZoneFactor, or
// less loaded by ZoneGap.
//
// What a pick rests on, strongest first:
//
//   - Connections. A target whose connections break is avoided at once and
//     tried again with backoff by one call, or one bare connection
//     (NextProbe), at a time. A target that leaves gets nothing.
//   - Results. Failures make a target dear however fast they come, and eject it
//     for a while; at most MaxEjected of the subset, for if more fail it is the
//     service that fails and avoiding targets would overload the rest. Where
//     all that are left are ejected they are used, until another one comes.
//   - Measurements: time to answer of whole answers, calls in flight from here,
//     refusals.
//   - Reported load, as far as it agrees with the measurements. A report that
//     disagrees loses weight with each answer that shows it.
//
// Who calls what: Update with each new snapshot of targets, Pick, then Started
// before the call is sent and Done exactly once when it ended. An index stays
// valid from Pick to Done also across an Update.
//
// Connections stay bounded by the subset: a caller uses at most Config.Subset
// targets of a service, fewer where callers times subset would fill more than
// ConnShare of the targets' connections (see SubsetSize).
//
// A Table isn't safe for concurrent use: one mutex per service.
package route
