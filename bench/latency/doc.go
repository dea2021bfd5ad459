// Package latency measures what the nodes add to a call: the same call made
// directly between targets and through their nodes, in turn, in one run.
//
// Two ways: Measure runs real processes at given rates and reports quantiles;
// the benchmarks run nodes in one process and report processor time and
// allocations for each request. Compare runs the benchmarks of two versions of
// the project in turn and bounds their ratio.
//
// The targets are lean ones (LeanTarget), so that the difference is not lost in
// the time that a target takes. Figures are in docs/LATENCY.md.
package latency
