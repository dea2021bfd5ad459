// Package client is a load generator that stands in for the callers. It sends
// requests by class in open or closed loops, with configurable retries, and
// verifies each answer byte for byte against the mark of its request.
//
// Run blocks until its load is done or its context is cancelled, and leaves no
// goroutine running. It does not modify Config.
package client
