// Package lifetime decides, from the reports of targets, which lifetime serves at the
// address of the local target and whether it accepts calls.
//
// A target reports to the node beside it. Each start of a target is a lifetime,
// identified by a name and, if the target reports it, the start time. A target may
// restart under the same name; it then has no earlier state, and its sequence numbers
// start again. Reports may arrive late: after a newer one of the same lifetime, or after
// the lifetime ended and another one serves at the address. Therefore, within one
// lifetime, only a higher sequence number is applied and a leave is final; of two starts
// under one name, the later one serves; and the target's own answers, which carry its
// name, decide which of two names serves.
//
// A report without a start time belongs to the latest known start under its name. A start
// time that becomes known later belongs to the same lifetime: if it were taken for a new
// one, a lifetime whose leave was acknowledged could serve again.
//
// A leave binds later processes of the node too. A report from before it may arrive after
// a restart, and nothing in the report shows its age. A node therefore records each Leave
// outside its process, in a Row that nodes share and at other nodes, before it acknowledges
// it. A node that starts suspends its Tracker until it has restored what is recorded. If
// all that held a leave may be gone, the Tracker takes a report for a current one only once
// the lifetime has sent a newer one: a target that has left sends no more.
//
// # Contract
//
// Tracker is pure and not safe for concurrent use; the node's control goroutine owns it.
// A Tracker knows no lifetime at first, and its target accepts no calls until one reports.
package lifetime
