// Package mainjob runs the project's end-to-end job on real processes. It starts the
// platform stand-in and the hosts of the two example deployments, submits both
// configuration sets like an operator, prints the answer and trace of one morning feed
// and one payout approval, runs a mixed load through nodes beside the same load sent
// directly, and stops everything gracefully.
//
// Run returns a typed error for a wrong or partial answer, an unknown outcome, a trace
// that lacks a hop, or a process that does not exit cleanly. Latencies are printed but
// not checked.
package mainjob
