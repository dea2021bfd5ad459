// Package latency measures the overhead that nodes add to a call. It makes the same
// calls directly between targets and through their nodes, alternating within one run.
//
// Measure runs real processes at given rates and reports latency quantiles. The
// benchmarks run nodes in one process and report CPU time and allocations per request.
// Compare runs the benchmarks of two versions of the project alternately and bounds
// their ratios.
//
// The targets are minimal (LeanTarget), so that their own processing time doesn't mask
// the difference. Results are in docs/LATENCY.md.
package latency
