// Package cli is the operators' tool: it validates and applies configuration
// sets and shows what is accepted and in force.
//
// Run is the whole program but for the process around it: what it touches
// outside (platform, nodes, output) comes in by Env, so tests run it in memory.
// A Run has its Env to itself; it calls Env.Nodes from several goroutines, all
// else from one.
package cli
