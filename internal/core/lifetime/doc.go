// Package lifetime decides, from what targets report, which lifetime serves at
// the own target's address and whether it takes calls.
//
// A target reports to the node beside it, and each start of it is a lifetime: a
// name, and the time of the start where the target tells it. A target may start
// again under its name; it then knows nothing of before, and counts its reports
// anew. Reports may come late: after a newer one of the same lifetime, or after the
// lifetime itself has ended and another one serves at the address. So within one
// lifetime only a higher sequence number counts and a leave is final; of two starts
// under one name the later one serves; and which of two names serves is settled by
// the target's own answers, which name theirs.
//
// A report without a start is of the latest start that is known under its name. A
// start that becomes known later is that of the same lifetime: taken for another
// one, a lifetime whose leave was acknowledged could serve again.
//
// # Contract
//
// Tracker is pure and not safe for concurrent use: the node's control goroutine
// owns it. A node that has just started knows of no lifetime, and lets nothing
// run until one reports: the node before it may have acknowledged a leave.
package lifetime
