// Package share divides a target's slots among tenants.
//
// Shares bind only under contention. A tenant without demand lends its part by
// not asking for it; it gets it back as slots fall free, because a free slot
// goes to the tenant that holds the fewest for its weight. There is no credit
// for what was lent and no debt for what was borrowed.
//
// Share comes first, importance second: a share decides whose work is next, the
// order of importance which of that tenant's. Otherwise a tenant that declares
// all its work most important would starve the other.
//
// Ledger counts; Divide computes. Package admission calls both under its
// caller's lock; nothing here is safe for concurrent use.
package share
