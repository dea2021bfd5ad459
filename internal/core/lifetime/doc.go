// Package lifetime decides, from what targets report, which lifetime serves at
// the own target's address and whether it takes calls.
//
// A target reports to the node beside it, and each start of it is a lifetime with
// a name of its own. Reports may come late: after a newer one of the same
// lifetime, or after the lifetime itself has ended and another one serves at the
// address. So within one lifetime only a higher sequence number counts, a leave
// is final, and which of two lifetimes serves is settled by the target's own
// answers, which name theirs.
//
// # Contract
//
// Tracker is pure and not safe for concurrent use: the node's control goroutine
// owns it. A node that has just started knows of no lifetime, and lets nothing
// run until one reports: the node before it may have acknowledged a leave.
package lifetime
