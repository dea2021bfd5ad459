// Package claims runs requests of at-most-once classes: it does at the
// platform's table what internal/core/claim decides.
//
// # Who calls it, when
//
// The callee's node calls Runner.Do after admission (refused work costs no
// write) and just before the request would go to the node's own target. Do
// claims the key and, if it wins, calls run; otherwise it returns what is known
// of the earlier call.
//
// # Contract
//
//   - run is called at most once by Do, and at most once in all for a key whose
//     run may have begun, over all nodes and for as long as keys are remembered.
//   - A run that has begun is not cancelled with its caller: a payout that was
//     cut in the middle would stay "unknown" for good, while one that ends is
//     recorded, and the caller's repeat gets its outcome. Its context ends at
//     the request's deadline plus claim.Config.RunGrace.
//   - Do returns only after run has, so run may use what belongs to the caller's
//     exchange. A caller that leaves before the run begins prevents it.
//   - run must return a Result whose Err has request.Refused only if the target
//     ran nothing: the claim is then released. It must not answer the caller
//     itself unless the answer is its own Result.
//   - While the platform is down or slow, calls are refused at once, claims are
//     bounded in number and time, and nothing else of the node waits for them.
//   - Close lets runs and their records end.
//
// # Concurrency
//
// All methods of Runner may be called from any goroutine.
package claims
