// Package replay plays a trace through peardrift's decision cores under a
// virtual clock and measures what the policy is worth.
//
// The fleet is a small fake: an event queue, targets with slots, nodes that call
// the cores in the order in which a node does, and clients that time out and try
// again. There is no goroutine and no wall clock, so a trace, a policy and a seed
// always give the same Result.
//
// A call passes: learned levels of the callee (early refusal), allowance and
// budget (for a retry), choice of a target, network, the callee's gate, a slot of
// the target, the target's own calls, and the answer with level and unspent
// allowance. Baselines replace these parts by simpler ones, ablations switch one
// of them off; see Policies.
package replay
