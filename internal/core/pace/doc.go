// Package pace decides when an entry node may start a request to a service that is short
// of capacity.
//
// The level that the service's gates report states which part of each importance they
// admit. Of each class and importance, the entry starts that fraction of the demand that
// it receives: a token bucket per key and importance is filled at the rate
// fraction x demand, where demand is the entry's own measured rate of arrivals. While the
// fraction is 1, nothing is paced.
//
// The node calls Arrived once for each request, Start when the request could start, and,
// if Start reports false, Start again at Next or later. A request that has started under a
// fraction below 1 has to pass the gates: the node draws its identity with request.Draw.
//
// A Table has no clock, goroutines or randomness and is not safe for concurrent use.
package pace
