// Package scale runs thousands of member.State machines in one process under a virtual
// clock, and measures their cost and how fast updates spread. It delivers their messages
// and runs no other part of a node than membership and, if configured, configuration.
//
// Time advances in steps of Step. A message sent in one step arrives in the next. Within
// a step, nodes run in parallel in a fixed number of shards whose messages are merged in
// a fixed order, so that a run depends on its seed alone.
//
// All states share the immutable records; each has its own table, queues and links.
// StateMemory measures the memory of a state with its own records.
package scale
