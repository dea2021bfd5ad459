// Package watch decides which nodes ask the platform for new versions of the
// configuration, and how the others know that what they hold is the newest.
//
// # What it does
//
// A few nodes of each region, the roots, ask the platform again and again; each
// question waits there for a change. All other nodes ask a parent in the same way:
// level by level, each node has its parent in the level above. A question is
// answered as soon as the parent holds a newer version, or a newer proof that there
// is none. So the calls to the platform don't grow with the number of nodes.
//
// The proof is a freshness mark: a time as of which no version was accepted that is
// newer than the one held. Only answers of the platform make marks; they pass down
// with each answer, and are never later than the truth, whatever a message or a
// process is held up. A node whose mark has grown older than Config.Stale asks the
// platform itself, whatever its parent says, and turns to another parent. Marks,
// not the choice of roots, carry the bound: who is root is a matter of cost, and
// nodes whose views of the membership differ do no harm.
//
// # Contract
//
// State is pure: no I/O, no goroutine, no clock, randomness only from the source
// that it was given. It is not safe for concurrent use. The caller carries out the
// returned actions and reports each outcome once, by the action's ID; one that is
// never reported is taken as failed after its limit. The clock that is passed in
// must count the time for which the machine is suspended: a mark from before would
// look young otherwise.
package watch
