// Package member keeps each node's picture of all members: which targets there
// are, where, and whether they are alive, leaving or unreachable. It also
// spreads small versioned facts (the configuration's head, crash suspects).
//
// # What it does
//
// Every node knows every member. Members talk along a fixed overlay: on each of
// Config.Rings rings (the members of one region in the order of a hash with the
// ring's seed) a node's successor is its subject. A node does one push-pull
// exchange per period with each subject, and one with a member of each other
// region. Changes and facts ride on these exchanges in both directions, most
// urgent first, under a byte budget that the node itself enforces.
//
// A subject is declared unreachable only when several of its observers have
// heard nothing from it for Config.DeadAfter and none has. Observers ask each
// other directly; others only hear the verdict. A member that was declared
// unreachable and is not refutes with a higher incarnation. Regions don't
// observe each other: a region that can't be reached is one flag at each node,
// so that nobody is forgotten and healing costs only what changed meanwhile.
//
// # Contract
//
// State is pure: it does no I/O, starts no goroutine, reads no clock and draws
// only from the random source that it was given. The node's control goroutine
// calls Tick about every Config.TickEvery, carries out the actions that it
// returns, and feeds back HandleReply or HandleFailure for each Exchange;
// requests of other nodes go to HandleRequest. Whoever carries the messages
// reports their cost in bytes to Spend. Snapshot returns an immutable view that
// may be published to other goroutines.
//
// State is not safe for concurrent use. Messages, records and facts that were
// passed in or out must not be modified afterwards.
package member
