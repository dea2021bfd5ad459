// Package conn manages the connections to one peer: it decides which may carry
// the next call, and which are dead without having been closed.
//
// A connection changes from idle to in use with Take, and back only after a
// complete response (End with Complete). After a timeout, a cancellation, a
// partially read response or an error it is closed: bytes that still arrive on
// it belong to an earlier call and would be taken for the next response.
//
// A connection can go silent for good while new ones to the same peer work,
// because a device on the path lost its state. A call waiting on one looks
// like a slow call. To distinguish them the package requests a Probe: the node
// asks the peer, over a new connection, which of the silent calls it is
// executing. A call that the peer is executing is slow and keeps waiting; one
// that the peer does not know or has answered is on a dead connection and is
// failed as unknown. After one dead connection, all connections without
// activity since the probe began are suspect: the idle ones are closed, and
// the calls on the others are probed at once. If the peer cannot tell, the
// idle ones are closed without proof, since that costs at most a dial each.
//
// A call whose connection was dead when it began waits on it for at most
// SilentMax + 2 ProbeTimeout + Grace; one whose response is lost, for at most
// MaxRecheckInterval + 2 ProbeTimeout + Grace after the peer finished it; each plus the
// time between two calls of Tick, provided that probes reach the peer and at
// most MaxProbeCalls calls are silent. If the peer is unreachable or cannot tell,
// the bound is GiveUp after the last byte or the last confirmation that the peer
// is executing the call. The node confirms it itself where the call waits for
// local I/O.
//
// The node calls Take before a call, and Opened or DialFailed if Take returned
// Dial; RecordActivity for each transfer of bytes in either direction; End when the
// call ended; Tick by Next or regularly; and after a Probe action RecordStatus for each
// of its connections and then ProbeDone.
//
// A Peer is not safe for concurrent use: the node holds one mutex per peer.
package conn
