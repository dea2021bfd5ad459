// Package route picks the target of a service for the next call.
//
// A Table holds one callee service as seen by one caller: a bounded subset of the
// service's targets, the caller's measurements of each, and the load each one reported.
// Pick compares two random targets of the caller's zone and takes the cheaper one. It
// considers other zones only if that one is loaded above MinHotLoad, and chooses them if
// they are cheaper by more than ZoneFactor or less loaded by ZoneGap. If ZoneGap is set and
// the targets of the own zone report that they are nearly full, calls leave the zone with a
// probability in proportion to the difference of the work ahead of them.
//
// PickFor also knows the class of the call and its objective. It leaves out targets at which
// the call would probably miss the objective, by the times of the class that the targets'
// nodes state, as long as it finds others.
//
// A choice depends on, in order of precedence:
//
//   - Connections. A target whose connections fail is avoided at once and tried again
//     with backoff, by one call or one connection without a request (NextProbe) at a
//     time. A draining target gets no calls.
//   - Results. Failures raise the cost of a target regardless of their latency, and eject
//     it for a while. At most MaxEjected of the subset is ejected: if more targets fail,
//     the service itself is failing, and avoiding targets would overload the rest. If
//     all remaining targets are ejected they are used until another one is available.
//   - Measurements: latency of complete answers, calls in flight from this caller,
//     refusals.
//   - Reported load, as far as it agrees with the measurements. A report that disagrees
//     loses weight with each answer that contradicts it.
//
// Call Update with each new snapshot of targets, then Pick, Started before the call is
// sent and Done exactly once when it ended. An index stays valid from Pick to Done, also
// across an Update.
//
// The subset bounds connections: a caller uses at most Config.Subset targets of a
// service, fewer if callers times subset would use more than ConnShare of the targets'
// connections (see SubsetSize).
//
// A Table isn't safe for concurrent use; guard it by one mutex per service.
package route
