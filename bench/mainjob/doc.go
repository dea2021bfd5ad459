// Package mainjob runs the project's main job on real processes: the platform's
// stand-in and the hosts of the brief's two deployments, both configuration
// sets submitted as an operator would, one morning feed and one payout approval
// shown with their answers and traces, a mixed load beside the same calls made
// directly, and a graceful stop of everything.
//
// Run judges what it saw: a false or partial answer, an outcome left unknown, a
// trace that lacks a hop, or a process that doesn't end as it should is a typed
// failure. Speeds are printed, never judged.
package mainjob
