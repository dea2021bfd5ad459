// Package claims runs requests of at-most-once classes: it carries out the
// decisions of internal/core/claim at the platform's table.
//
// # Usage
//
// The callee's node calls Runner.Do after admission, so that refused work costs
// no write, and just before it would send the request to its own target. Do
// claims the key and, if it succeeds, calls run; otherwise it returns what is
// known about the earlier call.
//
// # Contract
//
//   - Do calls run at most once. Across all nodes and for the retention of the
//     key, run is not called again for a key whose run may have started.
//   - A run that has started is not cancelled with its caller: an interrupted
//     request would stay "unknown" permanently, while a finished one is recorded
//     and answers the caller's repeat. Its context ends at the request's deadline
//     plus claim.Config.RunGrace.
//   - Do returns only after run, so run may use resources of the caller's
//     exchange. If the caller leaves before the run starts, nothing runs.
//   - run must return a Result whose Err has request.Refused only if the target
//     ran nothing: the claim is then released. It must not answer the caller
//     directly unless that answer is its own Result.
//   - While the platform is down or slow, calls are refused immediately, claims
//     are bounded in number and time, and no other part of the node waits for
//     them.
//   - Close waits for runs and for their outcomes to be recorded.
//
// # Concurrency
//
// All methods of Runner may be called from any goroutine.
package claims
