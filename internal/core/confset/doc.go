// Package confset is the model of a tenant's configuration set: what its
// operators declare about their services, request classes and share.
//
// A Set is always whole: it is validated as a whole (Validate reports all
// problems at once), kept as a whole under the digest of its canonical bytes
// (Encode, DigestOf), and replaces the tenant's earlier set as a whole. What
// travels between nodes may be a Delta, which is applied only if the result
// has the digest that was announced.
//
// Callers: the operators' tool builds a Set from files, validates and encodes
// it; a node decodes it, and compiles the sets of all tenants into an Index
// that the traffic path reads.
//
// Concurrency: a Set is a plain value that its owner must not change once it
// has handed it on. An Index is immutable and may be read from any goroutine.
package confset
