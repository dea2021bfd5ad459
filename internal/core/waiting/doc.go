// Package waiting decides, at the entry node, when a request starts whose callee or a
// service below it is short of capacity: at once, after it has waited, or not at all.
//
// A request may wait if its class declares an objective. It waits until the objective,
// or its deadline if that is earlier, less the time that its chain of calls needs. That
// time is learned for each key from completed requests: a high quantile of the time from
// start to answer. A Pacer says when a request of a key and importance may start.
// Requests are started by importance, and within one importance by least slack, the time
// left beyond what the chain needs. One that can no longer finish in time is refused at
// once; it has not run.
//
// The objective counts from the caller's first send. Callers state how long they still
// wait; from the times that are common for a key the queue derives how long ago a request
// that states less was first sent. A return that can't meet its objective any more is late:
// it may start until its deadline, less the chain's time, if the others have time for it.
//
// Waiting requests are bounded in number and in bytes. Above a bound the one of least
// importance, and among those a late one or else the one with the most slack, is refused.
//
// The delay told to a refused caller is the backlog ahead of its request divided by the
// rate at which requests of that backlog start, spread over as much again.
//
// # Contract
//
// Call Arrive once for each request and act on the Decision. Wait is followed by exactly
// one Action with the request's Ticket, from any later method. Call Cancel when the caller
// of a waiting request has left; its Action is a refusal. A request that was told to start
// must not be reported as refused once a call has been sent for it. Call Finished for each
// request that completed. Tick is due by Next at the latest.
//
// Methods append actions to out and return it, so that the caller can reuse one slice.
// Times are instants on the caller's monotonic scale and must not decrease. A Queue starts
// no goroutines, reads no clock and is not safe for concurrent use.
package waiting
