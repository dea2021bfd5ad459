// Package rpc carries the control traffic between nodes: net/rpc with a
// MessagePack codec over long-lived TCP connections.
//
// A Server answers calls of other processes: Register adds services, Serve
// accepts connections. A Pool calls other nodes. An ActionExecutor
// executes the actions of a member.State over a Pool and passes outcomes back to
// the goroutine that owns the State; GossipService is the receiving side.
// ClaimPeers sends claim operations to the nodes that batch their rows;
// ClaimsService receives them. A Meter counts the bytes on the wire of all of
// these.
//
// All types are safe for concurrent use. Failures are *status.Error:
// connection-lost when a peer can't be reached or closed the connection,
// deadline-exceeded when it didn't answer in time, protocol when it answered
// with an error.
package rpc
