// Package replay runs a request trace through peardrift's decision cores under a
// virtual clock and measures the goodput of a policy.
//
// It is a discrete event simulation: an event queue, targets with slots, nodes that
// call the cores in the same order as a real node, and clients that time out and
// retry. It uses no goroutines and no wall clock, so the same trace, policy and seed
// always give the same Result.
//
// A call passes these stages: admission levels learned from the callee (early
// refusal), allowance and retry budget, target selection, network delay, the callee's
// gate, a slot of the target, the target's child calls, and the response with the
// callee's level and the unspent allowance. Baselines replace stages by simpler ones,
// and ablations disable one of them; see Policies.
package replay
