// Package sharedrows stores claims of dated keys in shared rows: it carries out the
// decisions of internal/core/claim/batch between nodes and at the platform's
// table.
//
// # Usage
//
// A node has one Rows, which claims.Runner calls; one Sender, which sends an op to
// the node that batches its row; and one Batcher, which accepts ops from all nodes
// and writes them. internal/node transports ops between nodes and calls SetMembers
// when the members change.
//
// # Contract
//
//   - Rows maps a key to its row only by the layouts (batch.Layouts). If it does
//     not know them for certain it refuses the operation, so all nodes map a key
//     to the same row.
//   - The choice of the batching node affects cost, never safety. An op whose node
//     is unreachable, slow, stopping or overloaded goes to the row's next node or
//     the local Batcher within the same timeout; if both write it, the row's
//     condition lets only one write succeed.
//   - An op whose answer is lost is claim.Ambiguous, unless that second try
//     determines its result.
//   - A Batcher refuses ops beyond its bounds with a typed code, and answers every
//     op in bounded time.
//   - Batcher.Close refuses new ops, writes the queued ones, and answers the rest
//     with batch.Ambiguous when its context ends.
//   - Shared rows do not store answers, only their size and digest.
//
// # Concurrency
//
// All methods may be called from any goroutine.
package sharedrows
