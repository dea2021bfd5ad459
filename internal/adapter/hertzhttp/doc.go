// Package hertzhttp speaks HTTP/1.1 by hertz: a server for a node's faces and a
// client for calls to other nodes and to the own target.
//
// The client uses hertz's dialer and codec but keeps its connections itself.
// hertz's own client repeats a request by itself when a pooled connection turns
// out closed, does not end a call when its context is canceled, and does not
// tell whether a failed call had been sent; each of the three would break a
// promise (nothing runs twice, work for a failed request stops, "not run" is
// true). Here a call owns one connection from start to end, a canceled context
// closes it, and a connection goes back to the pool only after a whole answer.
package hertzhttp
