// Package ratelimit enforces the rate limits of organisations over a whole fleet of
// nodes, without a call to another node for each request.
//
// # What it does
//
// The limit of an organisation is divided into token buckets: each node with requests of
// the organisation holds its own bucket, granted for some seconds, and the node that
// divides the limit keeps what it hasn't granted. Rates and capacities only move between
// buckets, so at any time all buckets together hold no more than the limit allows,
// during any network partition.
//
// The parts, each in its own file:
//
//   - Local holds a node's buckets and measures its demand;
//   - Ledger divides limits by demand: a node that asks for less than its fair share
//     gets what it asks for, with headroom for bursts, and the others share the rest
//     evenly;
//   - Lease decides which node runs the ledger of a shard of the organisations: the
//     holder of a row in the platform's table, which one node at a time can change.
//
// # Why the limit holds
//
// A grant ends at the node a fixed time after the node asked for it, and at the ledger
// no earlier than that time after the request arrived. The ledger therefore never
// underestimates what is granted, even if answers are late or lost. A new ledger, on
// another node or after a restart, doesn't know what was granted before. Until all such
// grants have ended, or every node that the row names as a holder has reported what it
// holds, it grants only what the asking node held before.
//
// # Contract
//
// Everything is pure: no I/O, no goroutines, no clock, no randomness. The clock that is
// passed in must include the time for which the machine is suspended. Nothing is safe
// for concurrent use.
package ratelimit
