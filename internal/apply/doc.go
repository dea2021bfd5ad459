// Package apply accepts configuration sets and reads accepted ones, over the
// platform's table service and object store.
//
// # Rows
//
//	config/<tenant>/head              the version in force: digest, object, token
//	config/<tenant>/history/<version> one for each accepted version
//	config/shares                     the share ledger: tenant -> share
//
// and the object config/<tenant>/<digest> holds the set's canonical bytes.
//
// # Acceptance
//
// The object is written first: its name has its digest, so writing it again is
// harmless, and an object without a head is never read. Then one transaction
// writes the head under the condition that it still has the version that the
// operator started from, the history row under the condition that there is
// none, and, if the tenant's share changes, the ledger under the condition that
// it has not changed since the sum was checked. That write alone decides which
// of several operators wins. Versions rise by one with each acceptance.
//
// A write whose answer was lost is settled by the token in the row that it
// would have written. Until that row exists the write may still land, so the
// head not having moved proves nothing: the same write, with the same token, is
// made again, and whichever of the two lands first, the version has the same
// content.
//
// A Store is safe for concurrent use; all methods end by ctx's deadline.
package apply
