// Package batch combines many claims into one conditional write.
//
// # Overview
//
// The platform can handle one write per claim up to a few hundred claims per
// second. Beyond that, claims share rows: the time and hash of a dated key (a
// UUIDv7) determine its row permanently (SlotOf). Keys generated at about the
// same time share a row, and a repeat finds the row from its key alone. Each
// claim is an Entry of the row with its own version, on which an Op is
// conditional, just like a claim in a row of its own; the rules of
// internal/core/claim apply unchanged.
//
// The callee's node sends its Op to the row's batching node, chosen by
// rendezvous hashing over the members it knows (PickNode). The batching node collects
// the ops of a row while its last write is in flight and for a short time after,
// and writes them with one conditional write.
//
// # Contract
//
//   - Safety depends only on the row's condition. Two batching nodes of one row
//     (different membership views, one node paused) fail each other's writes,
//     reread the row and continue: this costs writes but never allows a second
//     claim.
//   - A Reply has Result OK only if the entry is known to be in the row.
//     ConditionFailed, Full and Unavailable mean that this Batcher has not
//     written it and has no write in flight that could. Ambiguous means neither,
//     as in port.Table.
//   - An Op may be sent again, including through another node: the same token at
//     the same version identifies the same op.
//   - Entries are never removed from a row. The row expires as a whole, and only
//     if all of its entries expire.
//
// # Usage
//
// Pass each Op to Submit, results of the table to Written, ConditionFailed,
// Ambiguous, NotWritten, RowRead and ReadFailed, and call Tick at the time that
// Due returns. Each returns the actions to carry out: Write, Read and Reply.
//
// # Concurrency
//
// A Batcher is not safe for concurrent use.
package batch
