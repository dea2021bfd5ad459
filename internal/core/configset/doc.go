// Package configset models a tenant's configuration set: what its operators
// declare about their services, request classes and share.
//
// A Set is validated as a whole (Validate reports all problems at once), stored
// as a whole under the digest of its canonical encoding (Encode), and replaces
// the tenant's previous set as a whole. Nodes may exchange a Delta instead,
// which is applied only if the result has the announced digest.
//
// The operators' tool builds a Set from files, validates and encodes it. A node
// decodes it and compiles the sets of all tenants into an Index for the traffic
// path.
//
// A Set is a plain value that must not be changed once it has been handed on.
// An Index is immutable and safe for concurrent reads.
package configset
