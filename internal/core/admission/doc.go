// Package admission is the gate that a node keeps in front of its own target.
//
// It decides for each arriving request, from what it measures itself, whether
// the request runs at once, waits in a short queue or is refused. What the
// target reports about its load is not asked for: reports lag and lie.
//
// The parts, each in its file:
//
//   - a concurrency limit from package limit, at most the target's slots;
//   - a queue in the order importance, deep work before new, hashed identity,
//     bounded in length and by what can still finish before its deadline;
//   - an admission level for each tenant: while a queue stands, requests below
//     the level are refused on arrival, and callers that read the level from
//     answers refuse them earlier still. All gates order requests alike, so a
//     chain refuses the same requests at each hop;
//   - tenants' shares from package share: whose turn it is comes first, the
//     order of importance within one tenant second.
//
// # Contract
//
// The node calls Arrive once for each request that asks for the target, and
// acts on the Decision: Admit runs it, Refuse answers it, Queue lets it wait
// for an Action with its Ticket. Each ticket gets exactly one Admit or Refuse.
// A refused request has not been handed to the target and may be answered as
// "not run". For an admitted one the node calls Finish when the target is done
// with it, or Cancel when it has given the call up and closed its connection;
// the later of the two is ignored. For a queued one whose caller is gone it
// calls Cancel. Tick is due by Next at the latest; every other call does its
// work too.
//
// Methods append actions to out and return it, so that the caller can reuse one
// slice. Time is an instant on the caller's monotonic scale and must not go
// back. The gate starts no goroutine, reads no clock and is not safe for
// concurrent use: the node holds one mutex.
package admission
