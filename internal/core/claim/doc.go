// Package claim decides, for one call of an at-most-once class, whether its
// request may run, and which outcome is certain if it may not.
//
// # Overview
//
// The target's node claims an idempotency key in the platform's table before it
// passes the request to the target: one conditional write of one row, under
// RowKey, with a token unique to the attempt. Only the winner runs the request.
// A row has these transitions:
//
//	absent -> Held -> Done            the request ran
//	absent -> Held -> Free -> Held... nothing ran, the key may be claimed again
//
// Each transition increments the row's version, so a write that arrives late
// fails on its condition instead of overwriting a newer one.
//
// A claim has no lease. Held never expires: a holder that was paused for an hour
// still has its claim, because no other attempt takes over a claim that may have
// run. In exchange, the key of a holder that died stays Held, and repeats are
// answered "unknown" permanently.
//
// # Contract
//
//   - Run is returned at most once by an Attempt, and only when the attempt's
//     own claim is known to be in the table.
//   - A lost answer to a write (Ambiguous) is resolved by reading the token back.
//     An absent row proves nothing, because the write may still arrive: the
//     attempt then writes again under the same condition, so that at most one of
//     the two writes takes effect.
//   - Outcome.Kind is request.Refused only if, at some instant between the
//     call's arrival and its answer, nothing had run under the key. The evidence
//     is a row read as absent or Free, or a claim of this attempt. Without it
//     (the platform is down) an earlier call under the key may have run: the kind
//     is request.Unknown, and Answer.NotRunByCall says only that this call ran
//     nothing.
//   - A repeat gets the recorded outcome, or a typed "in progress" or "unknown".
//   - A key reused for a different request fails with status.CodeKeyReused.
//
// # Usage
//
// internal/claims holds one Attempt per call. It passes the events Begin,
// Written, ConditionFailed, Ambiguous, NotWritten, RowRead, ReadFailed,
// TargetDone, TargetNotRun and CallerCanceled to Step and carries out the returned
// Action: Write, Read, Run, or Answer, which is the last. Events are results of
// the last action; the caller drops a result that arrives after the next action
// was returned. An Answer may carry a FollowUp (an outcome to record, a claim to
// release, an ambiguous write to fence): a separate state machine that may
// continue after the caller has its answer.
//
// Time is a time.Duration since the Unix epoch, because nodes compare the times
// in rows. It affects only which code is answered and how long finished rows are
// kept, never which attempt may run.
//
// # Concurrency
//
// Attempt, FollowUp and Breaker are plain values, not safe for concurrent use.
package claim
