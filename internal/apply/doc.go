// Package apply accepts configuration sets and reads accepted ones. It stores them in the
// platform's table service and object store.
//
// # Rows
//
//	config/<tenant>/head              the version in force: digest, object, token
//	config/<tenant>/history/<version> one row per accepted version
//	config/shares                     the share ledger: tenant -> share
//
// The object config/<tenant>/<digest> holds the set's canonical bytes.
//
// # Acceptance
//
// The object is written first: its name contains its digest, so writing it again is
// idempotent, and an object without a head is never read. Then one transaction writes the
// head on condition that it still has the base version, the history row on condition that
// it doesn't exist, and, if the tenant's share changes, the ledger on condition that it has
// not changed since the sum was checked. That transaction alone decides which of several
// concurrent applies wins. Each acceptance increments the version by one.
//
// A write whose response was lost is resolved by the token in the row that it would have
// written. Until that row exists the write may still take effect, so an unchanged head
// proves nothing: the same write is repeated with the same token, and whichever of the two
// takes effect first, the version has the same content.
//
// A Store is safe for concurrent use; all methods return by ctx's deadline.
package apply
