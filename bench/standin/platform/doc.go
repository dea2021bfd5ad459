// Package platform is an in-memory stand-in for the platform's two services on
// one listener: a table service with the DynamoDB JSON protocol (GetItem, PutItem,
// DeleteItem and TransactWriteItems on a table whose hash key is the string "pk")
// and an object store with the S3 protocol (path-style GET, HEAD and PUT). It
// supports only the condition expressions that peardrift uses, checks no
// signatures, and creates tables and buckets on first use.
//
// POST /control/faults sets the injected faults at run time and
// GET /control/counters returns the call counters; both work while the platform is
// down. A Server is safe for concurrent use.
package platform
