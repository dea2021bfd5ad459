// Package settings holds what one node process is told at its start: who it
// is, where it listens, which target it stands beside, and where the platform
// is. Operators' policy (services, classes, shares) isn't here; it travels in
// configuration sets.
//
// Load reads a YAML file over the defaults, refuses unknown keys, and reports
// all problems at once, each with its line, column and field, as an *Invalid
// whose code is status.CodeInvalidSettings. A node calls it before it opens a
// listener, so that a wrong file ends the process before it has announced
// anything. `peardriftd --check` calls it and nothing else.
//
// Settings are immutable after Load and may then be shared freely.
package settings
