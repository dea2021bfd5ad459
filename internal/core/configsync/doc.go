// Package configsync distributes configuration: it decides which version of each
// tenant's set is in force on a node, and how the node gets the newest one.
//
// # Distribution
//
// The platform's head rows name the accepted versions. A few nodes poll them
// (poll.go), chosen by a hash over the members. If membership views differ,
// more nodes may poll, which costs only reads. New versions spread as gossiped
// facts (GossipHead, Learn). An operator's tool may hint at a new version (Hint);
// the node then reads the head row to confirm it.
//
// A node that learns of a version asks its parent for the changes since the
// version that it holds. Parents form a tree over the members of a region, a
// different one for each version (tree.go): each change passes each node once,
// and different nodes forward it each time. Only the roots read the object
// store. A parent that does not have the version yet learns of it from the
// request, asks its own parent, and answers once it has it. A node that gets no
// answer tries other trees, then random members, then the object store.
//
// # Guarantees
//
// The version in force of a tenant never decreases while the process runs, even
// if messages are late, duplicated or reordered: only a higher version is
// installed, and only if its digest matches the announced one. A starting node
// holds nothing. It installs nothing until it is informed: until several
// informed peers or the platform have reported the newest versions. So a single
// peer that was paused or partitioned can't bring back an old version
// (startup.go).
//
// # Contract
//
// State is a pure state machine: it does no I/O, starts no goroutine, reads no
// clock and takes randomness only from the given source. The node's control
// goroutine calls Tick every 100 ms or so, SetPeers when membership changes,
// and Learn, Hint and HandleAsk for incoming messages. It carries out the
// returned actions and reports each outcome once, by the action's ID. An action
// without a report counts as failed after a timeout.
//
// State is not safe for concurrent use. Index may be published to other
// goroutines.
package configsync
