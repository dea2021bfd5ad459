// Package claim decides, for one call of an at-most-once class, whether its
// request may run, and what may truthfully be said when it may not.
//
// # What it does
//
// The node beside the target claims an idempotency key in the platform's table
// before it hands the request over: one conditional write of one row, under
// RowKey, with a token that no other attempt has. The winner alone runs. A row
// goes through
//
//	absent -> Held -> Done            the request ran
//	absent -> Held -> Free -> Held... nothing ran, the key may be claimed again
//
// and each step raises its version by one, so that a write which arrives late
// fails on its condition instead of undoing a newer one.
//
// A claim has no lease. Held never lapses: a holder that was paused for an hour
// finds its claim as it left it, since nobody takes over a claim that may have
// run. The price is that the key of a holder that died stays Held, and repeats
// are told "unknown" for good.
//
// # Contract
//
//   - Run is returned at most once by an Attempt, and only when the attempt's
//     own claim is known to be in the table.
//   - A lost answer to a write (InDoubt) is settled by reading the token back.
//     A row that reads absent proves nothing, because the write may still
//     arrive: the attempt then writes again under the same condition, of which
//     at most one takes effect.
//   - Outcome.Kind is request.Refused only if, at some instant between the
//     call's arrival and its answer, nothing had run under the key. That takes
//     a row that was read absent or Free, or an own claim. Without one (the
//     platform is down) an earlier call under the key may have run: the kind is
//     request.Unknown, and Answer.NotRunHere says what is certain, namely that
//     this call ran nothing.
//   - A repeat gets the recorded outcome, or a typed "in progress" or "unknown".
//   - The same key with another request is status.CodeKeyReused.
//
// # Who calls what, when
//
// internal/claims holds one Attempt per call. It gives Step the events Begin,
// Written, ConditionFailed, InDoubt, NothingWritten, RowRead, ReadFailed,
// TargetDone, TargetNotRun and CallerGone, and does the Action that comes back:
// Write, Read, Run, or Answer, which is the last. Events are answers to the
// last action; an answer that comes after the next action was given is dropped
// by the caller. An Answer may leave a Duty (an outcome to record, a claim to
// release, a write in doubt to fence), a machine of its own that may go on
// after the caller has its answer.
//
// Time is a time.Duration since the Unix epoch here, because rows are compared
// between nodes. It decides only wordings and how long finished rows are kept,
// never who may run.
//
// # Concurrency
//
// Attempt, Duty and Breaker are plain values, not safe for concurrent use.
package claim
