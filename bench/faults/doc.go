// Package faults injects the failures that the system must tolerate into a small
// fleet of real processes, and compares the outcomes that callers saw with what the
// targets ran.
//
// A Lab is a running fleet: three services with two targets each, and nodes that
// reach each other through proxies that can break connections. A Scenario injects one
// failure under load. It returns its measurements as a Row and a violated guarantee as
// an error. Pass or fail depends on counts and outcomes only; times are just printed.
package faults

import "peardrift/internal/status"

// Status codes of scenario failures.
const (
	// CodeGuaranteeViolated means that a guarantee was violated.
	CodeGuaranteeViolated status.Code = "promise-broken"
	// CodeNotRecovered means that the fleet did not recover after the fault was removed.
	CodeNotRecovered status.Code = "not-recovered"
)
