// Package faults plays the failures that the project must live with on a small
// fleet of real processes, and holds what callers were told against what ran.
//
// A Lab is a running fleet: three services with two targets each, nodes that
// reach each other over links that can be broken. A Scenario plays one failure
// under load. What it measures goes into a Row; what must hold is an error.
// Verdicts rest on counts and outcomes. Times are only printed.
package faults

import "peardrift/internal/status"

// Codes of what a scenario can find.
const (
	// CodeBroken: something that must always hold did not.
	CodeBroken status.Code = "promise-broken"
	// CodeStuck: the fleet did not come back after the fault was gone.
	CodeStuck status.Code = "not-recovered"
)
