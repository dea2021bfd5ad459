// Package earlyrefusal lets a caller refuse requests that the callee, or a service
// further down the call chain, would refuse, before any work is done for them.
//
// Each response of a callee's node carries two admission levels: the target's
// own and that of the chain below it for the request's class. Priorities are
// the same at all hops, so a request below a level will be refused there;
// refusing it at the caller costs nothing and has the same result. A response also
// carries the importances that the target exempts from its own level.
//
// A Table holds the levels that one node learned, by callee service and class.
// The level of a service is a capacity-weighted quantile over its targets, so
// that one outlier can neither close nor open the service. Each target counts
// with its lowest recent level, so that a short peak does not close it either.
// Without reports from any of its targets, the level of a service decays to 0
// within a second, and a small fraction of the refused requests is sent as
// probes, so that the node detects a recovery soon at any request rate. A
// report does not decay while other targets report: a caller hears from each
// of many targets too rarely for that.
//
// A Chain records which callees each class of the node's own service uses, and
// derives from the Table the level that the node reports to its callers for
// that class and tenant.
//
// The caller's node calls Check before it sends a call (at the entry: before
// the request's first call) and Learn with each response. The node of a target
// calls Chain.RecordRequest for each request that the target starts to serve,
// Chain.RecordCall for each call that the target makes, and Chain.Level when it
// responds; the response carries the target's own level and the chain's.
//
// The types are not safe for concurrent use: one mutex guards a Table and its
// Chain, held for well under a microsecond.
package earlyrefusal
