// Package rpc carries the control traffic between nodes: net/rpc with a
// MessagePack codec over long-lived TCP connections.
//
// A Server answers other processes: Register adds services to it, Serve accepts
// connections. A Pool calls other nodes. A Carrier runs the actions of a
// member.State over a Pool and gives outcomes back to the goroutine that owns
// the State; GossipService is the other end of it. ClaimPeers sends claims to the
// nodes that batch their rows, which take them by ClaimsService. A Meter counts what all of
// these cost on the wire.
//
// Everything here may be used by several goroutines. Failures are
// *status.Error: connection-lost when a peer can't be reached or hung up,
// deadline-exceeded when it didn't answer in time, protocol when it answered
// with an error.
package rpc
