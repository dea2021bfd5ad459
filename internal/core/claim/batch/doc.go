// Package batch carries many claims in one conditional write.
//
// # What it does
//
// One write for each claim fits the platform while there are a few hundred a
// second. Beyond that, claims share rows: a dated key (a UUID of version 7)
// belongs to one row for ever, by its own time and a hash (SlotOf), so that keys
// drawn at about the same time meet in one row, and a repeat finds the row from
// its key alone. Each claim is an Entry of the row with a version of its own, on
// which an Op is conditional, just as a claim is on a row of its own: what
// internal/core/claim decides stays as it is.
//
// The callee's node sends its Op to the row's batching node, chosen by
// rendezvous hash over the members it knows (Pick). The batching node collects
// the ops of a row while its last write is under way and for a short while
// after, and writes them with one conditional write.
//
// # Contract
//
//   - Safety rests on the row's condition alone. Two batching nodes for one row
//     (members seen differently, one paused) fail each other's writes, read the
//     row again and go on: that costs writes, never a second claim.
//   - A Reply says OK only if the entry is known to be in the row.
//     ConditionFailed, Full and Unavailable say that this Batcher has not put it
//     there and has no write under way that could. Ambiguous says neither, as in
//     port.Table.
//   - An Op may be sent again, also through another node: the same token at the
//     same version is the same op.
//   - A row never forgets an entry. It expires as a whole, and only when none of
//     its entries is kept for good.
//
// # Who calls what, when
//
// Give each Op to Submit, answers of the table to Written, ConditionFailed,
// InDoubt, NothingWritten, RowRead and ReadFailed, and call Tick when Due has
// come. Each returns the actions to be done: Write, Read and Reply.
//
// # Concurrency
//
// A Batcher is not safe for concurrent use.
package batch
