// Package share divides a target's slots among tenants.
//
// Shares apply only under contention. A tenant without demand lends its share implicitly
// and gets it back as slots become free, because a free slot goes to the tenant with the
// fewest slots relative to its weight. Lending gives no credit and borrowing no debt.
//
// The share is decided first, then the importance: the share selects the tenant, and the
// importance selects which of its requests is next. Otherwise a tenant that declares all
// its requests most important would starve the others.
//
// Ledger counts; Divide computes. Package admission calls both under its caller's lock;
// nothing here is safe for concurrent use.
package share
