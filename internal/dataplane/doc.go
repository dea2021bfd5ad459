// Package dataplane carries calls: from a caller to an entry node, on to the
// node beside a target of the service, to that target, and the answer back.
//
// A node has three faces, each a Handler of an HTTP listener:
//
//   - Callers: clients outside. Nothing they send is believed but the request
//     itself; the request gets its identity, class, deadline and allowance here.
//   - Nodes: other nodes. A call arrives with its Meta, passes the admission
//     gate, and runs on the node's own target.
//   - Target: the own target's outgoing calls. They are tied to the incoming
//     request by the trace id in traceparent, and go on with its class,
//     deadline, tenant and allowance.
//
// The Engine holds no decision of its own: it asks the pure packages under
// internal/core and does what they say. It reads the View, an immutable
// snapshot that the control goroutine publishes, and never waits for control.
//
// The truth of outcomes rests on one rule: a call is refused ("not run") only
// if no attempt of it was handed to a connection whose answer didn't say so.
package dataplane
