// Package pace decides when an entry node may start a request to a service that is short
// of capacity.
//
// The level that the service's gates report states which part of each importance they
// admit. For each key (called service, class, tenant) and importance, the entry holds a token
// bucket. Each request that arrives adds the admitted part of a token, and each that starts
// takes one, so that what starts is what the gates would admit of what arrives, while the
// requests that wait decide among themselves which of them starts. The admitted part falls
// with the level at once and rises slowly, since the calls of a request reach the gates until
// the request ends. Once everything is admitted, those that still wait start beside the
// arrivals, at a part of their rate.
//
// The node calls Arrived once for each request, Start when the request could start, and,
// if Start reports false, Start again at Next or later. A request that has started has to
// pass the gates: the node draws its identity above DrawLevel with request.Draw.
//
// Gates and level tables need Config.Paced where requests are paced (see their WithPacing).
//
// A Table has no clock, goroutines or randomness and is not safe for concurrent use.
package pace
