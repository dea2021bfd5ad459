// Package retry decides which failed attempts are retried and bounds how many extra
// attempts a request may cost over its whole call chain.
//
// There are four mechanisms, each with its own type:
//
//   - RequestAllowance: the extra attempts that one request may make at one node. The
//     entry node starts with A of them (the class's Attempts). Each call carries a part
//     down (Grant), and its answer returns the unspent part. An attempt is free only if
//     it is the first one of its call in an execution that isn't itself a repeat; all
//     others cost one. With Config.FreeRefusals, attempts that could reach no target are
//     left out of this count. Therefore
//
//     attempts over the whole chain <= calls of the graph made once + A
//
//     for any failure: a lost answer loses its grant, a duplicated answer returns it
//     once, and a late answer finds the allowance closed. This requires that the
//     transport doesn't deliver a call twice; automatic retries of client libraries
//     must be turned off.
//
//   - ServiceBudget: the retry budget of one callee service at one node, filled by
//     successes. Over all nodes, the retries of a service stay below Ratio times its
//     successes plus MinRate for each calling node.
//
//   - ResubmissionLimiter: the bound on callers that resend a request through other
//     nodes, which gives it a new allowance each time. It is kept by the nodes of the
//     called service, where all submissions arrive.
//
//   - Decider: whether a result may be retried at all.
//
// The entry node creates a RequestAllowance per request (NewRequestAllowance with the
// class's Attempts), every other node one per incoming call (NewRequestAllowance with
// what the call carried). The node keeps a Call for each sub-call. It calls
// RequestAllowance.Start before each attempt, which returns what the attempt carries,
// RequestAllowance.Settle after it, and RequestAllowance.Close when it answers its own
// caller. Between attempts, Decider.Decide reports whether to make another one.
// ServiceBudget.Observe gets the result of each attempt.
//
// Nothing here is safe for concurrent use: guard a RequestAllowance and its Calls by a
// mutex per request, and ServiceBudget, CallCount and Decider by one per callee service.
package retry
