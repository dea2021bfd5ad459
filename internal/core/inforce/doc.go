// Package inforce keeps each node's configuration in force: which version of
// each tenant's set traffic is judged by, and how a node comes to the newest.
//
// # What it does
//
// The platform's head rows say which version is accepted. A few nodes read them
// (poll.go); who does is chosen by a hash over the members, and that two nodes
// do it, or more while their views differ, costs reads and nothing else. What
// they learn spreads as a gossiped fact (Spread, Learn), and an operator's tool
// may hint at a new version (Hint), which is read before it is believed.
//
// A node that hears of a version asks its parent for what changed since the one
// that it holds. Parents form a tree over the members of a region, another one
// for each version (tree.go): so each change passes each node once, and the work
// of passing it on falls on other nodes each time. Only the roots read the
// object store. A parent that does not hold the version yet learns of it by
// being asked, asks its own parent, and answers when it has it. Who gets no
// answer asks by other trees, then any member, then the object store.
//
// # What it guarantees
//
// The version in force of a tenant never falls while the process runs, whatever
// arrives late, twice or out of order: only a higher version is installed, and
// only if its digest is the announced one. A node that starts holds nothing; it
// installs nothing until it was told the newest versions by several informed
// peers, or by the platform, so that one peer that was frozen or cut off can't
// bring back an old version (start.go).
//
// # Contract
//
// State is pure: no I/O, no goroutine, no clock, randomness only from the source
// that it was given. The node's control goroutine calls Tick every 100 ms or so,
// SetPeers when membership changes, Learn, Hint and HandleAsk for what comes in;
// it carries out the returned actions and reports each outcome once, by the
// action's ID. An action that is never reported is taken as failed after a time.
//
// State is not safe for concurrent use. Index may be published to others.
package inforce
