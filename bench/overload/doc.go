// Package overload plays scenarios of the replay on real processes: the same
// trace, slots and service times, with nodes, and once more straight at targets
// without nodes. It judges what callers were told against what the targets ran,
// and sets the figures beside those that the replay predicts.
//
// Deployments are made smaller and slower (Size) until the targets' slots are
// the narrow place, not the machine's processor.
package overload
