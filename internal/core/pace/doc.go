// Package pace decides when an entry node may start a request to a service that is short
// of capacity.
//
// The level that the service's gates report states which part of each importance they
// admit. For each key (called service, class, tenant) and importance, the entry holds a token
// bucket. While the gates refuse, its rate goes down to the admitted fraction of the demand
// that the entry measures. While they refuse nothing, the rate rises slowly, since the calls
// of a request reach the gates until the request ends. The rate stays where it is when demand
// falls, and no tokens are needed while it is well above the demand. A service that never
// refused anything is not paced.
//
// The node calls Arrived once for each request, Start when the request could start, and,
// if Start reports false, Start again at Next or later. A request that has started has to
// pass the gates: the node draws its identity above DrawLevel with request.Draw.
//
// Gates and level tables need Config.Paced where requests are paced (see their WithPacing).
//
// A Table has no clock, goroutines or randomness and is not safe for concurrent use.
package pace
