// Package admission decides which requests a node passes to its own target.
//
// For each arriving request the gate decides, from its own measurements,
// whether the request runs at once, waits in a short queue or is refused. It
// does not use load reports of the target: reports lag and may be wrong.
//
// The parts, each in its own file:
//
//   - a concurrency limit from package limit, at most the target's slots;
//   - a queue ordered by importance, nested calls before new requests, and
//     hashed identity; bounded in length and to requests that can still finish
//     before their deadline;
//   - an admission level per tenant: while a queue persists, requests below
//     the level are refused on arrival, and callers that learn the level from
//     responses refuse them earlier still. All gates order requests alike, so
//     every hop of a call chain refuses the same requests. It changes no faster than
//     its effect shows in the arrivals, and a further call of a request in progress is
//     judged by the levels since the request started;
//   - the rate of requests that the target says it accepts;
//   - tenants' shares from package share: slots are first assigned to a
//     tenant, then by importance within the tenant.
//
// # Contract
//
// The node calls Arrive once for each request for the target and acts on the
// Decision: Admit runs it, Refuse responds with the refusal, Queue makes it
// wait for an Action with its Ticket. Each ticket gets exactly one Admit or
// Refuse. A refused request has not been handed to the target and may be
// reported as not executed. For an admitted request the node calls Finish when
// the target is done with it, or Cancel when the node has abandoned the call
// and closed its connection; the later of the two is ignored. For a queued
// request whose caller has gone it calls Cancel. Tick is due by Next at the
// latest; every other call also does its work.
//
// Methods append actions to out and return it, so that the caller can reuse
// one slice. Times are instants on the caller's monotonic scale and must not
// decrease. The gate starts no goroutines, reads no clock and is not safe for
// concurrent use: the node guards it with a mutex.
package admission
