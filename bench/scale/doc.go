// Package scale steps thousands of member.State machines in one process under a
// virtual clock, and measures what they cost and how fast news spreads. It
// delivers their messages and nothing more.
//
// Time advances in steps of Step. A message that is sent in one step arrives in
// the next. Within a step the nodes run in parallel, in a fixed number of
// shards whose messages are merged in a fixed order, so that a run depends on
// its seed alone.
//
// All states share the records, which are immutable; each has its own table,
// queues and links. The memory of a state that owns its records is measured
// apart, by StateMemory.
package scale
