// Package hertzhttp implements HTTP/1.1 with hertz: a server for a node's
// listeners and a client for calls to other nodes and to the local target.
//
// The client uses hertz's dialer and codec but manages its own connections.
// hertz's client repeats a request when a pooled connection turns out to be
// closed, does not end a call when its context is canceled, and does not report
// whether a failed call was sent. Each of these would break a guarantee: a request
// is not executed twice, work for a failed request stops, and "not executed" is
// accurate. Here a call owns one connection from start to end, canceling its
// context closes the connection, and a connection returns to the pool only after a
// complete response.
package hertzhttp
