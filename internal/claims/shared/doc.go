// Package shared keeps claims of dated keys in rows that many claims share: it
// does between nodes and at the platform's table what internal/core/claim/batch
// decides.
//
// # Who calls it, when
//
// A node has one of each: Rows, which claims.Runner asks; Sender, which sends an
// op to the node that batches its row; Batcher, which takes other nodes' ops and
// writes them. internal/node carries ops between nodes and calls SetMembers when
// the members change.
//
// # Contract
//
//   - Rows places a key by the layouts alone (batch.Layouts), which it knows for
//     certain or refuses the operation: no two nodes place a key differently.
//   - Which node batches a row decides costs, never safety. An op whose node is
//     unreachable, slow, stopping or overloaded is written by the own Batcher
//     within the same wait; both may write it, and the row's condition lets one.
//   - An op whose answer is lost is claim.InDoubt, unless the own Batcher finds
//     how it ended.
//   - A Batcher refuses with a typed code what exceeds its bounds, and never
//     keeps an op without end.
//   - Close of a Batcher refuses new ops, writes what waits, and answers the rest
//     as in doubt when its time is up.
//   - Answers are not kept in shared rows, only their size and digest.
//
// # Concurrency
//
// All methods may be called from any goroutine.
package shared
