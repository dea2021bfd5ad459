// Package early refuses requests at the caller that the callee, or a service
// deeper in its chain, would refuse, before any work is done for them.
//
// Each answer of a callee's node carries two admission levels: the target's own
// and that of the chain below it for the request's class. Because priorities
// are the same at all hops, a request below a level will be refused there;
// refusing it here costs nothing and is as true.
//
// A Table holds the levels that one node learned, by callee service and class.
// The level of a service is a capacity-weighted quantile over its targets, so
// that one outlier neither shuts nor opens the service; of each target the lowest
// of the last moments counts, so that a passing peak doesn't either. The level of a
// service ages out within a second without reports from any of its targets, and a small
// share of the refused is let through: so the node learns of a recovery soon, whatever
// the traffic. A report doesn't age beside newer ones of other targets: each of many targets
// reports to a caller too seldom for that.
//
// A Chain holds which callees each of the node's own classes uses, and works
// out from the Table what level the node reports upward for that class and
// tenant.
//
// Who calls what: Check before a call is sent (at the entry: before the
// request's first call) and Learn with each answer. The node of a target calls
// Chain.Served for each request it takes, Chain.Used for each call that the
// target makes, and Chain.Level when it answers; its answer reports the own
// level and that one.
//
// Not safe for concurrent use: one mutex for a Table and its Chain, held for
// well under a microsecond.
package early
