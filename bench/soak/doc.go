// Package soak plays plans of overlapping faults, each drawn from a seed, against a small
// fleet of real processes under load, and compares what callers were told with what ran.
//
// The fleet has two zones and three services in a chain, of which the deepest is short of
// slots. Requests may wait at their entry, and rejected calls are sent again. Proxies stand
// between nodes and between callers and nodes.
package soak
