// Package cli is the operators' tool: it validates and applies configuration
// sets and shows what is accepted and in force.
//
// Run is the whole program except for process setup: its external dependencies
// (platform, nodes, output) are passed in Env, so tests run it in memory. An Env
// must not be shared between concurrent Runs. Run calls Env.Nodes from several
// goroutines, everything else from one.
package cli
