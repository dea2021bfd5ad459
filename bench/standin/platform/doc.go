// Package platform is a stand-in for the platform's two services on one
// listener and in memory: a table service that speaks the DynamoDB JSON
// protocol (GetItem, PutItem, DeleteItem, TransactWriteItems on a table whose
// hash key is the string "pk") and an object store that speaks S3 (path-style
// GET, HEAD, PUT). It knows only the condition expressions that the product
// uses, checks no signature, and creates tables and buckets by their first use.
//
// POST /control/faults sets the faults at run time, GET /control/counters tells
// what was done; both work while the platform is down. A Server is safe for
// concurrent use.
package platform
