// Package dataplane proxies calls from a caller to an entry node, from there to the
// node beside a target of the called service, to that target, and back.
//
// A node serves three kinds of peers, each with a Handler of an HTTP listener:
//
//   - Callers: external clients. Only the request itself is trusted; the entry node
//     assigns its identity, class, deadline and retry allowance.
//   - Nodes: other nodes. A call arrives with its Meta, passes the admission gate
//     and runs on the node's own target.
//   - Target: outgoing calls of the own target. The trace id in traceparent links
//     them to the incoming request, whose class, deadline, tenant and allowance
//     they inherit.
//
// The Engine makes no policy decisions: it applies those of the pure packages under
// internal/core. It reads the View, an immutable snapshot that the control goroutine
// publishes, and never waits for that goroutine.
//
// Outcomes follow one rule: a call is reported as refused ("not run") only if every
// attempt that was handed to a connection was answered as not run.
package dataplane
