// Package client is a stand-in for the callers: load by request class, open or
// closed loop, with retries as hard as wished, and a check of each answer byte
// for byte against the mark of its own request.
//
// Run blocks until its load is done or its context ends, and leaves no
// goroutine behind. Config is only read.
package client
