// Package conn decides about the connections to one peer: which may carry the
// next call, and which are dead although nothing ever said so.
//
// A connection goes from Idle to InUse (Take) and back only by a whole answer
// (End with Whole). After a time-out, a cancellation, a half-read answer or an
// error it is closed: what still arrives on it belongs to an earlier call and
// would be taken for the next one's answer.
//
// A connection can go silent for good while new ones to the same peer work,
// because something between the ends lost track of it. A call that waits on
// one looks like a call that takes long. To tell them apart the package asks
// for a Probe: the node asks the peer, over a fresh connection, which of the
// silent calls it has in hand. A call that the peer works on is slow and waits
// on; one that it doesn't know, or has answered, sits on a dead connection,
// and is failed as unknown. One dead connection casts suspicion on all that
// weren't heard of since: the idle ones are closed, those in use are asked for
// at once. Where the peer can't tell, the idle ones are closed on the mere
// doubt, since that costs no more than a dial each.
//
// The bound: a call whose connection was dead when it began sits on it for at
// most SilentMax + 2 ProbeTimeout + Grace; one whose answer is lost, for at most
// Recheck + 2 ProbeTimeout + Grace after the peer was done with it; each plus
// the time between two calls of Tick, while probes reach the peer and no more
// than MaxAsked calls are silent. If the peer can't be reached or can't tell,
// it is GiveUp since the last byte or the peer's last word that it works on it.
//
// Who calls what: Take before a call, and Opened or DialFailed if it said Dial;
// Heard for each byte that moves in either direction; End when the call ended;
// Tick at Next or regularly; after a Probe action Told for each of its
// connections and then Probed.
//
// Not safe for concurrent use: one mutex per peer.
package conn
