// Package settings holds the start-up settings of one node process: its identity, its
// listen addresses, its target, and the addresses of the platform. Operators' policy
// (services, classes, shares) isn't part of it; configuration sets carry that.
//
// Load reads a YAML file over the defaults, rejects unknown keys, and reports
// all problems at once, each with its line, column and field, as an *Invalid
// whose code is status.CodeInvalidSettings. A node calls it before it opens a
// listener, so that an invalid file ends the process before it has announced
// anything. `peardriftd --check` calls only Load.
//
// Settings are immutable after Load and may be shared between goroutines.
package settings
