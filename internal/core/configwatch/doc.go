// Package configwatch decides which nodes poll the platform for new versions of the
// configuration, and how the other nodes verify that their version is the
// newest.
//
// # Overview
//
// A few nodes of each region, the roots, poll the platform continuously with
// long polls: each one waits there for a change. All other nodes poll a parent
// in the same way; the nodes form a tree in which each node has its parent in
// the level above. A parent replies as soon as it has a newer version, or newer
// proof that there is none. So the number of calls to the platform does not
// grow with the number of nodes.
//
// The proof is a freshness watermark (State.Watermark): a time as of which no version
// newer than the current one was accepted. Only replies of the platform create
// watermarks; they propagate down the tree with each reply. A delayed message
// or process never makes a watermark later than what the platform confirmed. A
// node whose watermark is older than Config.StaleAfter polls the platform itself,
// whatever its parent replies, and switches to another parent. The watermarks,
// not the choice of roots, guarantee the bound: the choice of roots only
// affects cost, and nodes with different views of the membership do no harm.
//
// # Contract
//
// State is deterministic: it does no I/O, starts no goroutine, reads no clock
// and uses only the random source that it was given. It is not safe for
// concurrent use. The caller executes the returned actions and reports each
// outcome once, by the action's ID; an outcome that is never reported counts as
// a failure after its limit. The clock that is passed in must include the time
// for which the machine is suspended: otherwise a watermark from before the
// suspension would look recent.
package configwatch
