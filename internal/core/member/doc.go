// Package member maintains each node's view of all members: which targets
// exist, where they are, and whether they are alive, leaving or unreachable. It
// also gossips small versioned facts (the configuration's head, crash
// suspects).
//
// # Overview
//
// Every node knows every member. Members communicate over a fixed overlay: on
// each of Config.Rings rings (the members of one region, ordered by a hash with
// the ring's seed) a node's successor is its subject. A node does one push-pull
// exchange per period with each subject, and one with a member of each other
// region. Changes and facts are piggybacked on these exchanges in both
// directions, most urgent first, within a byte budget that the node itself
// enforces.
//
// A subject is declared unreachable only when several of its observers have
// heard nothing from it for Config.DeadAfter and no observer has heard from it.
// Observers query each other directly; other members only receive the verdict.
// A live member that was declared unreachable refutes this with a higher
// incarnation. Regions do not observe each other: an unreachable region is one
// flag at each node, so no member is removed, and recovery costs only what
// changed meanwhile.
//
// # Contract
//
// State is deterministic: it does no I/O, starts no goroutine, reads no clock
// and uses only the random source that it was given. The node's control
// goroutine calls Tick about every Config.TickInterval, executes the actions that
// it returns, and reports the outcome of each Exchange with HandleReply or
// HandleFailure; requests of other nodes go to HandleRequest. The transport
// reports the size of each message in bytes to Spend. Snapshot returns an
// immutable view that may be published to other goroutines.
//
// State is not safe for concurrent use. Messages, records and facts must not be
// modified after they are passed in or out.
package member
