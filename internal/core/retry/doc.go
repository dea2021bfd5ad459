// Package retry decides which failed attempts are made again, and bounds how
// many a whole request may cost over its chain of calls.
//
// Four mechanisms, each with one type:
//
//   - RequestAllowance: the allowance of one request at one node. The entry node starts
//     with A extra attempts (the class's Attempts). Each call carries a part of
//     the allowance down (Grant), its answer brings the unspent part back.
//     An attempt is free only if it is the first of its call in an execution
//     that nothing ran before; all others cost one. So
//
//     attempts over the whole chain <= calls of the graph made once + A
//
//     whatever fails: an answer that is lost takes its grant with it, a
//     duplicated one brings it back once, a late one finds the allowance closed.
//     The premise is that a transport doesn't deliver one call twice: client
//     libraries that repeat calls on their own must have that turned off.
//
//   - ServiceBudget: the budget of retries of one callee service at one node, filled by
//     successes. Summed over all nodes, retries of a service stay under Ratio
//     times its successes plus MinRate for each calling node.
//
//   - Repeats: the bound on callers that send the same request again through other
//     nodes, which each time brings a new allowance; kept by the nodes of the service
//     that is called, where the sendings meet.
//
//   - Decider: whether a result may be retried at all.
//
// Who calls what: the entry node makes a RequestAllowance per request (NewRequestAllowance with the
// class's Attempts), every other node one per incoming call (NewRequestAllowance with what
// the call carried). For each sub-call the node keeps a Call; RequestAllowance.Start comes
// before each attempt and yields what the attempt carries, RequestAllowance.Settle after
// it, RequestAllowance.Close when the node answers its own caller. Between two attempts
// Decider.Decide says whether there is a next one. ServiceBudget.Observe gets each
// attempt's result.
//
// Nothing here is safe for concurrent use: a RequestAllowance and its Calls belong under
// their request's mutex, ServiceBudget, Cost and Decider under one per callee service.
package retry
